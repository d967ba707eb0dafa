"""Tests of what an owner takes as evidence that a run has ended."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, StartTask, StopTask, make_step
from wasabiramp.scheduling.events import (
    NOT_SENT,
    OTHER_INCARNATION,
    UNKNOWN,
    ExecutorListed,
    ExecutorUnlisted,
    HoldFailed,
    JobsRecovered,
    StartAnswered,
    StoredJob,
)
from wasabiramp.scheduling.evidence import ENDS_PER_PAGE
from wasabiramp.scheduling.leases import PREDECESSOR_WAIT_S, convert_lease_s
from wasabiramp.scheduling.model import EndReport, JobDefinition, RunReport

JOB = "b" * 16
LEASE_LEFT_S = 4.0
"""Time for which leases of the earlier owner may last after the recovery of the tests."""

ROSTER_ADDRESS = "lost:1"
"""Address at which the earlier owner reached the executor `lost`."""


def recover_job(
    harness: SchedulerHarness,
    executors: list[str] | list[tuple[str, str]],
    tasks: int = 1,
    lease_left_s: float = LEASE_LEFT_S,
) -> None:
    """Take over a job of equal tasks and a roster of executors from an earlier owner.

    The roster holds names, or names and addresses.
    """
    queue = harness.scheduler.state.config.find("batch")
    definition = JobDefinition(JOB, queue, "spec", (make_step(tasks, cpu=1),))
    roster = [
        (name, ROSTER_ADDRESS if name == "lost" else name) if isinstance(name, str) else name
        for name in executors
    ]
    stored = StoredJob(definition, harness.now, 50)
    harness.apply(JobsRecovered([stored], roster, lease_left_s, 60))


def fail_holds(
    harness: SchedulerHarness, name: str, outcome: str, seconds: float, address: str = ""
) -> None:
    """Let all holds of an executor, at an address where one is given, fail for some time."""
    for _ in range(round(seconds / 0.1)):
        harness.apply(HoldFailed(name, harness.now, outcome, address))
        harness.tick(0.1)


class TestUnlistedExecutors:
    """An executor without an entry may run on, so only its lease tells when its runs end."""

    # Guards against TWICE after an outage: an executor whose entry was not back yet, and that
    # refused connections, counted as one that had drained and left.
    @pytest.mark.parametrize("outcome", [NOT_SENT, UNKNOWN])
    def test_executor_of_an_earlier_owner_is_awaited_without_its_entry(self, outcome: str) -> None:
        harness = SchedulerHarness()
        recover_job(harness, ["e0", "lost"])
        harness.answer_hold("e0")
        fail_holds(harness, "lost", outcome, LEASE_LEFT_S - 0.2)
        assert harness.place() == []
        assert "lost" in harness.scheduler.state.executors
        fail_holds(harness, "lost", outcome, 0.4)
        assert len(harness.place()) == 1

    # Guards against TWICE: a draining executor behind a partition lost its entry, refused
    # connections and ran on, while its tasks were started elsewhere.
    def test_draining_executor_that_vanishes_keeps_its_runs_until_its_lease_ends(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit(JOB, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.answer_hold(start.executor)
        harness.tick()
        harness.list_executor(start.executor, is_draining=True)
        harness.apply(ExecutorUnlisted(start.executor))
        fail_holds(harness, start.executor, NOT_SENT, 2.5)
        assert harness.place() == []
        fail_holds(harness, start.executor, NOT_SENT, 1.5)
        assert [other.task for other in harness.place()] == [start.task]


class TestReplacedProcesses:
    """Another process at the address of an executor shows that its own process is gone."""

    def test_runs_end_with_the_process(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit(JOB, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.answer_hold(start.executor)
        harness.tick()
        harness.apply(HoldFailed(start.executor, harness.now, OTHER_INCARNATION))
        assert [other.task for other in harness.place()] == [start.task]

    # Guards against TWICE: an entry with a wrong address led to another process, whose answer
    # said nothing about the executor.
    def test_another_address_says_nothing(self) -> None:
        harness = SchedulerHarness()
        recover_job(harness, ["e0", "lost"])
        harness.answer_hold("e0")
        harness.list_executor("lost")
        harness.tick()
        harness.apply(HoldFailed("lost", harness.now, OTHER_INCARNATION))
        harness.tick(0.1)
        assert harness.place() == []


class TestPollsOfPredecessors:
    """An entry at the address of a silent executor is a reason to ask at once who answers there."""

    def lose_executor(self) -> SchedulerHarness:
        """Let an executor fall silent, and let its first retry fail too."""
        harness = SchedulerHarness(executors=2)
        fail_holds(harness, "e0", NOT_SENT, 0.2)
        harness.take_effects(HoldExecutor)
        return harness

    def list_at(self, harness: SchedulerHarness, name: str, address: str, born_ms: int = 1) -> None:
        """List an executor at an address."""
        entry = harness.scheduler.state.executors["e0"].entry
        entry = replace(entry, id=name, address=address, born_ms=born_ms)
        harness.apply(ExecutorListed(entry))

    def is_polled(self, harness: SchedulerHarness) -> bool:
        """Return whether the silent executor gets a hold now."""
        harness.tick()
        return "e0" in [hold.executor for hold in harness.take_effects(HoldExecutor)]

    # Guards against BUDGET: a crash is witnessed only if its successor answers while the lease
    # lasts, and the retries of holds took up to 0.3 s of that.
    @pytest.mark.parametrize(("address", "is_polled"), [("e0", True), ("elsewhere", False)])
    def test_another_executor_at_the_address(self, address: str, is_polled: bool) -> None:
        harness = self.lose_executor()
        self.list_at(harness, "new", address)
        assert self.is_polled(harness) is is_polled

    def test_later_start_time(self) -> None:
        harness = self.lose_executor()
        self.list_at(harness, "e0", "e0", born_ms=2)
        assert self.is_polled(harness)

    @pytest.mark.parametrize("name", ["e0", "new"])
    def test_repeated_entries_cause_no_further_polls(self, name: str) -> None:
        harness = self.lose_executor()
        if name == "new":
            self.list_at(harness, name, "e0")
            assert self.is_polled(harness)
            harness.apply(HoldFailed("e0", harness.now, NOT_SENT))
        self.list_at(harness, name, "e0")
        assert not self.is_polled(harness)

    def test_executor_that_answers_again_is_not_polled(self) -> None:
        harness = self.lose_executor()
        harness.answer_hold("e0")
        self.list_at(harness, "new", "e0")
        assert not self.is_polled(harness)


class TestPagesOfEnds:
    """A report with a full page of ends does not tell what has ended."""

    def end_tasks(self, harness: SchedulerHarness, tasks: int) -> None:
        """Let the earlier owner's runs of all tasks end on one executor."""
        harness.ended["e0"] = [
            EndReport(number + 1, f"{JOB}.0.0.{number}", 1, "done", "") for number in range(tasks)
        ]

    def answer_page(self, harness: SchedulerHarness) -> None:
        """Answer a hold with the first ends that are not acknowledged, as executors do."""
        all_ends = harness.ended["e0"]
        last_seen = harness.scheduler.state.executors["e0"].last_seen
        harness.ended["e0"] = [e for e in all_ends if e.number > last_seen][:ENDS_PER_PAGE]
        harness.answer_hold("e0")
        harness.ended["e0"] = all_ends

    # Guards against TWICE after a takeover: tasks were started again whose ends were on the
    # second page.
    def test_new_owner_reads_all_pages_before_it_starts_tasks(self) -> None:
        harness = SchedulerHarness()
        recover_job(harness, ["e0"], tasks=ENDS_PER_PAGE + 10)
        self.end_tasks(harness, ENDS_PER_PAGE + 10)
        self.answer_page(harness)
        harness.tick()
        assert harness.place() == []
        harness.commit()
        self.answer_page(harness)
        harness.tick()
        assert harness.place() == []
        assert harness.scheduler.state.jobs[JOB].is_ended

    # Guards against TWICE: the leases of the earlier owner end while the next page waits for the
    # store, but the executor answers, so its ends will be known.
    def test_pages_are_awaited_longer_than_the_leases(self) -> None:
        harness = SchedulerHarness()
        recover_job(harness, ["e0"], tasks=ENDS_PER_PAGE + 10)
        self.end_tasks(harness, ENDS_PER_PAGE + 10)
        self.answer_page(harness)
        for _ in range(20):
            harness.tick(0.5)
            self.answer_page(harness)
        assert harness.place() == []

    def test_last_page_ends_the_recovery(self) -> None:
        harness = SchedulerHarness()
        recover_job(harness, ["e0"], tasks=ENDS_PER_PAGE + 10)
        self.end_tasks(harness, ENDS_PER_PAGE + 9)
        self.answer_page(harness)
        harness.commit()
        self.answer_page(harness)
        harness.tick()
        starts: list[StartTask] = harness.place()
        assert [start.task for start in starts] == [f"{JOB}.0.0.{ENDS_PER_PAGE + 9}"]


class TestReportsOfOtherIncarnations:
    """An entry with a wrong start time does not hide what its executor reports."""

    # Guards against an endless recovery: an executor whose entry had a wrong start time was asked
    # again and again, and the tasks of earlier jobs waited for it.
    def test_executor_with_a_wrong_start_time_is_heard(self) -> None:
        harness = SchedulerHarness()
        recover_job(harness, ["e0", "lost"], tasks=2)
        harness.answer_hold("e0")
        harness.list_executor("lost", born_ms=10**15)
        harness.incarnations["lost"] = 1
        harness.running["lost"] = [RunReport(f"{JOB}.0.0.0", 1, "", 100.0, 0.0)]
        harness.tick(0.1)
        harness.answer_hold("lost")
        harness.tick()
        assert [start.task for start in harness.place()] == [f"{JOB}.0.0.1"]

    # Guards against TWICE: the answer of an earlier incarnation ended the wait for the present one.
    def test_earlier_incarnation_does_not_answer_for_the_present_one(self) -> None:
        harness = SchedulerHarness()
        recover_job(harness, ["e0", "lost"])
        harness.answer_hold("e0")
        harness.tick()
        sent_at = harness.now
        harness.list_executor("lost", born_ms=5)
        harness.incarnations["lost"] = 1
        harness.answer_hold("lost", sent_at)
        harness.tick(0.1)
        assert harness.place() == []
        harness.tick(LEASE_LEFT_S)
        assert len(harness.place()) == 1


class TestOddAnswers:
    """Answers of other processes, and entries of other writers, show nothing about an executor."""

    # Guards against TWICE: a later start time of an executor that is not reached shortened the wait
    # for the leases of the earlier owner from 7.9 s to the 6 s of the longest lease.
    def test_later_start_time_does_not_shorten_the_wait_for_earlier_leases(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover_job(harness, ["e0", "e1"], lease_left_s=PREDECESSOR_WAIT_S)
        harness.answer_hold("e1")
        harness.tick(0.2)
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        fail_holds(harness, "e0", UNKNOWN, PREDECESSOR_WAIT_S - 0.6)
        assert harness.place() == []

    # Guards against TWICE: the roster holds the address of an entry at which the executor was
    # never reached.
    def test_unverified_address_of_the_roster_shows_no_replaced_process(self) -> None:
        harness = SchedulerHarness(executors=2)
        entry = harness.scheduler.state.executors["e0"].entry
        harness.apply(ExecutorListed(replace(entry, address="e1")))
        harness.list_executor("e2")
        roster = harness.scheduler.take_changes().roster
        successor = SchedulerHarness(executors=0)
        recover_job(successor, roster, lease_left_s=PREDECESSOR_WAIT_S)
        successor.list_executor("e1")
        successor.list_executor("e2")
        successor.apply(ExecutorListed(replace(entry, address="e1")))
        successor.tick()
        successor.answer_hold("e1")
        successor.answer_hold("e2")
        successor.apply(HoldFailed("e0", successor.now, OTHER_INCARNATION))
        successor.tick(0.1)
        successor.commit()
        assert successor.place() == []

    # Guards against TWICE: the refusal of a start by another process behind a wrong address set the
    # clock of the executor, by which its lease then seemed to have ended.
    def test_clock_of_another_process_does_not_end_a_lease(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit(JOB, "batch", make_step(1))
        (start,) = harness.place_and_start()
        name = start.executor
        harness.answer_hold(name)
        entry = harness.scheduler.state.executors[name].entry
        other = "e1" if name == "e0" else "e0"
        harness.apply(ExecutorListed(replace(entry, address=other)))
        harness.submit("f" * 16, "batch", make_step(8, cpu=100))
        second = next(s for s in harness.place() if s.executor == name)
        harness.apply(
            StartAnswered(
                name, second.task, second.run, harness.now, OTHER_INCARNATION, clock_ms=10**9
            )
        )
        harness.effects.clear()
        fail_holds(harness, name, OTHER_INCARNATION, 1.0, other)
        again = [s for s in harness.place() if s.task == start.task]
        assert again == []


class TestLateStarts:
    """An order without an answer may still be carried out after its lease has ended."""

    # Guards against TWICE: a start without an answer was carried out seconds later, after its lease
    # had lapsed and its task was started elsewhere, as the executor got a new lease before a stop.
    def test_late_start_is_stopped_before_the_executor_gets_a_lease(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit(JOB, "batch", make_step(1))
        (start,) = harness.place()
        harness.leave_unanswered(start)
        fail_holds(harness, start.executor, UNKNOWN, 4.2)
        # The start may have reached a next process, by whose clock its lease lasts longer.
        assert harness.place() == []
        fail_holds(harness, start.executor, UNKNOWN, convert_lease_s(6.0) - 4.0)
        (again,) = harness.place_and_start()
        assert again.executor != start.executor
        harness.effects.clear()
        harness.answer_hold(start.executor)
        harness.tick(0.1)
        stops = harness.take_effects(StopTask)
        harness.submit("f" * 16, "batch", make_step(8))
        others = [s for s in harness.place() if s.executor == start.executor]
        stops += harness.take_effects(StopTask)
        stopped = [s for s in stops if (s.task, s.run) == (start.task, start.run)]
        assert stopped or not others
