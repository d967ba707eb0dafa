"""Tests of the ordering policies."""

from __future__ import annotations

from wasabiramp.policy.ordering import FairQueue, Waiting


def drain(queue: FairQueue) -> list[str]:
    """Return all items in order."""
    items = []
    while queue:
        items.append(queue.pop())
    return items


class TestFairQueue:
    """Teams share, whatever the length of their bursts."""

    def test_burst_waits_behind_itself(self) -> None:
        queue = FairQueue()
        for index in range(10):
            queue.push(Waiting(f"burst{index}", "a", 0, 5.0))
        queue.push(Waiting("single", "b", 0, 5.0))
        assert drain(queue).index("single") <= 1

    def test_weight_gives_more_turns(self) -> None:
        queue = FairQueue()
        for index in range(30):
            queue.push(Waiting(f"heavy{index}", "heavy", 0, 5.0, weight=2.0))
            queue.push(Waiting(f"light{index}", "light", 0, 5.0, weight=1.0))
        first = drain(queue)[:30]
        assert sum(item.startswith("heavy") for item in first) == 20

    def test_priority_goes_first(self) -> None:
        queue = FairQueue()
        queue.push(Waiting("low", "a", 0, 1.0))
        queue.push(Waiting("high", "a", 5, 9.0))
        assert drain(queue) == ["high", "low"]

    def test_deadline_policy(self) -> None:
        queue = FairQueue()
        queue.push(Waiting("late", "a", 0, 9.0), "deadline")
        queue.push(Waiting("soon", "a", 0, 1.0), "deadline")
        assert drain(queue) == ["soon", "late"]

    def test_removed_item_is_not_popped(self) -> None:
        queue = FairQueue()
        queue.push(Waiting("one", "a", 0, 1.0))
        queue.remove("one")
        assert queue.pop() is None
