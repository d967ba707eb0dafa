"""Imports the modules that register the reducer's handlers."""

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
    """Import the handler modules so that they register their handlers.

    The handlers of an event run in the order of HANDLER_MODULES.
    """
    for name in HANDLER_MODULES:
        import_module(name)
