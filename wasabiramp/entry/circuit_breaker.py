"""Circuit breaker for calls to the owner, with a growing pause while it does not answer."""

from __future__ import annotations

from typing import Final

import xxhash

from wasabiramp.policy.switches import switchable

MIN_PAUSE_S: Final = 0.1
MAX_PAUSE_S: Final = 1.0
"""Bounds of the pause between calls to an owner that does not answer or is recovering."""

JITTER_RANGE: Final = 0.5
"""Width of the range of the jitter factor on pauses, so that daemons do not call in step."""

HASH_BUCKETS: Final = 1000


class OwnerCircuitBreaker:
    """Limits the calls of one daemon to an owner that does not answer.

    After a failure, one probe is allowed at the end of each pause. An answer, or another owner,
    lifts the limit. Without it, the calls of all daemons would saturate the link of a new owner
    that is still recovering.
    """

    __slots__ = ("_address", "_is_probing", "_retry_at", "_pause_s", "_jitter_factor")

    def __init__(self, name: str) -> None:
        """Derive the jitter factor from the daemon's name."""
        share = xxhash.xxh32_intdigest(name.encode()) % HASH_BUCKETS / HASH_BUCKETS
        self._jitter_factor = 1 - JITTER_RANGE / 2 + JITTER_RANGE * share
        self._address = ""
        self._pause_s = 0.0
        self._retry_at = 0.0
        self._is_probing = False

    @switchable(
        "circuit-breaker",
        "pause calls to an owner that does not answer",
        plain=lambda breaker, address, now: True,
    )
    def can_call(self, address: str, now: float) -> bool:
        """Return whether a call is allowed; the caller must record its outcome."""
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
        """Record an answer, which lifts the limit."""
        if address == self._address:
            self._pause_s, self._is_probing = 0.0, False

    def record_failure(self, address: str, now: float) -> None:
        """Start the next pause; failures of calls sent before the current one do not extend it."""
        if address != self._address:
            return
        if now < self._retry_at and not self._is_probing:
            return
        self._is_probing = False
        self._pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, 2 * self._pause_s))
        self._retry_at = now + self._pause_s * self._jitter_factor
