"""Tests of which failed runs the history checker counts as attempts."""

from __future__ import annotations

import pytest

from wasabiramp.model.entry.checker import HistoryChecker, JobRecord
from wasabiramp.scheduling.model import DONE, FAILED, JobDefinition, Queue, Resources, Step

JOB = "0" * 16
TASK = f"{JOB}.0.0.0"
MAX_ATTEMPTS = 2
ROOM = Resources(8_000, 8_000, 0)


class TestLateAcknowledgements:
    """An attempt counts if its end is acknowledged, then or later."""

    @pytest.fixture
    def checker(self) -> HistoryChecker:
        """Return the history of a task that may be attempted twice, and has failed twice."""
        queue = Queue("batch", "h", "/b/", "service", 2, MAX_ATTEMPTS, 4.0, 3.0)
        step = Step(1, Resources(100, 100, 0), 1.0)
        checker = HistoryChecker(0.0)
        checker.jobs[JOB] = JobRecord(JobDefinition(JOB, queue, "spec", (step,), 0))
        for run in range(1, MAX_ATTEMPTS + 1):
            self.start(checker, run)
            checker.record_end(run + 0.5, TASK, run, "i-0", FAILED)
        return checker

    def start(self, checker: HistoryChecker, run: int) -> None:
        """Start a run at the second of its number."""
        checker.check_start(float(run), TASK, run, "i-0", "spec", (), ROOM, 0, False)

    def acknowledge(
        self, checker: HistoryChecker, run: int, how: str = FAILED, is_lease_expired: bool = False
    ) -> None:
        """Acknowledge the end of a run."""
        checker.record_acknowledged_end(9.0, TASK, run, how, run + 0.5, is_lease_expired)

    def list_codes(self, checker: HistoryChecker) -> list[str]:
        """Return the codes of the breaches."""
        return [text.partition(" ")[0] for text in checker.breaches]

    def test_start_before_the_last_end_is_acknowledged_breaks_budget(
        self, checker: HistoryChecker
    ) -> None:
        # Guards against a check that knows only ends acknowledged before a start (issue 50).
        self.acknowledge(checker, 1)
        self.start(checker, 3)
        assert checker.breaches == []
        self.acknowledge(checker, 2)
        assert self.list_codes(checker) == ["BUDGET"]

    def test_start_after_all_acknowledgements_is_reported_once(
        self, checker: HistoryChecker
    ) -> None:
        self.acknowledge(checker, 1)
        self.acknowledge(checker, 2)
        self.start(checker, 3)
        checker.record_end(3.5, TASK, 3, "i-0", FAILED)
        self.acknowledge(checker, 3)
        assert self.list_codes(checker) == ["BUDGET"]

    def test_end_whose_lease_expired_is_no_attempt(self, checker: HistoryChecker) -> None:
        self.acknowledge(checker, 1)
        self.start(checker, 3)
        self.acknowledge(checker, 2, is_lease_expired=True)
        assert checker.breaches == []

    def test_start_before_the_last_end_is_an_attempt(self, checker: HistoryChecker) -> None:
        self.acknowledge(checker, 1)
        self.acknowledge(checker, 2)
        assert checker.breaches == []

    def test_end_as_done_is_no_attempt(self, checker: HistoryChecker) -> None:
        self.acknowledge(checker, 1)
        self.start(checker, 3)
        checker.record_end(3.5, TASK, 3, "i-0", DONE)
        self.acknowledge(checker, 3, DONE)
        assert checker.breaches == []
