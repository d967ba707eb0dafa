"""An event loop on virtual time that can pause the callbacks of single nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
import contextvars
import selectors
from typing import Any, Final

CURRENT_NODE: Final[contextvars.ContextVar[str]] = contextvars.ContextVar("place", default="")
"""The simulated node on whose behalf code runs; empty for the simulation itself."""

DEFERRED_CALL_SPACING_S: Final = 1e-7
"""Delay between the deferred callbacks of a paused node, which keeps their order on resume."""


async def async_run_on_node(node: str, coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on behalf of a node and return its result."""
    context = contextvars.copy_context()
    context.run(CURRENT_NODE.set, node)
    return await asyncio.get_running_loop().create_task(coroutine, context=context)


class VirtualSelector(selectors.SelectSelector):
    """A selector that never blocks and advances the virtual time to the next timer instead."""

    def __init__(self) -> None:
        """Start the virtual time at zero."""
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the virtual time by the timeout.

        Raises RuntimeError where the loop would wait forever.
        """
        if timeout is None:
            raise RuntimeError(
                "the event loop has no timer or callback left and would wait forever"
            )
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, in seconds from its start.

    The time advances only when no callback is ready. Callbacks and timers of a paused node are
    deferred until it resumes, like those of a suspended process.
    """

    def __init__(self) -> None:
        """Create the loop with a virtual selector."""
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)
        self._paused: dict[str, float] = {}
        self._deferred_count = 0

    def pause(self, node: str, until: float) -> None:
        """Defer everything that runs on behalf of a node until a time."""
        self._paused[node] = until

    def get_resume_time(self, node: str) -> float:
        """Return when a node resumes; a time in the past where it is not paused."""
        return self._paused.get(node, 0.0)

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: Any = None) -> Any:
        """Schedule a callback for the next iteration, or for when its node resumes."""
        handles: list[asyncio.Handle] = []
        handle = super().call_soon(
            self._run_unless_paused, handles, callback, args, context=context
        )
        handles.append(handle)
        return handle

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> Any:
        """Schedule a callback for a time, or for when its node resumes."""
        handles: list[asyncio.Handle] = []
        handle = super().call_at(
            when, self._run_unless_paused, handles, callback, args, context=context
        )
        handles.append(handle)
        return handle

    def _run_unless_paused(
        self, handles: list[asyncio.Handle], callback: Callable[..., Any], args: tuple[Any, ...]
    ) -> None:
        """Run a callback, or defer it until its node resumes.

        `handles` holds the handle that the caller can cancel, also while the callback is deferred.
        It is a list, as the handle exists only after the callback is scheduled.
        """
        if handles and handles[0].cancelled():
            return
        resume_at = self.get_resume_time(CURRENT_NODE.get())
        if resume_at <= self.time():
            callback(*args)
            return
        self._deferred_count += 1
        when = resume_at + self._deferred_count * DEFERRED_CALL_SPACING_S
        super().call_at(when, self._run_unless_paused, handles, callback, args)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now
