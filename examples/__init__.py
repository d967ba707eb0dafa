"""Cells that a person starts by hand."""
