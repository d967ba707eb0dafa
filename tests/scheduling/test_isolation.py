"""Tests of the risk of queues whose tasks have crashed executors."""

from __future__ import annotations

import pytest

from tests.scheduling.deadly_cell import make_job_id
from tests.scheduling.helpers import SchedulerHarness, make_step
from wasabiramp.scheduling.isolation import get_risk


def start_tasks(harness: SchedulerHarness, *queues: str) -> dict[str, str]:
    """Start a task of each queue; return the executor of each."""
    for number, queue in enumerate(queues):
        harness.submit(make_job_id(number), queue, make_step(1, cpu=4_000))
    starts = harness.place_and_start()
    harness.tick(0.1)
    for start in starts:
        harness.answer_hold(start.executor)
    return {queues[int(start.task.partition(".")[0], 16)]: start.executor for start in starts}


class TestWithdrawals:
    """An executor that answers again was only out of contact, which is no risk of a queue."""

    def get_risk(self, harness: SchedulerHarness, queue: str) -> float:
        """Return the risk of a queue."""
        return get_risk(harness.scheduler.state, queue)

    # Guards against late work: what was counted at the first loss stayed once the others in its
    # moment lowered the blame, so a cut kept a queue apart for a minute.
    def test_loss_in_the_moment_of_others(self) -> None:
        harness = SchedulerHarness(executors=3)
        executors = start_tasks(harness, "urgent", "batch", "gangs")
        for name in executors.values():
            harness.crash_executor(name)
        assert self.get_risk(harness, "urgent") > 0
        for name in executors.values():
            harness.answer_hold(name)
        risks = [self.get_risk(harness, queue) for queue in executors]
        assert risks == [pytest.approx(0.0, abs=1e-9)] * 3

    # Guards against a risk below zero, which hid the next crashes by tasks of the queue.
    def test_long_silence(self) -> None:
        harness = SchedulerHarness(executors=1)
        (name,) = start_tasks(harness, "batch").values()
        harness.crash_executor(name)
        harness.tick(30.0)
        harness.answer_hold(name)
        assert self.get_risk(harness, "batch") == pytest.approx(0.0, abs=1e-9)

    # Guards against late work: an entry of another writer left a risk for a process that went on.
    def test_start_time_that_was_wrong(self) -> None:
        harness = SchedulerHarness(executors=1)
        (name,) = start_tasks(harness, "batch").values()
        harness.incarnations[name] = 2
        harness.list_executor(name)
        assert self.get_risk(harness, "batch") > 0
        harness.incarnations[name] = 1
        harness.tick(0.1)
        harness.answer_hold(name)
        assert self.get_risk(harness, "batch") == pytest.approx(0.0, abs=1e-9)
