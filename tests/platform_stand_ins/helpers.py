"""Helpers of the tests of the platform's stand-in."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from stand_ins.platform import SERVICE
from wasabiramp.model.entry.clock import VirtualLoop
from wasabiramp.scheduling.model import ExecutorEntry, Resources


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end on virtual time and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()


def make_entry(name: str = "i-0") -> ExecutorEntry:
    """Return the entry of an executor."""
    return ExecutorEntry(
        id=name,
        address="127.0.0.1:1",
        service=SERVICE,
        zone="z",
        is_draining=False,
        capacity=Resources(8_000, 8_000, 0),
        labels=("a", "r0"),
        born_ms=1_000,
    )
