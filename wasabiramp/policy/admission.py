"""Admission policies: whether a request may join a queue."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wasabiramp.core.records import record


@record
class QueueView:
    """What an admission policy may look at."""

    length: int
    limit: int
    priority: int


Admission = Callable[[QueueView], str]
ADMISSION_POLICIES: Final[dict[str, Admission]] = {}

RESERVED_SHARE: Final = 0.2
"""The part of a queue that only classes of positive priority may fill."""


def admission(name: str) -> Callable[[Admission], Admission]:
    """Register an admission policy; it returns a reason to refuse, or an empty string."""

    def register(policy: Admission) -> Admission:
        ADMISSION_POLICIES[name] = policy
        return policy

    return register


@admission("bounded")
def admit_bounded(view: QueueView) -> str:
    """Admit while the queue has room, and keep some of it for classes of positive priority."""
    limit = view.limit if view.priority > 0 else int(view.limit * (1 - RESERVED_SHARE))
    return "" if view.length < limit else "the queue of the service is full"


@admission("no-wait")
def admit_without_wait(view: QueueView) -> str:
    """Refuse what cannot run at once."""
    return "no slot is free"


def find_admission_refusal(name: str, view: QueueView) -> str:
    """Return why the policy refuses, or an empty string; an unknown name gets "bounded"."""
    return ADMISSION_POLICIES.get(name, admit_bounded)(view)
