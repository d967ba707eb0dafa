"""Answers to callers, independent of the platform's protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

ACCEPTED: Final = "accepted"
SHOWN: Final = "shown"
CANCELLED: Final = "cancelled"
NO_SUCH_JOB: Final = "no-such-job"
NO_SUCH_QUEUE: Final = "no-such-queue"
OVERLOADED: Final = "overloaded"
NOT_RUN: Final = "not-run"
NOT_READY: Final = "not-ready"
MAY_HAVE_RUN: Final = "may-have-run"


@dataclass(slots=True, frozen=True)
class Answer:
    """Answer to a caller.

    `NOT_RUN` and `OVERLOADED` mean that the job is not stored and never runs; `MAY_HAVE_RUN` means
    that the submitted job may be stored, or that the cancellation may still take effect.
    """

    outcome: str
    phase: str = ""
    waiting: int | None = None
    reason: str = ""
    retry_after_s: float | None = None
