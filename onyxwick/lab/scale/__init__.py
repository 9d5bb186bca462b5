"""Capacity planning: measured cost slopes, a fleet of hollow directors, and a model that combines them."""
