"""The fault soak: real directors under overlapping faults, judged from outside and by their invariants."""
