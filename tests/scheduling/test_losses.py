"""Tests of the rate of crashes for which no task is to blame."""

from __future__ import annotations

import pytest

from tests.scheduling.deadly_cell import make_job_id
from tests.scheduling.helpers import SchedulerHarness, make_step
from wasabiramp.entry.owner import RUN_LEASE_S
from wasabiramp.scheduling.events import UNKNOWN, ExecutorUnlisted, HoldFailed

LAPSE_S = 8.0
"""Time after which any lease of an executor that does not answer has ended."""


class TestUnexplainedCrashes:
    """Only a process that may have ended under a lease counts as a crash without an explanation."""

    def lose_executor(self, is_idle: bool = False) -> SchedulerHarness:
        """Lose contact with an executor, which runs a task or is idle."""
        harness = SchedulerHarness(executors=1, lease_s=RUN_LEASE_S)
        if not is_idle:
            harness.submit(make_job_id(0), "batch", make_step(1))
            harness.place_and_start()
            harness.tick(0.1)
            harness.answer_hold("e0")
        harness.crash_executor("e0")
        return harness

    def count_unexplained(self, harness: SchedulerHarness) -> float:
        """Return the crashes for which no task is to blame."""
        return harness.scheduler.state.unexplained_crashes

    def restart(self, harness: SchedulerHarness, downtime_s: float) -> None:
        """Let a new process answer under the id of the executor after a time."""
        harness.tick(downtime_s)
        harness.incarnations["e0"] += 1
        harness.list_executor("e0")
        harness.answer_hold("e0")

    # Guards against BUDGET: cuts that ended with other processes raised the rate, so that crashes
    # by deadly tasks counted less.
    @pytest.mark.parametrize(("downtime_s", "is_counted"), [(1.0, True), (LAPSE_S, False)])
    def test_process_that_is_replaced(self, downtime_s: float, is_counted: bool) -> None:
        harness = self.lose_executor()
        self.restart(harness, downtime_s)
        assert (self.count_unexplained(harness) > 0) is is_counted

    def test_executor_of_which_only_the_entry_is_gone(self) -> None:
        harness = self.lose_executor()
        harness.apply(ExecutorUnlisted("e0"))
        for _ in range(20):
            harness.tick(0.5)
            harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        assert "e0" not in harness.scheduler.state.executors
        assert self.count_unexplained(harness) == 0

    def test_idle_executor_that_is_replaced(self) -> None:
        harness = self.lose_executor(is_idle=True)
        self.restart(harness, LAPSE_S)
        assert self.count_unexplained(harness) == 1
