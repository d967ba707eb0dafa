"""Tests of tasks that crash their executors, and of sound tasks beside them."""

from __future__ import annotations

import pytest

from tests.scheduling.deadly_cell import DeadlyCell, make_job_id
from tests.scheduling.helpers import SchedulerHarness, make_step
from wasabiramp.entry.owner import RUN_LEASE_S
from wasabiramp.scheduling.events import (
    NOT_SENT,
    UNKNOWN,
    ExecutorUnlisted,
    HoldFailed,
    JobsRecovered,
    StoredJob,
)
from wasabiramp.scheduling.model import DONE, FAILED, Crash, JobProgress, StepProgress
from wasabiramp.scheduling.records import decode_progress, encode_progress
from wasabiramp.scheduling.scheduler import Scheduler

LAPSE_TICKS = 16
"""Half seconds after which the longest lease of a suspect has certainly ended."""

MAX_CRASHES = 3
"""A task that crashes executors takes two or three of them, no more."""


class TestDeadlyTask:
    """A task that crashes its executors is given up, and sound tasks beside it are not."""

    def test_task_is_given_up_after_two_or_three_crashes(self) -> None:
        """Guards against BUDGET: one task crashed server after server, as no crash was counted."""
        cell = DeadlyCell(4, {f"{make_job_id(0)}.0.0.0"})
        job = cell.harness.submit(make_job_id(0), "batch", make_step(2))
        sound = [cell.harness.submit(make_job_id(n), "batch", make_step(2)) for n in range(1, 6)]
        cell.run(40.0)
        assert cell.crashes[f"{make_job_id(0)}.0.0.0"] in (2, MAX_CRASHES)
        assert job.shown_phase == FAILED
        assert [other.shown_phase for other in sound] == [DONE] * 5

    def test_sound_task_is_not_given_up_beside_deadly_ones(self) -> None:
        """Guards against blaming the neighbours: a count of crashes alone gave up sound tasks."""
        deadly = {f"{make_job_id(n)}.0.0.0" for n in range(0, 24, 3)}
        cell = DeadlyCell(8, deadly)
        jobs = [cell.harness.submit(make_job_id(n), "batch", make_step(2)) for n in range(24)]
        cell.run(120.0)
        phases = {n: job.shown_phase for n, job in enumerate(jobs)}
        assert phases == {n: FAILED if n % 3 == 0 else DONE for n in range(24)}
        assert set(cell.crashes.values()) <= {2, MAX_CRASHES}

    def test_task_that_crashes_late_is_given_up(self) -> None:
        """Guards against a deadly task that hides behind younger runs on its executor."""
        cell = DeadlyCell(6, {f"{make_job_id(0)}.0.0.0"}, crash_age_s=0.8)
        job = cell.harness.submit(make_job_id(0), "batch", make_step(1))
        sound = []
        for number in range(1, 60):
            sound.append(cell.harness.submit(make_job_id(number), "batch", make_step(2)))
            cell.run(0.4)
        cell.run(40.0)
        assert job.shown_phase == FAILED
        assert cell.crashes[f"{make_job_id(0)}.0.0.0"] in (2, MAX_CRASHES)
        assert {other.shown_phase for other in sound} == {DONE}

    # Guards against BUDGET: a deadly task went on for good, as no crash is witnessed where
    # executors are back only after the longest lease.
    @pytest.mark.parametrize("downtime_s", [3.4, 5.0, 7.0])
    def test_task_is_given_up_if_executors_are_back_late(self, downtime_s: float) -> None:
        cell = DeadlyCell(30, {f"{make_job_id(0)}.0.0.0"}, downtime_s=downtime_s)
        job = cell.harness.submit(make_job_id(0), "batch", make_step(1))
        cell.run(120.0)
        assert job.shown_phase == FAILED
        assert cell.crashes[f"{make_job_id(0)}.0.0.0"] <= MAX_CRASHES + 1

    # Guards against counting from zero again each time the owner is lost.
    @pytest.mark.parametrize("term_s", [4.0, 7.0])
    def test_crashes_outlive_the_owner(self, term_s: float) -> None:
        cell = DeadlyCell(4, {f"{make_job_id(0)}.0.0.0"})
        job = cell.harness.submit(make_job_id(0), "batch", make_step(1))
        for term in range(2, 6):
            cell.run(term_s)
            progress = decode_progress(encode_progress(job.progress))
            if progress.phase == FAILED:
                break
            stored = StoredJob(job.definition, cell.harness.now, 100, progress)
            old = cell.harness.scheduler.state
            roster = [(e.id, e.entry.address) for e in old.executors.values()]
            cell.harness.scheduler = Scheduler(term, RUN_LEASE_S, 6.0, 1_000_000.0)
            cell.harness.scheduler.state.config = old.config
            cell.harness.apply(JobsRecovered([stored], roster, 3.5, 100))
            for executor in old.executors.values():
                cell.harness.list_executor(executor.id)
                if executor.silent_since is None:
                    cell.harness.answer_hold(executor.id)
            job = cell.harness.scheduler.state.jobs[make_job_id(0)]
        assert job.progress.phase == FAILED
        assert cell.crashes[f"{make_job_id(0)}.0.0.0"] in (2, MAX_CRASHES)


class TestEvidence:
    """A crash counts against a task only as far as it certainly crashed the executor."""

    def test_silence_without_a_crash_is_withdrawn(self) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        harness.place_and_start()
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        assert job.progress.steps[(0, 0)].crashes
        harness.answer_hold("e0")
        assert not job.progress.steps[(0, 0)].crashes

    def test_silence_is_stored_before_the_crash_is_proven(self) -> None:
        """Guards against a crash that is forgotten if the owner dies before it is proven."""
        harness = SchedulerHarness(executors=1)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        harness.place_and_start()
        harness.commit()
        harness.crash_executor("e0")
        changes = harness.scheduler.take_changes()
        assert changes is not None and changes.jobs == [job]
        decoded = decode_progress(encode_progress(job.progress))
        assert [crash.executor for crash in decoded.steps[(0, 0)].crashes[0]] == ["e0"]

    def test_start_that_was_not_sent_is_not_blamed(self) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        (start,) = harness.place()
        harness.crash_executor("e0")
        harness.answer_start(start, NOT_SENT)
        assert not job.progress.steps[(0, 0)].crashes

    def test_vanished_executors_do_not_convict_a_task(self) -> None:
        """Guards against LOST: executors that are cut off for long vanish without a crash."""
        harness = SchedulerHarness(executors=2)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        for _ in range(2):
            (start,) = harness.place_and_start()
            harness.crash_executor(start.executor)
            harness.apply(ExecutorUnlisted(start.executor))
            for _ in range(LAPSE_TICKS):
                harness.tick(0.5)
                harness.apply(HoldFailed(start.executor, harness.now, UNKNOWN))
            assert start.executor not in harness.scheduler.state.executors
        assert not job.is_ended

    def test_vanished_executors_of_an_earlier_owner_do_not_convict_a_task(self) -> None:
        """Guards against LOST: the earlier owner removed executors that were only cut off."""
        harness = SchedulerHarness(executors=1)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        crashes = [Crash(f"cut{number}", 1, 0.1, 0.9) for number in range(2)]
        progress = JobProgress(steps={(0, 0): StepProgress(crashes={0: crashes})})
        stored = StoredJob(job.definition, harness.now, 100, progress)
        harness.scheduler = Scheduler(2, 3.0, 6.0, 1_000_000.0)
        harness.apply(JobsRecovered([stored], [("e0", "e0")], 3.5, 100))
        assert not harness.scheduler.state.jobs[make_job_id(0)].is_ended

    def test_sound_tasks_of_a_step_with_suspects_keep_their_place(self) -> None:
        """Guards against batch work that goes before urgent work because a task is suspect."""
        harness = SchedulerHarness(executors=2, cpu=2_000)
        harness.submit(make_job_id(0), "batch", make_step(3, cpu=2_000))
        first, _second = harness.place_and_start()
        harness.crash_executor(first.executor)
        harness.submit(make_job_id(1), "urgent", make_step(1, cpu=2_000))
        harness.replace_executor(first.executor, "e2", cpu=2_000)
        harness.list_executor("e3", cpu=2_000)
        harness.tick()
        harness.commit()
        harness.answer_hold("e3")
        starts = harness.place()
        assert {start.task for start in starts} == {first.task, f"{make_job_id(1)}.0.0.0"}

    def test_trials_are_not_limited_while_most_executors_are_idle(self) -> None:
        """Guards against LOST: suspects waited for each other at the end, beside idle executors."""
        deadly = {f"{make_job_id(n)}.0.0.0" for n in range(24)}
        cell = DeadlyCell(12, deadly)
        jobs = [cell.harness.submit(make_job_id(n), "batch", make_step(1)) for n in range(24)]
        cell.run(25.0)
        assert {job.shown_phase for job in jobs} == {FAILED}
