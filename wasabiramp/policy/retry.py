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


RETRY_POLICIES: Final[dict[str, RetryPolicy]] = {}


def retry(name: str) -> Callable[[Callable[[], RetryPolicy]], Callable[[], RetryPolicy]]:
    """Register a retry policy under a name."""

    def register(make: Callable[[], RetryPolicy]) -> Callable[[], RetryPolicy]:
        RETRY_POLICIES[name] = make()
        return make

    return register


@retry("budget")
def build_budget_policy() -> RetryPolicy:
    """Retry up to three times, within a tenth of the requests."""
    return RetryPolicy(4, True)


@retry("never")
def build_never_policy() -> RetryPolicy:
    """Try once."""
    return RetryPolicy(1, False)


@retry("patient")
def build_patient_policy() -> RetryPolicy:
    """Retry many times, whatever the load."""
    return RetryPolicy(20, False)


def get_retry_policy(name: str) -> RetryPolicy:
    """Return a policy by name; an unknown name gets the budget policy."""
    return RETRY_POLICIES.get(name, RETRY_POLICIES["budget"])


def draw_backoff_s(attempt: int, random: Random, base_s: float = BACKOFF_BASE_S) -> float:
    """Return a wait in seconds that doubles with each attempt, with full jitter."""
    return random.uniform(0, min(BACKOFF_MAX_S, base_s * 2**attempt))
