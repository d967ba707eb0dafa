"""Tests of the checks after the last fault."""

from __future__ import annotations

from soak.checks import (
    CONFIRM_S,
    async_check_cancelled_jobs,
    async_check_lasting_tasks,
    check_confirmations,
    list_lasting_jobs,
)
from tests.platform_stand_ins.helpers import run_virtual
from wasabiramp.model.entry.checker import HistoryChecker, JobRecord
from wasabiramp.scheduling.model import JobDefinition, Queue, Resources, Step

JOB = "0" * 16
TASK = f"{JOB}.0.0.0"


def make_checker(is_lasting: bool) -> HistoryChecker:
    """Return the history of one accepted job with one task."""
    queue = Queue("batch", "h", "/b/", "service", 2, 4, 4.0, 3.0)
    step = Step(1, Resources(100, 100, 0), 1.0, is_lasting=is_lasting)
    checker = HistoryChecker(0.0)
    checker.jobs[JOB] = JobRecord(JobDefinition(JOB, queue, "spec", (step,), 0))
    checker.jobs[JOB].accepted_at = 0.0
    return checker


class TestLastingTasks:
    """Lasting tasks are at work again after the last fault."""

    def test_task_without_a_run_is_reported(self) -> None:
        checker = make_checker(is_lasting=True)
        run_virtual(async_check_lasting_tasks(checker))
        assert [text.partition(" ")[0] for text in checker.breaches] == ["LOST"]

    def test_task_at_work_is_not_reported(self) -> None:
        checker = make_checker(is_lasting=True)
        checker.running[TASK] = {("i-0", 1)}
        run_virtual(async_check_lasting_tasks(checker))
        assert checker.breaches == []

    def test_task_of_a_cancelled_job_is_not_awaited(self) -> None:
        checker = make_checker(is_lasting=True)
        checker.jobs[JOB].cancel_asked_at = 1.0
        run_virtual(async_check_lasting_tasks(checker))
        assert checker.breaches == []

    def test_job_whose_cancel_was_not_confirmed_is_cancelled_again(self) -> None:
        # Guards against LOST by a caller that gave up its cancel: the job goes on for good.
        checker = make_checker(is_lasting=True)
        checker.jobs[JOB].cancel_asked_at = 1.0
        assert list(list_lasting_jobs(checker)) == [JOB]
        checker.jobs[JOB].cancel_acked_at = 2.0
        assert not list_lasting_jobs(checker)


class TestConfirmations:
    """Cancels in a calm cell are confirmed in time."""

    def test_cancels_that_most_daemons_cannot_pass_on_are_reported(self) -> None:
        # Guards against retries at other daemons that hide daemons which do not know the owner.
        checker = make_checker(is_lasting=True)
        record = checker.jobs[JOB]
        record.cancel_acked_at = CONFIRM_S + 1.0
        check_confirmations(checker, [record] * 3, began_at=0.0)
        assert [text.partition(" ")[0] for text in checker.breaches] == ["ACKS"]

    def test_two_late_cancels_are_allowed(self) -> None:
        checker = make_checker(is_lasting=True)
        record = checker.jobs[JOB]
        record.cancel_acked_at = CONFIRM_S + 1.0
        check_confirmations(checker, [record] * 2, began_at=0.0)
        assert checker.breaches == []

    def test_cancel_without_any_confirmation_is_lost(self) -> None:
        checker = make_checker(is_lasting=True)
        check_confirmations(checker, [checker.jobs[JOB]], began_at=0.0)
        assert [text.partition(" ")[0] for text in checker.breaches] == ["LOST"]


class TestCancelledJobs:
    """Tasks of cancelled jobs don't run on."""

    def test_run_of_a_cancelled_job_is_reported(self) -> None:
        checker = make_checker(is_lasting=False)
        checker.running[TASK] = {("i-0", 1)}
        checker.jobs[JOB].cancel_acked_at = 1.0
        run_virtual(async_check_cancelled_jobs(checker))
        assert [text.partition(" ")[0] for text in checker.breaches] == ["UNASKED"]

    def test_run_of_another_job_may_go_on(self) -> None:
        checker = make_checker(is_lasting=False)
        checker.running[TASK] = {("i-0", 1)}
        run_virtual(async_check_cancelled_jobs(checker))
        assert checker.breaches == []
