"""Imports the modules whose handlers make up the reducer."""

from __future__ import annotations

from importlib import import_module
from typing import Final

HANDLER_MODULES: Final = (
    "wasabiramp.membership.changes",
    "wasabiramp.membership.heartbeats",
    "wasabiramp.resource.intent",
    "wasabiramp.dispatch.executors",
    "wasabiramp.dispatch.requests",
    "wasabiramp.jobs.journal",
    "wasabiramp.jobs.keys",
    "wasabiramp.jobs.home",
    "wasabiramp.jobs.workers",
    "wasabiramp.membership.leaving",
)


def import_handler_modules() -> None:
    """Import every subject once; their order is the order in which handlers of an event run."""
    for name in HANDLER_MODULES:
        import_module(name)
