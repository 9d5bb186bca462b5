"""The laboratory: emulators, load, audit. Never imported by what serves."""
