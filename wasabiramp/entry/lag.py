"""How late this process is: on a slow machine answers wait for it, not it for them."""

from __future__ import annotations

import asyncio
from typing import Final

LAG_CHECK_INTERVAL_S: Final = 0.05
"""Interval of the timer whose lateness is measured."""

LAG_DECAY_FACTOR: Final = 0.9
"""What is left of a lateness at the next check, so that it counts for about half a second."""

LOOP_TURNS_PER_CALL: Final = 4.0
"""Turns of the loop that a call needs: to connect or write, to read, and to go on."""

MAX_LAG_S: Final = 0.4
"""Lateness above this counts as this: a time-out still has to come, and a pause is soon over."""


class LoopLag:
    """Measures how late the loop's timers fire."""

    def __init__(self) -> None:
        """Measure nothing before `start`."""
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.value_s = 0.0

    def start(self) -> None:
        """Begin to measure on the running loop."""
        loop = asyncio.get_running_loop()
        self._due_at = loop.time() + LAG_CHECK_INTERVAL_S
        self._timer = loop.call_at(self._due_at, self._check)

    def stop(self) -> None:
        """Measure nothing any more."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        """Note how late this call is."""
        late_s = asyncio.get_running_loop().time() - self._due_at
        self.value_s = min(MAX_LAG_S, max(late_s, LAG_DECAY_FACTOR * self.value_s))
        self.start()

    def extend(self, timeout_s: float) -> float:
        """Return a time-out with the time that this process itself takes."""
        return timeout_s + LOOP_TURNS_PER_CALL * self.value_s
