"""Ordering policies, which decide which waiting request or task runs first."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from typing import Final, Protocol

from wasabiramp.core.records import record


@record
class Waiting:
    """A waiting request or task.

    `item` is its id, `deadline_at` is loop time in seconds, and `weight` is that of the team.
    """

    item: str
    team: str
    priority: int
    deadline_at: float
    weight: float = 1.0


class OrderingPolicy(Protocol):
    """Ordering policy: returns the sort key of a waiting item, where the lowest runs first.

    The second element is the item's virtual time tag, or 0 if the policy ignores the team.
    """

    def __call__(self, queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
        """Return the sort key."""


ORDERING_POLICIES: Final[dict[str, OrderingPolicy]] = {}


def ordering(name: str) -> Callable[[OrderingPolicy], OrderingPolicy]:
    """Register an ordering policy under a name."""

    def register(policy: OrderingPolicy) -> OrderingPolicy:
        ORDERING_POLICIES[name] = policy
        return policy

    return register


class FairQueue:
    """Priority queue that shares capacity among teams by start-time fair queueing.

    Each item gets a virtual time tag that is 1 / weight later than the tag of the team's previous
    item. A burst of one team therefore delays that team's own items and not those of other teams.
    """

    __slots__ = ("_heap", "_waiting_items", "_team_tags", "_virtual_time", "_push_count")

    def __init__(self) -> None:
        """Initialise an empty queue."""
        self._heap: list[tuple[tuple[float, ...], int, str, float]] = []
        self._waiting_items: dict[str, Waiting] = {}
        self._team_tags: dict[str, float] = {}
        self._virtual_time = 0.0
        self._push_count = 0

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._waiting_items)

    def __contains__(self, item: str) -> bool:
        """Return whether the item is waiting."""
        return item in self._waiting_items

    def assign_tag(self, waiting: Waiting) -> float:
        """Assign the virtual time tag of the team's next item and return it."""
        tag = max(self._virtual_time, self._team_tags.get(waiting.team, 0.0)) + 1.0 / waiting.weight
        self._team_tags[waiting.team] = tag
        return tag

    def push(
        self, waiting: Waiting, policy: str = "fair", order: tuple[float, ...] = ()
    ) -> tuple[float, ...]:
        """Add an item under an ordering policy and return its sort key.

        An unknown policy name falls back to "fair".

        An item that is queued again keeps its place if its former sort key is given as `order`.
        """
        order = order or ORDERING_POLICIES.get(policy, order_fairly)(self, waiting)
        self._push_count += 1
        self._waiting_items[waiting.item] = waiting
        heapq.heappush(self._heap, (order, self._push_count, waiting.item, order[1]))
        return order

    def pop(self) -> str | None:
        """Remove and return the first item, or return None when the queue is empty."""
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
        """Remove an item that no longer waits."""
        self._waiting_items.pop(item, None)


@ordering("fair")
def order_fairly(queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
    """Order by priority, then by the team's fair share, then by deadline."""
    return (-waiting.priority, queue.assign_tag(waiting), waiting.deadline_at)


@ordering("deadline")
def order_by_deadline(_queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
    """Order by priority, then by deadline, regardless of the team."""
    return (-waiting.priority, 0.0, waiting.deadline_at)


@ordering("arrival")
def order_by_arrival(_queue: FairQueue, waiting: Waiting) -> tuple[float, ...]:
    """Order by priority, then by arrival, regardless of the team."""
    return (-waiting.priority, 0.0, 0.0)
