"""Timeouts that follow measured response times."""

from __future__ import annotations

from typing import Final

from wasabiramp.policy.switches import switchable

TIMEOUT_FACTOR: Final = 5.0
"""Ratio of a timeout to the average response time; high enough to wait for most slow answers."""

RESPONSE_TIME_WEIGHT: Final = 0.3
"""Weight of the latest response time in the average; high enough to adapt after a few answers."""


class AdaptiveTimeouts:
    """Timeouts that follow the average response time of each key, such as a kind of call."""

    def __init__(self, shortest_s: float, longest_s: float) -> None:
        """Start with the shortest timeouts."""
        self._shortest_s = shortest_s
        self._longest_s = longest_s
        self._average_s: dict[str, float] = {}
        self._unanswered: set[str] = set()

    def get_average_s(self, key: str) -> float | None:
        """Return the average response time of a key; None if unknown or the last call failed."""
        return None if key in self._unanswered else self._average_s.get(key)

    @switchable(
        "adaptive-timeouts",
        "let timeouts follow measured response times",
        plain=lambda timeouts, key: timeouts._longest_s,
    )
    def get_timeout(self, key: str) -> float:
        """Return the timeout of the next call of a key, in seconds."""
        if key in self._unanswered:
            return self._longest_s
        timeout_s = TIMEOUT_FACTOR * self._average_s.get(key, 0.0)
        return min(self._longest_s, max(self._shortest_s, timeout_s))

    def record_response_time(self, key: str, response_time_s: float) -> None:
        """Add a response time to the moving average of its key.

        Not to be called for a call that timed out: the average would rise during an outage, and
        the first calls after it would wait too long for lost answers.
        """
        average_s = self._average_s.get(key, 0.0)
        self._average_s[key] = average_s + RESPONSE_TIME_WEIGHT * (response_time_s - average_s)
        self._unanswered.discard(key)

    def record_timeout(self, key: str) -> None:
        """Use the longest timeout until a response time is known again."""
        self._unanswered.add(key)
