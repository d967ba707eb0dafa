"""Whether to call the owner now: calls to one that does not answer get a growing pause."""

from __future__ import annotations

from typing import Final

import xxhash

MIN_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 1.0
"""Pauses between calls to an owner that does not answer or has not recovered yet."""

JITTER_RANGE: Final = 0.5
"""Range of the factor on pauses, so that daemons do not call in step."""

HASH_BUCKETS: Final = 1000


class OwnerCircuitBreaker:
    """Bounds what one daemon sends to an owner that does not answer.

    After a failure a single call is let through at the end of each pause. An answer, or another
    owner, opens the way again. Without this bound, the calls of all daemons fill the link of a new
    owner that is still reading what is stored.
    """

    __slots__ = ("_address", "_is_probing", "_retry_at", "_pause_s", "_jitter_factor")

    def __init__(self, name: str) -> None:
        """Derive the factor on pauses from the daemon's name."""
        share = xxhash.xxh32_intdigest(name.encode()) % HASH_BUCKETS / HASH_BUCKETS
        self._jitter_factor = 1 - JITTER_RANGE / 2 + JITTER_RANGE * share
        self._address = ""
        self._pause_s = 0.0
        self._retry_at = 0.0
        self._is_probing = False

    def can_call(self, address: str, now: float) -> bool:
        """Tell whether a call may leave; the caller then reports how it ended."""
        if address != self._address:
            self._address = address
            self._pause_s, self._is_probing = 0.0, False
        if not self._pause_s:
            return True
        if now < self._retry_at or self._is_probing:
            return False
        self._is_probing = True
        return True

    def record_success(self, address: str) -> None:
        """Open the way: the owner answers."""
        if address == self._address:
            self._pause_s, self._is_probing = 0.0, False

    def record_failure(self, address: str, now: float) -> None:
        """Begin the next pause; calls that left before the last one began do not prolong it."""
        if address != self._address:
            return
        if now < self._retry_at and not self._is_probing:
            return
        self._is_probing = False
        self._pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, 2 * self._pause_s))
        self._retry_at = now + self._pause_s * self._jitter_factor
