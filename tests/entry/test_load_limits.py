"""Tests of the limits on calls to an owner, and of sharded reads of the store."""

from __future__ import annotations

import asyncio

import pytest

from wasabiramp.entry.circuit_breaker import (
    JITTER_RANGE,
    MAX_PAUSE_S,
    MIN_PAUSE_S,
    OwnerCircuitBreaker,
)
from wasabiramp.entry.counts import MAX_COUNTS_AGE_S, WaitingCounts
from wasabiramp.entry.ports import Item, StoreUnknownError
from wasabiramp.entry.shards import (
    MAX_CONCURRENT_READS,
    NARROW_LINK_MBPS,
    SHARDS,
    UNSHARDED,
    ShardedRead,
    choose_shards,
)
from wasabiramp.model.entry.clock import VirtualLoop

MIN_JITTER_FACTOR = 1 - JITTER_RANGE / 2
MAX_JITTER_FACTOR = 1 + JITTER_RANGE / 2


class TestOwnerCircuitBreaker:
    """Load pattern: many daemons call an owner that does not answer."""

    def test_answered_calls_are_not_limited(self) -> None:
        breaker = OwnerCircuitBreaker("a")
        for _ in range(5):
            assert breaker.can_call("x", 1.0)
            breaker.record_success("x")

    def test_one_call_after_each_growing_pause(self) -> None:
        breaker, now, calls = OwnerCircuitBreaker("a"), 0.0, []
        while now < 20.0:
            if breaker.can_call("x", now):
                calls.append(now)
                breaker.record_failure("x", now)
            now += 0.01
        assert calls[1] - calls[0] >= MIN_PAUSE_S * MIN_JITTER_FACTOR
        assert len(calls) <= 6 + 20.0 / (MAX_PAUSE_S * MIN_JITTER_FACTOR)
        assert calls[-1] - calls[-2] <= MAX_PAUSE_S * MAX_JITTER_FACTOR + 0.02

    def test_single_probe_at_a_time(self) -> None:
        breaker = OwnerCircuitBreaker("a")
        assert breaker.can_call("x", 0.0)
        breaker.record_failure("x", 0.0)
        assert [breaker.can_call("x", 1.0) for _ in range(3)] == [True, False, False]

    def test_calls_that_fail_together_count_once(self) -> None:
        breaker = OwnerCircuitBreaker("a")
        for _ in range(10):
            assert breaker.can_call("x", 0.0)
        for _ in range(10):
            breaker.record_failure("x", 0.4)
        assert breaker.can_call("x", 0.4 + MIN_PAUSE_S * MAX_JITTER_FACTOR)

    def test_another_owner_is_called_at_once(self) -> None:
        breaker = OwnerCircuitBreaker("a")
        assert breaker.can_call("x", 0.0)
        breaker.record_failure("x", 0.0)
        assert not breaker.can_call("x", 0.01)
        assert breaker.can_call("y", 0.02)
        breaker.record_failure("x", 0.03)
        assert breaker.can_call("y", 0.04)

    def test_daemons_do_not_call_in_step(self) -> None:
        pauses = set()
        for number in range(20):
            breaker = OwnerCircuitBreaker(f"entry-{number}")
            assert breaker.can_call("x", 0.0)
            breaker.record_failure("x", 0.0)
            pauses.add(next(at for at in range(200) if breaker.can_call("x", at / 1000)))
        assert len(pauses) > 10


class TestWaitingCounts:
    """Load pattern: many callers ask for the number of waiting jobs."""

    def run(self, answers: list[dict[str, int] | None]) -> tuple[list[int | None], int]:
        """Ask ten times at once, and once more after the counts expire.

        Return the counts and the number of fetches.
        """
        fetches = 0

        async def async_fetch() -> dict[str, int] | None:
            nonlocal fetches
            await asyncio.sleep(0.01)
            fetches += 1
            return answers[min(fetches, len(answers)) - 1]

        async def run_scenario() -> list[int | None]:
            counts = WaitingCounts(async_fetch)
            first_counts = await asyncio.gather(*(counts.async_get("q") for _ in range(10)))
            await asyncio.sleep(MAX_COUNTS_AGE_S * 1.1)
            return [*first_counts, await counts.async_get("q")]

        loop = VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            return loop.run_until_complete(run_scenario()), fetches
        finally:
            loop.close()
            asyncio.set_event_loop(None)

    def test_callers_share_one_fetch(self) -> None:
        assert self.run([{"q": 3}, {"q": 4}]) == ([3] * 10 + [4], 2)

    def test_queue_without_waiting_jobs(self) -> None:
        assert self.run([{"other": 3}])[0] == [0] * 11

    def test_no_owner(self) -> None:
        assert self.run([None])[0] == [None] * 11


class PartialStore:
    """A store with one item per shard, in which some shards fail once."""

    def __init__(self, failing: set[str]) -> None:
        """Fail each of these shards once."""
        self.failing = set(failing)
        self.reads: list[str] = []
        self.open = 0
        self.max_open = 0

    async def async_list(self, prefix: str) -> tuple[list[Item], int]:
        """Return the shard's item; the revision increases with each read."""
        self.reads.append(prefix)
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        await asyncio.sleep(0)
        self.open -= 1
        if prefix in self.failing:
            self.failing.discard(prefix)
            raise StoreUnknownError(prefix)
        return [Item(f"{prefix}0", b"", 5)], 100 + len(self.reads)


class TestShardedRead:
    """Load pattern: a new owner reads many stored jobs over a narrow link."""

    def test_all_items_and_the_oldest_revision(self) -> None:
        store = PartialStore(set())
        items, as_of = asyncio.run(ShardedRead(store, "p/").async_read())
        assert {item.key for item in items} == {f"p/{shard}0" for shard in SHARDS}
        assert as_of == min(100 + number for number in range(MAX_CONCURRENT_READS, len(SHARDS)))

    def test_few_reads_at_once(self) -> None:
        store = PartialStore(set())
        asyncio.run(ShardedRead(store, "p/").async_read())
        assert store.max_open == MAX_CONCURRENT_READS

    def test_wide_links_read_without_shards(self) -> None:
        assert choose_shards(NARROW_LINK_MBPS) == UNSHARDED
        assert choose_shards(NARROW_LINK_MBPS / 2) == SHARDS
        store = PartialStore(set())
        asyncio.run(ShardedRead(store, "p/", UNSHARDED).async_read())
        assert store.reads == ["p/"]

    def test_retry_reads_only_failed_shards(self) -> None:
        store = PartialStore({"p/3", "p/a"})
        read = ShardedRead(store, "p/")

        async def run_scenario() -> list[Item]:
            with pytest.raises(StoreUnknownError):
                await read.async_read()
            store.reads.clear()
            return (await read.async_read())[0]

        assert len(asyncio.run(run_scenario())) == len(SHARDS)
        assert store.reads == ["p/3", "p/a"]
