"""Hooks that clean up after scenarios."""

from __future__ import annotations


def after_scenario(context, _scenario):
    """Stop the processes that the scenario started."""
    cell = getattr(context, "processes", None)
    if cell is not None:
        cell.stop()
        context.processes = None
