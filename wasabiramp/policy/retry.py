"""Retry policies: a budget for retries and a backoff with jitter."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from wasabiramp.core.records import record

TOKENS_PER_REQUEST: Final = 0.1
MAX_TOKENS: Final = 100.0
BACKOFF_BASE_S: Final = 0.02
BACKOFF_MAX_S: Final = 5.0


@record
class RetryPolicy:
    """`max_attempts` counts the first try; `uses_budget` stops retries in an overload."""

    max_attempts: int
    uses_budget: bool


RETRIES: Final[dict[str, RetryPolicy]] = {}


def retry(name: str) -> Callable[[Callable[[], RetryPolicy]], Callable[[], RetryPolicy]]:
    """Register a retry policy under a name."""

    def register(make: Callable[[], RetryPolicy]) -> Callable[[], RetryPolicy]:
        RETRIES[name] = make()
        return make

    return register


@retry("budget")
def make_budget() -> RetryPolicy:
    """Retry up to three times, within a tenth of the requests."""
    return RetryPolicy(4, True)


@retry("never")
def make_never() -> RetryPolicy:
    """Try once."""
    return RetryPolicy(1, False)


@retry("patient")
def make_patient() -> RetryPolicy:
    """Retry many times, whatever the load."""
    return RetryPolicy(20, False)


def find_retry(name: str) -> RetryPolicy:
    """Return a policy by name; an unknown name gets the budget policy."""
    return RETRIES.get(name, RETRIES["budget"])


def backoff_s(attempt: int, random: Random, base_s: float = BACKOFF_BASE_S) -> float:
    """Return a wait in seconds that doubles with each attempt, with full jitter."""
    return random.uniform(0, min(BACKOFF_MAX_S, base_s * 2**attempt))
