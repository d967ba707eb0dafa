"""Tests of the ordering policies."""

from __future__ import annotations

from wasabiramp.policy.ordering import FairQueue, Waiting


def pop_all(queue: FairQueue) -> list[str]:
    """Remove and return all items in order."""
    items = []
    while queue:
        items.append(queue.pop())
    return items


class TestFairQueue:
    """Teams share a queue by weight, regardless of the length of their bursts."""

    def test_burst_does_not_delay_another_team(self) -> None:
        queue = FairQueue()
        for index in range(10):
            queue.push(Waiting(f"burst{index}", "a", 0, 5.0))
        queue.push(Waiting("single", "b", 0, 5.0))
        assert pop_all(queue).index("single") <= 1

    def test_team_share_follows_its_weight(self) -> None:
        queue = FairQueue()
        for index in range(30):
            queue.push(Waiting(f"heavy{index}", "heavy", 0, 5.0, weight=2.0))
            queue.push(Waiting(f"light{index}", "light", 0, 5.0, weight=1.0))
        first = pop_all(queue)[:30]
        assert sum(item.startswith("heavy") for item in first) == 20

    def test_higher_priority_goes_first(self) -> None:
        queue = FairQueue()
        queue.push(Waiting("low", "a", 0, 1.0))
        queue.push(Waiting("high", "a", 5, 9.0))
        assert pop_all(queue) == ["high", "low"]

    def test_earlier_deadline_goes_first(self) -> None:
        queue = FairQueue()
        queue.push(Waiting("late", "a", 0, 9.0), "deadline")
        queue.push(Waiting("soon", "a", 0, 1.0), "deadline")
        assert pop_all(queue) == ["soon", "late"]

    def test_removed_item_is_not_popped(self) -> None:
        queue = FairQueue()
        queue.push(Waiting("one", "a", 0, 1.0))
        queue.remove("one")
        assert queue.pop() is None
