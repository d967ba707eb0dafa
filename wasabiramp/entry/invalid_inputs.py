"""Log of inputs of other writers that cannot be used."""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.logs import log_event

LOG_INTERVAL_S: Final = 10.0
MAX_LINES_PER_INTERVAL: Final = 100
"""Lines in an interval, so that hundreds of invalid inputs leave room for other lines."""


class InvalidInputs:
    """The inputs that cannot be used now, by key, and the reason.

    One line is logged for each key when it becomes invalid or the reason changes, but not for each
    new value of an input that stays invalid.
    """

    __slots__ = ("_event", "_interval_ends_at", "_lines_left", "_omitted", "_reasons")

    def __init__(self, event: str) -> None:
        """Log lines of this event."""
        self._event = event
        self._reasons: dict[str, str] = {}
        self._interval_ends_at = 0.0
        self._lines_left = 0
        self._omitted = 0

    def __len__(self) -> int:
        """Return the number of keys with an invalid input."""
        return len(self._reasons)

    def add(self, key: str, error: Exception) -> bool:
        """Record an invalid input; return whether the last input of the key was valid."""
        reason = str(error)
        known_reason = self._reasons.get(key)
        if known_reason != reason:
            self._reasons[key] = reason
            self._log(key, reason)
        return known_reason is None

    def remove(self, key: str) -> None:
        """Record that the input of a key is valid or no longer exists."""
        self._reasons.pop(key, None)

    def _log(self, key: str, reason: str) -> None:
        """Log one line; lines beyond the limit are counted in the next line that is logged."""
        now = asyncio.get_running_loop().time()
        if now >= self._interval_ends_at:
            self._interval_ends_at = now + LOG_INTERVAL_S
            self._lines_left = MAX_LINES_PER_INTERVAL
        if not self._lines_left:
            self._omitted += 1
            return
        self._lines_left -= 1
        omitted = {"omitted": self._omitted} if self._omitted else {}
        self._omitted = 0
        log_event(self._event, key=key, error=reason, invalid=len(self._reasons), **omitted)
