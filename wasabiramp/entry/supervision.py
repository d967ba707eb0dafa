"""Supervision of tasks: unexpected errors are logged, and loops are restarted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from wasabiramp.logs import log_event, log_failure

T = TypeVar("T")

RESTART_DELAY_S: Final = 0.2
"""Delay before a failed loop is restarted, so that a persistent fault costs little."""


async def async_keep_running(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a loop, and restart it whenever an unexpected error ends it.

    Example: `asyncio.create_task(async_keep_running("announcer", handler.async_run_announcer))`.
    """
    while True:
        try:
            await work()
        except Exception:
            log_failure("loop_failed")
            log_event("loop_restarted", loop=name)
        else:
            return
        await asyncio.sleep(RESTART_DELAY_S)


async def async_call_or_default(call: Awaitable[T], default: T) -> T:
    """Return the result of a call, or `default` if it raised an unexpected error.

    The scheduler waits for an answer to each order, so even a failed call needs one.
    """
    try:
        return await call
    except Exception:
        log_failure("call_failed")
        return default


async def async_log_failure(work: Awaitable[None]) -> None:
    """Await work whose result is not used, and log an error that ends it."""
    try:
        await work
    except Exception:
        log_failure("task_failed")
