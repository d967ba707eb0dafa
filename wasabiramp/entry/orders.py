"""Orders on their way: few at a time, so that time-outs measure executors, not this process."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Final

from wasabiramp.entry.lag import LoopLag

MAX_CONCURRENT_ORDERS: Final = 24
"""Orders that may wait for an answer: enough for the round trips of several thousand a second."""

MAX_SLOT_HOLD_S: Final = 0.05
"""An order counts for this long at most: executors that are cut off do not hold up the others."""

Send = Callable[[], Coroutine[Any, Any, None]]


class Slot:
    """The place of one order among those on their way."""

    __slots__ = ("_is_released", "_on_release")

    def __init__(self, on_release: Callable[[], None]) -> None:
        """Call `on_free` once, when the place is given up."""
        self._on_release = on_release
        self._is_released = False

    def release(self) -> None:
        """Give up the place, unless that was done before."""
        if not self._is_released:
            self._is_released = True
            self._on_release()


class OrderQueue:
    """Sends orders in their turn, a limited number side by side.

    All at once they would compete for the processor: on a slow machine their answers are then read
    after the time-outs, which costs repeats and stops on top.
    """

    __slots__ = ("_lag", "_open_slots", "_spawn", "_unanswered", "_waiting")

    def __init__(self, spawn: Callable[[Coroutine[Any, Any, None]], None], lag: LoopLag) -> None:
        """Run what is sent as tasks that `spawn` makes; the lag extends the time of a slot."""
        self._spawn = spawn
        self._lag = lag
        self._waiting: deque[Send] = deque()
        self._open_slots = 0
        self._unanswered = 0

    @property
    def is_idle(self) -> bool:
        """Tell whether no order waits for its turn or for an answer."""
        return not self._waiting and not self._unanswered

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
        while self._waiting and self._open_slots < MAX_CONCURRENT_ORDERS:
            self._open_slots += 1
            self._unanswered += 1
            self._spawn(self._async_send(self._waiting.popleft()))

    def _release_slot(self) -> None:
        """Let the next order leave."""
        self._open_slots -= 1
        self._send_next()

    async def _async_send(self, send: Send) -> None:
        """Send one order; its slot is free once it is answered, or soon after."""
        slot = Slot(self._release_slot)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._lag.extend(MAX_SLOT_HOLD_S), slot.release)
        try:
            await send()
        except asyncio.CancelledError:
            self._waiting.clear()
            raise
        finally:
            timer.cancel()
            self._unanswered -= 1
            slot.release()
