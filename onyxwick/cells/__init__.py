"""Cells."""
