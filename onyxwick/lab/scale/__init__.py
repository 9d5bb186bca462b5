"""Capacity at size: measured slopes, a fleet of hollow directors, and the model that puts them together."""
