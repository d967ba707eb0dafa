"""Retry policies: number of attempts, retry budget, and exponential backoff with jitter."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Final

from wasabiramp.core.records import record

TOKENS_PER_REQUEST: Final = 0.1
"""Tokens that a new request adds to the retry budget; each retry takes one token."""

MAX_TOKENS: Final = 100.0
"""Most tokens that the retry budget can hold, which bounds a burst of retries."""

BACKOFF_BASE_S: Final = 0.02
BACKOFF_MAX_S: Final = 5.0


@record
class RetryPolicy:
    """Limits on the attempts of a request.

    `max_attempts` includes the first attempt. With `uses_budget`, retries stop when the retry
    budget is empty, so that they do not add to an overload.
    """

    max_attempts: int
    uses_budget: bool


RETRY_POLICIES: Final[dict[str, RetryPolicy]] = {}


def retry(name: str) -> Callable[[Callable[[], RetryPolicy]], Callable[[], RetryPolicy]]:
    """Register the retry policy that the decorated function returns under a name."""

    def register(build_policy: Callable[[], RetryPolicy]) -> Callable[[], RetryPolicy]:
        RETRY_POLICIES[name] = build_policy()
        return build_policy

    return register


@retry("budget")
def build_budget_policy() -> RetryPolicy:
    """Retry up to three times, with retries limited to a tenth of the requests."""
    return RetryPolicy(4, True)


@retry("never")
def build_never_policy() -> RetryPolicy:
    """Attempt once without retries."""
    return RetryPolicy(1, False)


@retry("patient")
def build_patient_policy() -> RetryPolicy:
    """Retry many times, regardless of the load."""
    return RetryPolicy(20, False)


def get_retry_policy(name: str) -> RetryPolicy:
    """Return a policy by name; an unknown name falls back to the budget policy."""
    return RETRY_POLICIES.get(name, RETRY_POLICIES["budget"])


def draw_backoff_s(attempt: int, random: Random, base_s: float = BACKOFF_BASE_S) -> float:
    """Return a random delay in seconds.

    Its upper limit doubles with each attempt, up to BACKOFF_MAX_S.
    """
    return random.uniform(0, min(BACKOFF_MAX_S, base_s * 2**attempt))
