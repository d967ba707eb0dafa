"""Loops that have to go on: an unexpected error ends one turn of a loop, not its process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from wasabiramp.logs import log_event, log_failure

T = TypeVar("T")

RESTART_DELAY_S: Final = 0.2
"""Pause before a loop that failed begins again, so that a lasting fault costs little."""


async def async_keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a loop, and begin it again whenever an error that nobody expected ends it.

    Example: `asyncio.create_task(async_keep_running("announcer", desk.async_run_announcer))`.
    """
    while True:
        try:
            await work()
        except Exception:
            log_failure("loop_failed")
            log_event("loop_restarts", loop=name)
        else:
            return
        await asyncio.sleep(RESTART_DELAY_S)


async def async_call_or_default(call: Awaitable[T], default: T) -> T:
    """Return what a call returns, or `otherwise` where it raised what nobody expected.

    The scheduler waits for an answer to each order, so that even such a call has to have one.
    """
    try:
        return await call
    except Exception:
        log_failure("call_failed")
        return default


async def async_log_failure(work: Awaitable[None]) -> None:
    """Carry out work of which nobody awaits the result, and log an error that ends it."""
    try:
        await work
    except Exception:
        log_failure("task_failed")
