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


ORDERING_POLICIES: Final[dict[str, Ordering]] = {}


def ordering(name: str) -> Callable[[Ordering], Ordering]:
    """Register an ordering policy under a name."""

    def register(policy: Ordering) -> Ordering:
        ORDERING_POLICIES[name] = policy
        return policy

    return register


class FairQueue:
    """A heap of waiting items that orders teams by start-time fair queueing.

    Each item of a team is tagged one share later than the team's last, so a team that sends a
    burst waits behind its own items and not in front of another team's.
    """

    __slots__ = ("_heap", "_waiting_items", "_team_tags", "_virtual_time", "_push_count")

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[tuple[float, ...], int, str, float]] = []
        self._waiting_items: dict[str, Waiting] = {}
        self._team_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._push_count = 0

    def __len__(self) -> int:
        """Return how many items wait."""
        return len(self._waiting_items)

    def __contains__(self, item: str) -> bool:
        """Tell whether the item waits here."""
        return item in self._waiting_items

    def assign_tag(self, waiting: Waiting) -> float:
        """Return the fair share tag of the team's next item, and move the team on."""
        tag = max(self._virtual_time, self._team_tags.get(waiting.team, 0.0)) + 1.0 / waiting.weight
        self._team_tags[waiting.team] = tag
        return tag

    def push(
        self, waiting: Waiting, policy: str = "fair", order: tuple[float, ...] = ()
    ) -> tuple[float, ...]:
        """Add an item under an ordering policy and return its place.

        An item that waited here before keeps its place when that is given as `order`.
        """
        order = order or ORDERING_POLICIES.get(policy, order_fairly)(self, waiting)
        self._push_count += 1
        self._waiting_items[waiting.item] = waiting
        heapq.heappush(self._heap, (order, self._push_count, waiting.item, order[1]))
        return order

    def pop(self) -> str | None:
        """Remove and return the first item, or None when none waits."""
        while self._heap:
            _order, _push_count, item, tag = heapq.heappop(self._heap)
            if self._waiting_items.pop(item, None) is None:
                continue
            self._virtual_time = max(self._virtual_time, tag)
            if not self._waiting_items:
                self._team_tags.clear()
                self._virtual_time = 0.0
            return item
        return None

    def remove(self, item: str) -> None:
        """Drop an item that no longer waits."""
        self._waiting_items.pop(item, None)


@ordering("fair")
def order_fairly(queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
    """Order by priority, then by team share, then by deadline."""
    return (-waiting.priority, queue.assign_tag(waiting), waiting.deadline_at)


@ordering("deadline")
def order_by_deadline(_queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
    """Order by priority, then by deadline, whatever the team."""
    return (-waiting.priority, 0.0, waiting.deadline_at)


@ordering("arrival")
def order_by_arrival(_queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
    """Order by priority, then by arrival."""
    return (-waiting.priority, 0.0, 0.0)
