"""Tests of what tells a crash under a run from lost contact."""

from __future__ import annotations

import pytest

from tests.scheduling.deadly_cell import DOWNTIME_S, make_job_id
from tests.scheduling.helpers import SchedulerHarness, StartTask, StopTask, make_step
from wasabiramp.entry.owner import RUN_LEASE_S
from wasabiramp.scheduling.events import (
    OTHER_INCARNATION,
    STARTED,
    UNKNOWN,
    HoldFailed,
    StopAnswered,
)
from wasabiramp.scheduling.evidence import ENDS_PER_PAGE
from wasabiramp.scheduling.leases import convert_lease_s
from wasabiramp.scheduling.model import Crash, EndReport, JobProgress, StepProgress
from wasabiramp.scheduling.orders import stop_run
from wasabiramp.scheduling.records import decode_progress, encode_progress
from wasabiramp.scheduling.state import JobRun

LAPSE_S = 8.0
"""Time after which any lease of an executor that does not answer has ended."""

LEASE_LIMIT_S = 6.0
"""Longest lease that the executors of the harness grant."""


class Trial:
    """A task that runs on one executor of a cell, which is then lost."""

    def __init__(self) -> None:
        """Start the task and let its executor list the run."""
        self.harness = SchedulerHarness(executors=2, lease_s=RUN_LEASE_S)
        self.job: JobRun = self.harness.submit(make_job_id(0), "batch", make_step(1))
        (self.start,) = self.harness.place_and_start()
        self.harness.tick(0.1)
        self.harness.answer_hold(self.start.executor)

    def restart(self, downtime_s: float) -> None:
        """Let a new process answer under the id of the executor after a time."""
        name = self.start.executor
        self.harness.tick(downtime_s)
        self.harness.running[name] = []
        self.harness.incarnations[name] += 1
        self.harness.list_executor(name)
        self.harness.answer_hold(name)

    def list_crashes(self) -> list[Crash]:
        """Return the recorded crashes of the task."""
        return self.job.progress.steps[(0, 0)].crashes.get(0, [])

    def is_witnessed(self) -> bool:
        """Return whether the only recorded crash is witnessed."""
        (crash,) = self.list_crashes()
        return crash.is_witnessed


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

    @pytest.mark.parametrize(("downtime_s", "is_witnessed"), [(3.3, True), (3.6, False)])
    def test_new_process_has_to_answer_before_the_lease_ends(
        self, downtime_s: float, is_witnessed: bool
    ) -> None:
        trial = Trial()
        trial.harness.crash_executor(trial.start.executor)
        trial.restart(downtime_s)
        assert trial.is_witnessed() is is_witnessed

    def test_another_executor_at_the_address_is_a_new_process(self) -> None:
        trial = Trial()
        trial.harness.crash_executor(trial.start.executor)
        trial.harness.tick(3.0)
        trial.harness.apply(HoldFailed(trial.start.executor, 0.0, OTHER_INCARNATION))
        assert trial.is_witnessed()

    # Guards against LOST: an entry may come from another writer, and names no process.
    def test_entry_alone_is_no_answer(self) -> None:
        trial = Trial()
        trial.harness.incarnations[trial.start.executor] = 2
        trial.harness.list_executor(trial.start.executor)
        assert not trial.is_witnessed()
        trial.harness.incarnations[trial.start.executor] = 1
        trial.harness.tick(0.1)
        trial.harness.answer_hold(trial.start.executor)
        assert trial.list_crashes() == []

    # Guards against LOST: the loop's clock does not count while the machine is suspended, so a
    # lease that has lapsed since seems to last.
    @pytest.mark.parametrize(("suspended_s", "is_witnessed"), [(0.0, True), (4.0, False)])
    def test_suspension_of_the_owner_makes_the_lease_unknown(
        self, suspended_s: float, is_witnessed: bool
    ) -> None:
        trial = Trial()
        scheduler = trial.harness.scheduler
        scheduler.note_suspension(trial.harness.now, 100.0)
        trial.harness.crash_executor(trial.start.executor)
        scheduler.note_suspension(trial.harness.now, 100.0 + suspended_s)
        trial.restart(1.0)
        assert trial.is_witnessed() is is_witnessed


class TestRunsThatMayHaveEnded:
    """A run that had ended, or never began, was not on its executor at the crash."""

    # Guards against LOST: a start that never arrived counted as a crash at an age of 0 to 50 ms.
    def test_start_without_an_answer(self) -> None:
        harness = SchedulerHarness(executors=1, lease_s=RUN_LEASE_S)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        (start,) = harness.place()
        harness.leave_unanswered(start)
        harness.crash_executor("e0")
        harness.tick(1.0)
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        harness.answer_hold("e0")
        crashes = job.progress.steps[(0, 0)].crashes.get(0, [])
        assert not any(crash.is_witnessed for crash in crashes)

    def test_run_that_was_told_to_stop(self) -> None:
        trial = Trial()
        executor = trial.harness.scheduler.state.executors[trial.start.executor]
        stop_run(trial.harness.scheduler.state, executor.runs[(trial.start.task, trial.start.run)])
        trial.harness.crash_executor(trial.start.executor)
        trial.restart(1.0)
        assert not trial.is_witnessed()

    # Guards against LOST: a start that was answered after a lapse hides it from the runs before.
    def test_run_before_a_lapse(self) -> None:
        trial = Trial()
        executor = trial.harness.scheduler.state.executors[trial.start.executor]
        executor.lease_gaps += 1
        trial.harness.crash_executor(trial.start.executor)
        trial.restart(1.0)
        assert not trial.is_witnessed()

    # Guards against LOST: a run that was stopped after contact was lost, by an answered order, was
    # taken for one that was there at the crash.
    def test_run_that_was_stopped_after_contact_was_lost(self) -> None:
        trial = Trial()
        harness = trial.harness
        state = harness.scheduler.state
        run = state.executors[trial.start.executor].runs[(trial.start.task, trial.start.run)]
        harness.apply(HoldFailed(trial.start.executor, harness.now, UNKNOWN))
        stop_run(state, run)
        harness.apply(StopAnswered(run.executor, run.task, run.number, STARTED))
        trial.restart(1.0)
        assert not trial.is_witnessed()

    # Guards against LOST: an executor that leaves on purpose closes its connections, which may be
    # seen before its entry tells that it drains.
    @pytest.mark.parametrize("is_listed_again", [False, True])
    def test_executor_that_drains_once_contact_is_lost(self, is_listed_again: bool) -> None:
        trial = Trial()
        harness, name = trial.harness, trial.start.executor
        harness.crash_executor(name)
        harness.list_executor(name, is_draining=True)
        harness.tick(1.0)
        harness.running[name] = []
        harness.incarnations[name] += 1
        if is_listed_again:
            harness.list_executor(name)
        harness.answer_hold(name)
        assert not trial.is_witnessed()

    # Guards against LOST: the answer to a start names no process, so it may be that of the
    # next one, whose clock starts anew.
    @pytest.mark.parametrize("is_silent", [False, True])
    def test_starts_that_the_next_process_answered(self, is_silent: bool) -> None:
        harness = SchedulerHarness(executors=1, lease_s=RUN_LEASE_S)
        job = harness.submit(make_job_id(0), "batch", make_step(2))
        starts = harness.place()
        harness.tick(0.1)
        harness.clock_lag_s = harness.now - 0.05
        for start in starts:
            harness.answer_start(start)
        harness.tick(0.1)
        if is_silent:
            harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.incarnations["e0"] = 2
        harness.answer_hold("e0")
        rows = job.progress.steps[(0, 0)].crashes.values()
        assert not any(crash.is_witnessed for crashes in rows for crash in crashes)

    # Guards against LOST: a report without a run shows that it has ended, also if its end is on a
    # page that was not read.
    def test_run_that_a_report_with_a_full_page_of_ends_does_not_list(self) -> None:
        trial = Trial()
        harness, start = trial.harness, trial.start
        harness.running[start.executor] = []
        harness.ended[start.executor] = [
            EndReport(number, f"{make_job_id(9)}.0.0.{number}", 1, "done", "")
            for number in range(1, ENDS_PER_PAGE + 1)
        ]
        harness.tick(0.1)
        harness.answer_hold(start.executor)
        harness.crash_executor(start.executor)
        trial.restart(1.0)
        assert not any(crash.is_witnessed for crash in trial.list_crashes())

    # Guards against LOST: a hold that was overtaken lists a run whose end was read since.
    def test_run_that_an_overtaken_report_lists(self) -> None:
        trial = Trial()
        harness, start = trial.harness, trial.start
        overtaken_at = harness.now
        listed = harness.running[start.executor]
        harness.tick(0.1)
        harness.end_run(start, "lapsed")
        harness.answer_hold(start.executor)
        harness.tick(0.01)
        harness.running[start.executor] = listed
        harness.ended[start.executor] = []
        harness.answer_hold(start.executor, overtaken_at)
        harness.crash_executor(start.executor)
        trial.restart(1.0)
        assert not any(crash.is_witnessed for crash in trial.list_crashes())


class TestGangs:
    """One member's end ends the others, so only the first one may have crashed its executor."""

    def start_gang(self) -> tuple[SchedulerHarness, JobRun, list[StartTask]]:
        """Start a gang of two members on two executors."""
        harness = SchedulerHarness(executors=2, cpu=1_000, lease_s=RUN_LEASE_S)
        job = harness.submit(make_job_id(0), "gangs", make_step(2, is_gang=True))
        starts = harness.place_and_start()
        harness.tick(0.1)
        for start in starts:
            harness.answer_hold(start.executor)
        return harness, job, starts

    def restart(self, harness: SchedulerHarness, name: str) -> None:
        """Let a new process answer under the id of an executor."""
        harness.running[name] = []
        harness.incarnations[name] += 1
        harness.list_executor(name, cpu=1_000)
        harness.answer_hold(name)

    def count_witnessed(self, job: JobRun) -> int:
        """Return the number of witnessed crashes of all members."""
        crashes = job.progress.steps[(0, 0)].crashes.values()
        return sum(crash.is_witnessed for rows in crashes for crash in rows)

    # Guards against BUDGET: the stop that follows on the end of the others hid each crash by a
    # deadly member.
    @pytest.mark.parametrize(("how", "witnessed"), [("broken", 1), ("failed", 0), ("lapsed", 0)])
    def test_member_that_ends_before_the_loss_is_noticed(self, how: str, witnessed: int) -> None:
        harness, job, (first, second) = self.start_gang()
        harness.end_run(second, how)
        harness.answer_hold(second.executor)
        harness.crash_executor(first.executor)
        harness.tick(1.0)
        self.restart(harness, first.executor)
        assert self.count_witnessed(job) == witnessed

    # Guards against LOST: of two executors only the one that was lost first had a member on it.
    def test_two_executors_that_are_lost(self) -> None:
        harness, job, starts = self.start_gang()
        for start in starts:
            harness.crash_executor(start.executor)
        harness.tick(1.0)
        for start in starts:
            self.restart(harness, start.executor)
        assert self.count_witnessed(job) == 0

    # Guards against LOST: a member that was told to stop, or ended with its gang, after contact
    # with its executor was lost was taken for one that was there at the crash.
    @pytest.mark.parametrize("how", ["failed", "lapsed"])
    def test_member_that_ends_after_the_loss_is_noticed(self, how: str) -> None:
        harness, job, (first, second) = self.start_gang()
        harness.apply(HoldFailed(first.executor, harness.now, UNKNOWN))
        harness.tick(0.1)
        harness.end_run(second, how)
        harness.answer_hold(second.executor)
        (stop,) = harness.take_effects(StopTask)
        harness.answer_stop(stop)
        harness.tick(1.0)
        self.restart(harness, first.executor)
        assert self.count_witnessed(job) == 0

    # Guards against BUDGET: the end of the others that follows on a crash hid it.
    def test_member_that_is_broken_after_the_loss_is_noticed(self) -> None:
        harness, job, (first, second) = self.start_gang()
        harness.crash_executor(first.executor)
        harness.tick(0.1)
        harness.end_run(second, "broken")
        harness.answer_hold(second.executor)
        harness.tick(1.0)
        self.restart(harness, first.executor)
        assert self.count_witnessed(job) == 1

    # Guards against LOST: the loss of a member that is not known to run did not count as one that
    # may have ended the others.
    def test_other_executor_is_lost_whose_member_is_not_known_to_run(self) -> None:
        harness, job, (first, second) = self.start_gang()
        state = harness.scheduler.state
        state.executors[second.executor].runs[(second.task, second.run)].lease_gaps = 0
        harness.apply(HoldFailed(first.executor, harness.now, UNKNOWN))
        harness.tick(0.1)
        harness.crash_executor(second.executor)
        harness.tick(1.0)
        self.restart(harness, second.executor)
        self.restart(harness, first.executor)
        assert self.count_witnessed(job) == 0

    # Guards against LOST: an executor whose new process is known was not taken for a lost one.
    def test_other_executor_is_reborn_before_the_loss_is_noticed(self) -> None:
        harness, job, (first, second) = self.start_gang()
        harness.running[second.executor] = []
        harness.incarnations[second.executor] = 2
        harness.list_executor(second.executor, cpu=1_000)
        harness.crash_executor(first.executor)
        harness.tick(1.0)
        self.restart(harness, first.executor)
        assert self.count_witnessed(job) == 0


class TestTrials:
    """A suspect gets the longest lease, so that a crash under it is told from lost contact."""

    def start_suspect(self) -> tuple[SchedulerHarness, StartTask]:
        """Lose an executor under a task, and start it again as a suspect."""
        trial = Trial()
        harness = trial.harness
        harness.crash_executor(trial.start.executor)
        harness.tick(3.0)
        harness.replace_executor(trial.start.executor, "new")
        (start,) = harness.place_and_start()
        return harness, start

    def test_suspect_gets_the_longest_lease(self) -> None:
        harness, start = self.start_suspect()
        assert start.until_ms - harness.read_clock_ms() == pytest.approx(1000 * LEASE_LIMIT_S, 0.02)

    def test_crash_is_witnessed_after_a_longer_downtime(self) -> None:
        harness, start = self.start_suspect()
        harness.crash_executor(start.executor)
        harness.tick(5.0)
        harness.replace_executor(start.executor, "newer")
        (decision,) = harness.find_decisions("crash_witnessed")[1:]
        assert decision["executor"] == start.executor

    # Guards against TWICE: the next owner waits for a usual lease once this one has ended.
    def test_owner_knows_until_when_long_leases_last(self) -> None:
        harness, _start = self.start_suspect()
        ends_at = harness.scheduler.state.long_leases_end_at
        assert ends_at == pytest.approx(harness.now + convert_lease_s(LEASE_LIMIT_S), abs=0.1)

    def test_usual_leases_are_not_long(self) -> None:
        trial = Trial()
        assert trial.harness.scheduler.state.long_leases_end_at < 0

    def test_silence_of_a_suspect_ends_with_its_lease(self) -> None:
        harness, start = self.start_suspect()
        harness.apply(HoldFailed(start.executor, harness.now, UNKNOWN))
        harness.tick(convert_lease_s(LEASE_LIMIT_S) - 0.2)
        assert (start.task, start.run) in harness.scheduler.state.executors[start.executor].runs
        harness.tick(0.4)
        assert not harness.scheduler.state.executors[start.executor].runs


class TestRecords:
    """A crash that was witnessed stays so for the next owner, also of an earlier build."""

    def round_trip(self, crash: Crash) -> Crash:
        """Return a crash after it was stored and read."""
        progress = JobProgress(steps={(0, 0): StepProgress(crashes={0: [crash]})})
        return decode_progress(encode_progress(progress)).steps[(0, 0)].crashes[0][0]

    @pytest.mark.parametrize("is_witnessed", [False, True])
    def test_round_trip(self, is_witnessed: bool) -> None:
        crash = Crash("e0", 1, 0.1, 0.5, True, True, 0.05, is_witnessed)
        assert self.round_trip(crash) == crash
