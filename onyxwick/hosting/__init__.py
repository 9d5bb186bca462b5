"""The parts that a service file adds to a director: routers of cells and sites, store, trace, fronts.

Each module is loaded only where the file has a block for it: their libraries take memory.
"""
