"""Queue of orders with limited concurrency, so that timeouts measure executors only."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Final

from wasabiramp.entry.lag import LoopLag
from wasabiramp.policy.switches import switchable

MAX_CONCURRENT_ORDERS: Final = 24
"""Limit of orders in flight: enough for several thousand round trips a second."""

MAX_SLOT_HOLD_S: Final = 0.05
"""Longest time for which an order holds its slot, so that unreachable executors do not block
the others."""

Send = Callable[[], Coroutine[Any, Any, None]]


class Slot:
    """One order's share of the concurrency limit."""

    __slots__ = ("_is_released", "_on_release")

    def __init__(self, on_release: Callable[[], None]) -> None:
        """Call `on_release` once, when the slot is released."""
        self._on_release = on_release
        self._is_released = False

    def release(self) -> None:
        """Release the slot; further calls have no effect."""
        if not self._is_released:
            self._is_released = True
            self._on_release()


class OrderQueue:
    """Sends orders first in, first out, with limited concurrency.

    Without the limit, orders compete for the processor: on a slow machine their answers are then
    processed after the timeouts, which causes additional retries and stops.
    """

    __slots__ = ("_held_slots", "_lag", "_spawn", "_unanswered", "_waiting")

    def __init__(self, spawn: Callable[[Coroutine[Any, Any, None]], None], lag: LoopLag) -> None:
        """Send in tasks created by `spawn`; the lag extends the longest hold of a slot."""
        self._spawn = spawn
        self._lag = lag
        self._waiting: deque[Send] = deque()
        self._held_slots = 0
        self._unanswered = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no order is queued or unanswered."""
        return not self._waiting and not self._unanswered

    @property
    def has_backlog(self) -> bool:
        """Return whether orders are queued."""
        return bool(self._waiting)

    def add(self, send: Send) -> None:
        """Queue an order; it is sent at once if a slot is available."""
        self._waiting.append(send)
        self._send_next()

    @switchable(
        "order-limit", "limit the orders in flight", plain=lambda queue: bool(queue._waiting)
    )
    def _may_send(self) -> bool:
        """Return whether an order is queued and a slot is available."""
        return bool(self._waiting) and self._held_slots < MAX_CONCURRENT_ORDERS

    def _send_next(self) -> None:
        """Send queued orders while slots are available."""
        while self._may_send():
            self._held_slots += 1
            self._unanswered += 1
            self._spawn(self._async_send(self._waiting.popleft()))

    def _release_slot(self) -> None:
        """Make a slot available and send the next order."""
        self._held_slots -= 1
        self._send_next()

    async def _async_send(self, send: Send) -> None:
        """Send one order; its slot is released by the answer or after `MAX_SLOT_HOLD_S`."""
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
