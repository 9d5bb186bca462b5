"""The fault soak: real directors run under overlapping faults, judged from outside and by invariants."""
