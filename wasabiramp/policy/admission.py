"""Admission policies, which decide whether a request may wait in a queue."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wasabiramp.core.records import record


@record
class QueueView:
    """Input of an admission policy: length and limit of the queue, priority of the request."""

    length: int
    limit: int
    priority: int


AdmissionPolicy = Callable[[QueueView], str]
ADMISSION_POLICIES: Final[dict[str, AdmissionPolicy]] = {}

RESERVED_SHARE: Final = 0.2
"""Share of a queue that is reserved for classes of positive priority."""


def admission(name: str) -> Callable[[AdmissionPolicy], AdmissionPolicy]:
    """Register an admission policy under a name.

    The policy returns the reason for a refusal, or an empty string to admit the request.
    """

    def register(policy: AdmissionPolicy) -> AdmissionPolicy:
        ADMISSION_POLICIES[name] = policy
        return policy

    return register


@admission("bounded")
def admit_bounded(view: QueueView) -> str:
    """Admit while the queue has room; a share is reserved for classes of positive priority."""
    limit = view.limit if view.priority > 0 else int(view.limit * (1 - RESERVED_SHARE))
    return "" if view.length < limit else "the queue of the service is full"


@admission("no-wait")
def admit_without_wait(view: QueueView) -> str:
    """Refuse every request that cannot run immediately."""
    return "no slot is free"


def find_admission_refusal(name: str, view: QueueView) -> str:
    """Return why the policy refuses the request, or an empty string.

    An unknown policy name falls back to "bounded".
    """
    return ADMISSION_POLICIES.get(name, admit_bounded)(view)
