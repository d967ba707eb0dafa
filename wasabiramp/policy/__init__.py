"""Scheduling policies, selected by name for each class of work."""
