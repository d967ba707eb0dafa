"""Event loop lag: on a slow machine, answers arrive in time but are processed late."""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.policy.switches import switchable

LAG_CHECK_INTERVAL_S: Final = 0.05
"""Interval of the timer whose lag is measured."""

LAG_DECAY_FACTOR: Final = 0.9
"""Decay of the lag at each check, so that a peak counts for about half a second."""

LOOP_TURNS_PER_CALL: Final = 4.0
"""Iterations of the loop that a call needs: to connect or write, to read, and to resume."""

MAX_LAG_S: Final = 0.4
"""Upper bound of the lag, so that timeouts remain finite and a long pause soon stops counting."""


class LoopLag:
    """Measures how late the loop's timers fire."""

    def __init__(self) -> None:
        """Initialize without a timer; `start` begins the measurement."""
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.value_s = 0.0

    def start(self) -> None:
        """Start the measurement on the running loop."""
        loop = asyncio.get_running_loop()
        self._due_at = loop.time() + LAG_CHECK_INTERVAL_S
        self._timer = loop.call_at(self._due_at, self._check)

    def stop(self) -> None:
        """Stop the measurement."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        """Record the lag of this call."""
        late_s = asyncio.get_running_loop().time() - self._due_at
        self.value_s = min(MAX_LAG_S, max(late_s, LAG_DECAY_FACTOR * self.value_s))
        self.start()

    @switchable(
        "lag-timeouts",
        "extend timeouts by the lag of the event loop",
        plain=lambda lag, timeout_s: timeout_s,
    )
    def extend(self, timeout_s: float) -> float:
        """Return a timeout extended by the delay that this process itself causes."""
        return timeout_s + LOOP_TURNS_PER_CALL * self.value_s
