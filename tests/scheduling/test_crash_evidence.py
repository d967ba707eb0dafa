"""Tests of what tells a crash under a run from lost contact."""

from __future__ import annotations

from tests.scheduling.deadly_cell import DOWNTIME_S, make_job_id
from tests.scheduling.helpers import SchedulerHarness, make_step

LAPSE_S = 8.0
"""Time after which any lease of an executor that does not answer has ended."""


class TestLapsedRuns:
    """A process that ended after the lease of a run did not crash under it."""

    # Guards against LOST: the moment when contact was lost was taken for that of the crash, so a
    # job was given up though the executors had lived on until its runs lapsed.
    def test_executors_that_crash_after_the_lapse_do_not_convict(self) -> None:
        harness = SchedulerHarness(executors=5)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        for number in range(4):
            (start,) = harness.place_and_start()
            harness.tick(0.1)
            harness.answer_hold(start.executor)
            harness.tick(0.1)
            harness.crash_executor(start.executor)
            harness.tick(LAPSE_S)
            harness.replace_executor(start.executor, f"new{number}")
            harness.tick(DOWNTIME_S)
        assert not job.is_ended
