"""The components that a service file adds to a director: routers for cells and sites, store, trace, fronts.

Each module is loaded only if the file has a block for it, because the modules' libraries take memory.
"""
