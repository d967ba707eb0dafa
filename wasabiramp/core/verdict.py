"""Outcome of a request: whether it ran, did not run, or may have run."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.records import record

RAN: Final = "ran"
NOT_RUN: Final = "not-run"
MAY_HAVE_RUN: Final = "may-have-run"


@record
class Verdict:
    """Outcome of a request as reported to its caller.

    `retry_after_s` is set on a "not-run" verdict when a later retry may succeed. `body` holds the
    complete answer of a request that ran.

    Example: `Verdict.not_run("queue full", retry_after_s=0.5)`.
    """

    outcome: str
    reason: str = ""
    retry_after_s: float | None = None
    body: bytes = b""

    @classmethod
    def ran(cls, body: bytes, reason: str = "") -> Verdict:
        """Return the verdict for a request that ran and was answered."""
        return cls(RAN, reason, None, body)

    @classmethod
    def not_run(cls, reason: str, retry_after_s: float | None = None) -> Verdict:
        """Return the verdict for a request that certainly did not run."""
        return cls(NOT_RUN, reason, retry_after_s)

    @classmethod
    def may_have_run(cls, reason: str) -> Verdict:
        """Return the verdict for a request of which it is unknown whether it ran."""
        return cls(MAY_HAVE_RUN, reason)
