"""Tests of the checks of the history."""

from __future__ import annotations

import pytest

from wasabiramp.model.entry.checker import HistoryChecker, JobRecord
from wasabiramp.scheduling.model import FAILED, JobDefinition, Queue, Resources, Step

JOB = "0" * 16
MAX_ATTEMPTS = 3


def make_checker(is_gang: bool = False) -> HistoryChecker:
    """Return the history of one accepted job with a step of two tasks."""
    queue = Queue("batch", "h", "/b/", "service", 2, MAX_ATTEMPTS, 4.0, 3.0)
    step = Step(2, Resources(100, 100, 0), 1.0, is_gang=is_gang)
    checker = HistoryChecker(0.0)
    checker.jobs[JOB] = JobRecord(JobDefinition(JOB, queue, "spec", (step,), 0))
    checker.jobs[JOB].accepted_at = 0.0
    return checker


def acknowledge(checker: HistoryChecker, index: int, run: int, has_lapsed: bool = False) -> None:
    """Record an acknowledged end of a failed run of one of the tasks."""
    checker.record_acknowledged_end(2.0, f"{JOB}.0.0.{index}", run, FAILED, 1.0, has_lapsed)


def show_failed(checker: HistoryChecker) -> list[str]:
    """Show the job as failed and return the codes of the breaches."""
    checker.check_shown(3.0, JOB, FAILED)
    return [text.partition(" ")[0] for text in checker.breaches]


class TestShownAsFailed:
    """A job is shown as failed only once one of its tasks has used up its attempts."""

    def test_attempts_of_one_task(self) -> None:
        checker = make_checker()
        for run in range(1, MAX_ATTEMPTS + 1):
            acknowledge(checker, 0, run)
        assert show_failed(checker) == []

    # Any one acknowledged failure of any task was taken for a cause.
    @pytest.mark.parametrize("count", range(MAX_ATTEMPTS))
    def test_too_few_attempts_are_reported(self, count: int) -> None:
        checker = make_checker()
        for run in range(1, count + 1):
            acknowledge(checker, 0, run)
        assert show_failed(checker) == ["LOST"]

    def test_attempts_of_several_tasks_do_not_add_up(self) -> None:
        checker = make_checker()
        acknowledge(checker, 0, 1)
        acknowledge(checker, 0, 2)
        acknowledge(checker, 1, 1)
        assert show_failed(checker) == ["LOST"]

    def test_end_whose_lease_lapsed_does_not_count(self) -> None:
        checker = make_checker()
        acknowledge(checker, 0, 1)
        acknowledge(checker, 0, 2)
        acknowledge(checker, 0, 3, has_lapsed=True)
        assert show_failed(checker) == ["LOST"]

    def test_cancel_is_no_cause(self) -> None:
        checker = make_checker()
        checker.jobs[JOB].cancel_asked_at = 1.0
        assert show_failed(checker) == ["LOST"]

    def test_attempts_of_the_members_of_a_gang_add_up(self) -> None:
        checker = make_checker(is_gang=True)
        acknowledge(checker, 0, 1)
        acknowledge(checker, 1, 2)
        acknowledge(checker, 0, 3)
        assert show_failed(checker) == []

    def test_one_run_of_a_gang_is_one_attempt(self) -> None:
        checker = make_checker(is_gang=True)
        for run in (1, 2):
            acknowledge(checker, 0, run)
            acknowledge(checker, 1, run)
        assert show_failed(checker) == ["LOST"]

    def test_crashes_count_only_for_the_task_that_they_happened_under(self) -> None:
        checker = make_checker()
        checker.record_run_at_crash(f"{JOB}.0.0.0")
        checker.record_run_at_crash(f"{JOB}.0.0.1")
        assert show_failed(checker) == ["LOST"]

    def test_two_crashes_under_one_task(self) -> None:
        checker = make_checker()
        checker.record_run_at_crash(f"{JOB}.0.0.0")
        checker.record_run_at_crash(f"{JOB}.0.0.0")
        assert show_failed(checker) == []
