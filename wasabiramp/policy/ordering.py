"""Ordering policies: which waiting request or task goes first."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from typing import Final, Protocol

from wasabiramp.core.records import record


@record
class Waiting:
    """What an ordering policy may look at; `deadline_at` is in loop seconds."""

    item: str
    team: str
    priority: int
    deadline_at: float
    weight: float = 1.0


class Ordering(Protocol):
    """Returns the sort key of a waiting item; the lowest goes first."""

    def __call__(self, queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
        """Return the sort key."""


ORDERINGS: Final[dict[str, Ordering]] = {}


def ordering(name: str) -> Callable[[Ordering], Ordering]:
    """Register an ordering policy under a name."""

    def register(policy: Ordering) -> Ordering:
        ORDERINGS[name] = policy
        return policy

    return register


class FairQueue:
    """A heap of waiting items that orders teams by start-time fair queueing.

    Each item of a team is tagged one share later than the team's last, so a team that sends a
    burst waits behind its own items and not in front of another team's.
    """

    __slots__ = ("_heap", "_members", "_tags", "_clock", "_count")

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[tuple[float, ...], int, str, float]] = []
        self._members: dict[str, Waiting] = {}
        self._tags: dict[str, float] = {}
        self._clock = 0.0
        self._count = 0

    def __len__(self) -> int:
        """Return how many items wait."""
        return len(self._members)

    def __contains__(self, item: str) -> bool:
        """Tell whether the item waits here."""
        return item in self._members

    def next_tag(self, waiting: Waiting) -> float:
        """Return the fair share tag of the team's next item, and move the team on."""
        tag = max(self._clock, self._tags.get(waiting.team, 0.0)) + 1.0 / waiting.weight
        self._tags[waiting.team] = tag
        return tag

    def push(
        self, waiting: Waiting, policy: str = "fair", order: tuple[float, ...] = ()
    ) -> tuple[float, ...]:
        """Add an item under an ordering policy and return its place.

        An item that waited here before keeps its place when that is given as `order`.
        """
        order = order or ORDERINGS.get(policy, order_fairly)(self, waiting)
        self._count += 1
        self._members[waiting.item] = waiting
        heapq.heappush(self._heap, (order, self._count, waiting.item, order[1]))
        return order

    def pop(self) -> str | None:
        """Remove and return the first item, or None when none waits."""
        while self._heap:
            _order, _count, item, tag = heapq.heappop(self._heap)
            if self._members.pop(item, None) is None:
                continue
            self._clock = max(self._clock, tag)
            if not self._members:
                self._tags.clear()
                self._clock = 0.0
            return item
        return None

    def remove(self, item: str) -> None:
        """Drop an item that no longer waits."""
        self._members.pop(item, None)


@ordering("fair")
def order_fairly(queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
    """Order by priority, then by team share, then by deadline."""
    return (-waiting.priority, queue.next_tag(waiting), waiting.deadline_at)


@ordering("deadline")
def order_by_deadline(_queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
    """Order by priority, then by deadline, whatever the team."""
    return (-waiting.priority, 0.0, waiting.deadline_at)


@ordering("arrival")
def order_by_arrival(_queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
    """Order by priority, then by arrival."""
    return (-waiting.priority, 0.0, 0.0)
