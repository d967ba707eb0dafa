"""Orders on their way: few at a time, so that time-outs measure executors, not this process."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Final

ORDERS_AT_ONCE: Final = 24
"""Orders that may wait for an answer: enough for the round trips of several thousand a second."""

Send = Callable[[], Coroutine[Any, Any, None]]


class OrderQueue:
    """Sends orders in their turn, a limited number side by side.

    All at once they would compete for the processor: on a slow machine their answers are then read
    after the time-outs, which costs repeats and stops on top.
    """

    __slots__ = ("_open", "_spawn", "_waiting")

    def __init__(self, spawn: Callable[[Coroutine[Any, Any, None]], None]) -> None:
        """Run what is sent as tasks that `spawn` makes."""
        self._spawn = spawn
        self._waiting: deque[Send] = deque()
        self._open = 0

    @property
    def is_idle(self) -> bool:
        """Tell whether no order waits for its turn or for an answer."""
        return not self._waiting and not self._open

    @property
    def has_backlog(self) -> bool:
        """Tell whether orders wait for their turn."""
        return bool(self._waiting)

    def add(self, send: Send) -> None:
        """Send an order now or in its turn."""
        self._waiting.append(send)
        self._send_next()

    def _send_next(self) -> None:
        """Send what may leave."""
        while self._waiting and self._open < ORDERS_AT_ONCE:
            self._open += 1
            self._spawn(self._async_send(self._waiting.popleft()))

    async def _async_send(self, send: Send) -> None:
        """Send one order, then let the next one leave."""
        try:
            await send()
        except asyncio.CancelledError:
            self._waiting.clear()
            raise
        finally:
            self._open -= 1
            self._send_next()
