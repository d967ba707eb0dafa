"""Tests of crashes under which no run was known to be on the executor."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.scheduling.deadly_cell import STEP_S, make_job_id
from tests.scheduling.helpers import SchedulerHarness, StartTask, make_step
from wasabiramp.entry.owner import RUN_LEASE_S
from wasabiramp.scheduling.crash_evidence import MAX_ANSWER_AGE_S
from wasabiramp.scheduling.events import NOT_SENT, STARTED, UNKNOWN, HoldFailed, StopAnswered
from wasabiramp.scheduling.model import (
    DONE,
    FAILED,
    Crash,
    JobProgress,
    RunReport,
    StepProgress,
)
from wasabiramp.scheduling.orders import stop_run
from wasabiramp.scheduling.records import decode_progress, encode_progress
from wasabiramp.scheduling.state import JobRun

DOWNTIME_S = 2.0
MAX_CRASHES = 5
"""A task that crashes its executors is not started three more times after three crashes."""


class SilentCell:
    """Executors that are back under their ids after a crash, and deadly tasks that crash them.

    A task in `at_start` crashes its executor before the start is answered. All members of a gang in
    `as_gang` do it together, at the age of `crash_age_s`.
    """

    def __init__(self, executors: int, cpu: int = 4_000, downtime_s: float = DOWNTIME_S) -> None:
        """Create a cell without jobs."""
        self.harness = SchedulerHarness(executors=executors, cpu=cpu, lease_s=RUN_LEASE_S)
        self.cpu = cpu
        self.downtime_s = downtime_s
        self.at_start: set[str] = set()
        self.as_gang: set[str] = set()
        self.crash_age_s = 0.3
        self.crashes: Counter[str] = Counter()
        self._up = {f"e{number}" for number in range(executors)}
        self._down: dict[str, float] = {}
        self._started: dict[str, list[tuple[float, StartTask]]] = {}

    def run(self, seconds: float) -> None:
        """Advance the clock in small steps, and start, end and lose runs."""
        until = self.harness.now + seconds
        while self.harness.now < until:
            for name in [name for name, at in self._down.items() if self.harness.now >= at]:
                self._restart(name)
            for start in self.harness.place():
                self._meet_start(start)
            self._crash_gangs()
            for name in sorted(self._up):
                self._end_runs(name)
                self.harness.answer_hold(name)
            self.harness.commit()
            self.harness.tick(STEP_S)

    def crash(self, *names: str) -> None:
        """Crash executors at one moment."""
        for name in names:
            self._up.discard(name)
            self._down[name] = self.harness.now + self.downtime_s
            self._started.pop(name, None)
        for name in names:
            self.harness.crash_executor(name)

    def _restart(self, name: str) -> None:
        """Let the next process of an executor write its entry and answer."""
        del self._down[name]
        self._up.add(name)
        self.harness.incarnations[name] += 1
        self.harness.list_executor(name, self.cpu)
        self.harness.meet_process(name)

    def _meet_start(self, start: StartTask) -> None:
        """Begin a run, or crash under its start."""
        if start.task not in self.at_start and start.executor in self._up:
            self.harness.answer_start(start)
            self._started.setdefault(start.executor, []).append((self.harness.now, start))
            return
        self.harness.answer_start(start, UNKNOWN)
        self.harness.answer_start(start, NOT_SENT)
        if start.executor in self._up:
            self.crashes[start.task] += 1
            self.crash(start.executor)

    def _crash_gangs(self) -> None:
        """Crash the executors of all members of a gang."""
        names = set()
        for name, rows in self._started.items():
            for at, start in rows:
                is_due = self.harness.now >= at + self.crash_age_s
                if is_due and start.task.rpartition(".")[0] in self.as_gang:
                    self.crashes[start.task] += 1
                    names.add(name)
        self.crash(*sorted(names))

    def _end_runs(self, name: str) -> None:
        """End the runs that have lasted for a second."""
        for at, start in list(self._started.get(name, ())):
            if self.harness.now >= at + 1.0:
                self._started[name].remove((at, start))
                self.harness.end_run(start, DONE)


class TestDeadlyStarts:
    """A task that crashes its executors before they answer its start is given up in time."""

    # Guards against BUDGET: no such crash was ever witnessed, so the task went on for good.
    @pytest.mark.parametrize("executors", [3, 8, 20])
    def test_task_is_given_up(self, executors: int) -> None:
        cell = SilentCell(executors)
        job = cell.harness.submit(make_job_id(0), "batch", make_step(1))
        cell.at_start = {f"{make_job_id(0)}.0.0.0"}
        cell.run(80.0)
        assert job.shown_phase == FAILED
        assert max(cell.crashes.values()) <= MAX_CRASHES

    # Guards against BUDGET by the same, and against LOST for the work beside it.
    def test_sound_tasks_beside_it_are_done(self) -> None:
        cell = SilentCell(8)
        jobs = [cell.harness.submit(make_job_id(n), "batch", make_step(2)) for n in range(12)]
        cell.at_start = {f"{make_job_id(n)}.0.0.0" for n in range(0, 12, 4)}
        cell.run(100.0)
        phases = {n: job.shown_phase for n, job in enumerate(jobs)}
        assert phases == {n: DONE if n % 4 else FAILED for n in range(12)}
        assert max(cell.crashes.values()) <= MAX_CRASHES


class TestDeadlyGangs:
    """A gang whose members crash their executors at one moment is given up in time."""

    # Guards against BUDGET: that two members were lost together hid the crashes under both.
    @pytest.mark.parametrize("members", [2, 3, 5])
    @pytest.mark.parametrize("crash_age_s", [0.05, 0.3, 0.9])
    def test_gang_is_given_up(self, members: int, crash_age_s: float) -> None:
        cell = SilentCell(8, cpu=1_000)
        cell.crash_age_s = crash_age_s
        job = cell.harness.submit(make_job_id(0), "gangs", make_step(members, is_gang=True))
        cell.as_gang = {f"{make_job_id(0)}.0.0"}
        cell.run(80.0)
        assert job.shown_phase == FAILED
        assert max(cell.crashes.values()) <= MAX_CRASHES


class TestStartWithoutAnswer:
    """A crash is inferred from such a start only if the process was there right before it."""

    def lose(
        self,
        answer_age_s: float = 0.0,
        downtime_s: float = 1.0,
        is_listed_after: bool = False,
        is_stopped: bool = False,
        is_draining: bool = False,
        lists_at_next: bool = False,
        suspended_s: float = 0.0,
    ) -> list[Crash]:
        """Lose an executor with a start that is not answered; return the recorded crashes."""
        harness = SchedulerHarness(executors=1, lease_s=RUN_LEASE_S)
        harness.scheduler.note_suspension(harness.now, 100.0)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        harness.tick(answer_age_s)
        (start,) = harness.place()
        harness.tick(0.01)
        harness.leave_unanswered(start)
        if is_listed_after:
            harness.answer_hold("e0")
        if is_stopped:
            harness.apply(StopAnswered("e0", start.task, start.run, STARTED))
        harness.crash_executor("e0")
        harness.scheduler.note_suspension(harness.now, 100.0 + suspended_s)
        harness.tick(downtime_s)
        harness.incarnations["e0"] = 2
        if is_draining:
            harness.list_executor("e0", is_draining=True, born_ms=1)
        if lists_at_next:
            harness.running["e0"] = [RunReport(start.task, start.run, "", 100.0, 0.0)]
        harness.answer_hold("e0")
        return job.progress.steps[(0, 0)].crashes.get(0, [])

    def test_process_that_answered_right_before(self) -> None:
        (crash,) = self.lose()
        assert crash.is_inferred and not crash.is_witnessed

    # Guards against LOST: an executor without work is not asked for long, and may have crashed
    # before the start came.
    @pytest.mark.parametrize(("age_s", "is_inferred"), [(0.5, True), (1.5, False)])
    def test_process_that_answered_earlier(self, age_s: float, is_inferred: bool) -> None:
        (crash,) = self.lose(answer_age_s=age_s * MAX_ANSWER_AGE_S)
        assert crash.is_inferred is is_inferred

    # Guards against LOST: a process that answers after the start lived on.
    def test_process_that_answers_after_the_start(self) -> None:
        assert not any(crash.is_inferred for crash in self.lose(is_listed_after=True))

    # Guards against LOST: the run was over when the process ended.
    def test_run_that_was_stopped(self) -> None:
        assert not any(crash.is_inferred for crash in self.lose(is_stopped=True))

    # Guards against BUDGET: the next process may answer the stop before it is known, or before its
    # first answer to a hold.
    @pytest.mark.parametrize("is_known", [False, True])
    def test_stop_that_the_next_process_answers(self, is_known: bool) -> None:
        harness = SchedulerHarness(executors=1, lease_s=RUN_LEASE_S)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        (start,) = harness.place()
        harness.leave_unanswered(start)
        harness.crash_executor("e0")
        harness.tick(1.0)
        harness.incarnations["e0"] = 2
        if is_known:
            harness.list_executor("e0")
        harness.apply(StopAnswered("e0", start.task, start.run, STARTED))
        harness.answer_hold("e0")
        (crash,) = job.progress.steps[(0, 0)].crashes[0]
        assert crash.is_inferred

    # Guards against LOST: the start had reached the next process, which is there.
    def test_run_that_the_next_process_lists(self) -> None:
        assert not any(crash.is_inferred for crash in self.lose(lists_at_next=True))

    # Guards against LOST: the process may have lived behind a cut until the run lapsed.
    def test_next_process_that_answers_after_the_lease(self) -> None:
        assert not any(crash.is_inferred for crash in self.lose(downtime_s=3.6))

    # Guards against LOST: a draining executor ends on purpose.
    def test_draining_executor(self) -> None:
        assert not any(crash.is_inferred for crash in self.lose(is_draining=True))

    # Guards against LOST: our clock stood still, so the lease may have ended.
    def test_suspension_of_the_owner(self) -> None:
        assert not any(crash.is_inferred for crash in self.lose(suspended_s=4.0))

    # Guards against LOST: an executor that is cut off answers again, as the same process.
    def test_cut_is_no_crash(self) -> None:
        harness = SchedulerHarness(executors=1, lease_s=RUN_LEASE_S)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        (start,) = harness.place()
        harness.leave_unanswered(start)
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.tick(1.0)
        harness.answer_hold("e0")
        assert not job.progress.steps[(0, 0)].crashes


class TestLostMembers:
    """A crash under a gang is inferred only if all executors that were lost have crashed."""

    def start_gang(self, members: int = 2) -> tuple[SchedulerHarness, JobRun, list[StartTask]]:
        """Start a gang, each member on an executor of its own."""
        harness = SchedulerHarness(executors=members, cpu=1_000, lease_s=RUN_LEASE_S)
        job = harness.submit(make_job_id(0), "gangs", make_step(members, is_gang=True))
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

    def list_inferred(self, job: JobRun) -> list[bool]:
        """Return for each recorded crash of a member whether it is inferred."""
        rows = job.progress.steps[(0, 0)].crashes.values()
        return [crash.is_inferred for crashes in rows for crash in crashes]

    @pytest.mark.parametrize("members", [2, 4])
    def test_all_are_replaced(self, members: int) -> None:
        harness, job, starts = self.start_gang(members)
        for start in starts:
            harness.crash_executor(start.executor)
        harness.tick(1.0)
        for start in starts[:-1]:
            self.restart(harness, start.executor)
            assert not any(self.list_inferred(job))
        self.restart(harness, starts[-1].executor)
        assert self.list_inferred(job) == [True] * members

    # Guards against LOST: behind a cut a member may have ended by itself, and so the others.
    def test_one_is_only_cut_off(self) -> None:
        harness, job, (first, second) = self.start_gang()
        harness.apply(HoldFailed(second.executor, harness.now, UNKNOWN))
        harness.crash_executor(first.executor)
        harness.tick(1.0)
        self.restart(harness, first.executor)
        assert not any(self.list_inferred(job))
        harness.answer_hold(second.executor)
        assert not any(self.list_inferred(job))

    # Guards against LOST by the same.
    def test_one_is_replaced_after_its_lease(self) -> None:
        harness, job, (first, second) = self.start_gang()
        for start in (first, second):
            harness.crash_executor(start.executor)
        harness.tick(1.0)
        self.restart(harness, first.executor)
        harness.tick(3.0)
        self.restart(harness, second.executor)
        assert not any(self.list_inferred(job))

    # Guards against LOST: a member that was told to stop ended its gang.
    def test_one_was_told_to_stop(self) -> None:
        harness, job, (first, second) = self.start_gang()
        state = harness.scheduler.state
        stop_run(state, state.executors[first.executor].runs[(first.task, first.run)])
        for start in (first, second):
            harness.crash_executor(start.executor)
        harness.tick(1.0)
        for start in (first, second):
            self.restart(harness, start.executor)
        assert not any(self.list_inferred(job))

    # Guards against LOST: the gang had ended by itself on an executor that is in touch.
    def test_third_member_failed(self) -> None:
        harness, job, (first, second, third) = self.start_gang(3)
        harness.end_run(third, "failed")
        harness.answer_hold(third.executor)
        for start in (first, second):
            harness.crash_executor(start.executor)
        harness.tick(1.0)
        for start in (first, second):
            self.restart(harness, start.executor)
        assert not any(self.list_inferred(job))


class TestRecords:
    """A crash that was inferred stays so for the next owner."""

    @pytest.mark.parametrize("is_witnessed", [False, True])
    def test_round_trip(self, is_witnessed: bool) -> None:
        crash = Crash("e0", 1, 0.1, 0.5, True, True, 0.05, is_witnessed, True)
        progress = JobProgress(steps={(0, 0): StepProgress(crashes={0: [crash]})})
        (decoded,) = decode_progress(encode_progress(progress)).steps[(0, 0)].crashes[0]
        assert decoded == crash
