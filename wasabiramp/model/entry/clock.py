"""An event loop whose time advances only when nothing is left to do, and whose places pause."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
import contextvars
import selectors
from typing import Any, Final

CURRENT_NODE: Final[contextvars.ContextVar[str]] = contextvars.ContextVar("place", default="")
"""The process on whose behalf code runs; empty for the world itself."""

DEFERRED_CALL_SPACING_S: Final = 1e-7
"""Keeps the callbacks of a paused place in their order once it goes on."""


async def async_run_on_node(node: str, coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on behalf of a place and return its result."""
    context = contextvars.copy_context()
    context.run(CURRENT_NODE.set, node)
    return await asyncio.get_running_loop().create_task(coroutine, context=context)


class VirtualSelector(selectors.SelectSelector):
    """Waits for nothing: it moves the loop's time to the next timer instead."""

    def __init__(self) -> None:
        """Start at zero."""
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by the wait."""
        if timeout is None:
            raise RuntimeError("nothing is left that could wake the loop")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, in seconds from its start.

    Nothing runs on behalf of a paused place: its callbacks and timers wait, as those of a process
    that stands still do.
    """

    def __init__(self) -> None:
        """Make the loop with its own selector."""
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)
        self._paused: dict[str, float] = {}
        self._deferred_count = 0

    def pause(self, node: str, until: float) -> None:
        """Let nothing run on behalf of a place for a time."""
        self._paused[node] = until

    def get_resume_time(self, node: str) -> float:
        """Return when a place goes on; a time that has passed where it is not paused."""
        return self._paused.get(node, 0.0)

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: Any = None) -> Any:
        """Call back in the next turn, or once the place goes on."""
        handles: list[asyncio.Handle] = []
        handle = super().call_soon(
            self._run_unless_paused, handles, callback, args, context=context
        )
        handles.append(handle)
        return handle

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> Any:
        """Call back at a time, or once the place goes on."""
        handles: list[asyncio.Handle] = []
        handle = super().call_at(
            when, self._run_unless_paused, handles, callback, args, context=context
        )
        handles.append(handle)
        return handle

    def _run_unless_paused(
        self, handles: list[asyncio.Handle], callback: Callable[..., Any], args: tuple[Any, ...]
    ) -> None:
        """Run a callback, or put it off until its place goes on."""
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
        """Return the virtual time."""
        return self._virtual.now
