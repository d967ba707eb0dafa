"""Tests of the leases that an owner gives, by our clock and by those of executors."""

from __future__ import annotations

import pytest

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, StartTask, make_step
from wasabiramp.scheduling.events import (
    NOT_SENT,
    ExecutorUnlisted,
    HoldAnswered,
    HoldFailed,
    StartAnswered,
)
from wasabiramp.scheduling.leases import (
    DRAINING_LEASE_S,
    MAX_CLOCK_AGE_S,
    MAX_CLOCK_DRIFT_SHARE,
    MAX_UNCONFIRMED_S,
    PREDECESSOR_WAIT_S,
)
from wasabiramp.scheduling.model import ExecutorReport

LEASE_S = 3.0


class SlowClock:
    """The clock of an executor that runs as slowly as the platform allows."""

    def __init__(self, harness: SchedulerHarness) -> None:
        """Start at 5 s at the present time of a harness."""
        self._harness = harness
        self._started_at = harness.now

    def read_ms(self) -> int:
        """Return the milliseconds that the clock shows."""
        passed_s = self._harness.now - self._started_at
        return 5_000 + int(passed_s * (1 - MAX_CLOCK_DRIFT_SHARE) * 1000)

    def answer_hold(self, name: str) -> None:
        """Answer a hold of an executor without runs."""
        report = ExecutorReport(self.read_ms(), self._harness.incarnations[name], (), ())
        self._harness.apply(HoldAnswered(name, self._harness.now, report))


class TestLeaseLength:
    """No lease lasts longer than the owner wants, however slow the executor's clock is."""

    # Guards against TWICE after a takeover: the first run on an executor that had been idle for a
    # minute got a lease that outlasted the wait of the next owner.
    @pytest.mark.parametrize("idle_s", [0.0, 5.0, MAX_CLOCK_AGE_S - 0.1])
    def test_lease_of_an_idle_executor(self, idle_s: float) -> None:
        harness = SchedulerHarness(executors=1, lease_s=LEASE_S)
        clock = SlowClock(harness)
        harness.incarnations["e0"] = 2
        clock.answer_hold("e0")
        harness.list_executor("e0", born_ms=2)
        harness.tick(idle_s)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        lease_s = (start.until_ms - clock.read_ms()) / 1000
        assert LEASE_S - 1.0 <= lease_s <= LEASE_S

    def test_old_clock_is_read_again(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.take_effects(HoldExecutor)
        harness.tick(MAX_CLOCK_AGE_S - 1.0)
        assert harness.take_effects(HoldExecutor) == []
        harness.tick(1.1)
        assert [hold.executor for hold in harness.take_effects(HoldExecutor)] == ["e0"]


class TestDrainingExecutors:
    """Tasks of an executor that drains and leaves start elsewhere soon."""

    # Guards against a wait of a whole lease for each task of an executor that left in order.
    def test_tasks_start_elsewhere_when_a_short_lease_has_ended(self) -> None:
        harness = SchedulerHarness(executors=2, lease_s=LEASE_S)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.list_executor(start.executor, is_draining=True)
        for _ in range(40):
            harness.tick(0.1)
            for hold in harness.take_effects(HoldExecutor):
                assert hold.wait_s < DRAINING_LEASE_S / 2
                harness.answer_hold(hold.executor)
        left_at = harness.now
        harness.apply(ExecutorUnlisted(start.executor))
        while not harness.place():
            harness.apply(HoldFailed(start.executor, harness.now, NOT_SENT))
            harness.tick(0.1)
        assert DRAINING_LEASE_S <= harness.now - left_at <= DRAINING_LEASE_S + 0.5


class TestUnprovenTerm:
    """An owner whose term is not proven lets its leases end in time for the next owner."""

    def start_run(self, harness: SchedulerHarness) -> StartTask:
        """Start a run of a long task and confirm it."""
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.answer_hold(start.executor)
        return start

    # Guards against TWICE: an owner that was cut off from the store renewed the lease of an
    # executor that the next owner could not reach, and took for ended.
    def test_no_hold_extends_a_lease_beyond_the_limit(self) -> None:
        harness = SchedulerHarness(executors=1, lease_s=LEASE_S)
        start = self.start_run(harness)
        end_by = harness.now + MAX_UNCONFIRMED_S
        end_by_ms = round((end_by - harness.clock_lag_s) * 1000)
        harness.scheduler.limit_leases(end_by)
        leases = [start.until_ms]
        for _ in range(100):
            harness.tick(0.1)
            for hold in harness.take_effects(HoldExecutor):
                leases.append(hold.until_ms or 0)
                harness.answer_hold("e0")
        assert max(leases) <= end_by_ms
        # The lease is renewed for as long as possible, so that short outages end no work.
        assert max(leases) >= end_by_ms - 100

    def test_nothing_is_started_with_a_short_lease(self) -> None:
        harness = SchedulerHarness(executors=1, lease_s=LEASE_S)
        harness.scheduler.limit_leases(harness.now + 0.5)
        harness.submit("a" * 16, "batch", make_step(1))
        assert harness.place() == []
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        assert len(harness.place()) == 1

    def test_unanswered_start_is_not_repeated_with_a_longer_lease(self) -> None:
        harness = SchedulerHarness(executors=1, lease_s=LEASE_S)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.scheduler.limit_leases(harness.now - 1.0)
        harness.apply(StartAnswered("e0", start.task, start.run, harness.now, "unknown"))
        assert harness.take_effects(StartTask) == [start]

    def test_next_owner_waits_for_the_slowest_clock(self) -> None:
        assert PREDECESSOR_WAIT_S * (1 - MAX_CLOCK_DRIFT_SHARE) > MAX_UNCONFIRMED_S
