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
        # By node, the time for which its machine was suspended.
        self._suspended_s: dict[str, float] = {}
        self._deferred_count = 0

    def pause(self, node: str, until: float) -> None:
        """Defer everything that runs on behalf of a node until a time."""
        self._paused[node] = until

    def suspend(self, node: str, duration_s: float) -> None:
        """Suspend the machine of a node, whose own clock stands still meanwhile."""
        self.pause(node, self.true_time + duration_s)
        self._suspended_s[node] = self._suspended_s.get(node, 0.0) + duration_s

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
        """Schedule a callback for a time on its node's clock, or for when the node resumes."""
        handles: list[asyncio.Handle] = []
        offset_s = self._get_suspended_s()
        handle = super().call_at(
            when + offset_s, self._run_timer, offset_s, handles, callback, args, context=context
        )
        handles.append(handle)
        return handle

    def _run_timer(
        self,
        offset_s: float,
        handles: list[asyncio.Handle],
        callback: Callable[..., Any],
        args: tuple[Any, ...],
    ) -> None:
        """Run a timer, or delay it by the time for which its node was suspended meanwhile."""
        suspended_s = self._get_suspended_s()
        if suspended_s <= offset_s:
            self._run_unless_paused(handles, callback, args)
        elif not handles or not handles[0].cancelled():
            when = self.true_time + suspended_s - offset_s
            super().call_at(when, self._run_timer, suspended_s, handles, callback, args)

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
        if resume_at <= self.true_time:
            callback(*args)
            return
        self._deferred_count += 1
        when = resume_at + self._deferred_count * DEFERRED_CALL_SPACING_S
        super().call_at(when, self._run_unless_paused, handles, callback, args)

    def get_suspended_s(self, node: str) -> float:
        """Return for how long the machine of a node was suspended, also for one that goes on."""
        return self._suspended_s.get(node, 0.0)

    def _get_suspended_s(self) -> float:
        """Return for how long the machine of the current node was suspended."""
        return self.get_suspended_s(CURRENT_NODE.get()) if self._suspended_s else 0.0

    @property
    def true_time(self) -> float:
        """Return the virtual time in seconds, which also counts while machines are suspended."""
        return self._virtual.now

    def time(self) -> float:
        """Return the virtual time in seconds on the clock of the current node."""
        return self._virtual.now - self._get_suspended_s()
