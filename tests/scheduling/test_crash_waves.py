"""Tests of sound tasks on executors that crash by themselves, beside deadly tasks or not."""

from __future__ import annotations

from random import Random

import pytest

from tests.scheduling.deadly_cell import DOWNTIME_S, DeadlyCell, make_job_id
from tests.scheduling.helpers import SchedulerHarness, make_step
from wasabiramp.entry.owner import RUN_LEASE_S
from wasabiramp.scheduling.events import UNKNOWN, HoldFailed
from wasabiramp.scheduling.model import DONE, FAILED
from wasabiramp.scheduling.state import JobRun

EXECUTORS = 12
JOBS = 60
WAVES = 8
MAX_CRASHES = 3


def run_waves(seed: int, deadly: set[str], wave_size: int) -> tuple[DeadlyCell, list[JobRun]]:
    """Run jobs of a second each while executors crash in waves, then let the work end."""
    random = Random(seed)
    cell = DeadlyCell(EXECUTORS, deadly)
    jobs = []
    for wave in range(WAVES):
        for number in range(wave * JOBS // WAVES, (wave + 1) * JOBS // WAVES):
            jobs.append(
                cell.harness.submit(make_job_id(number), "batch", make_step(random.randrange(1, 4)))
            )
            cell.run(random.uniform(0.0, 0.4))
        cell.crash_at_once(wave_size)
        cell.run(random.uniform(0.0, DOWNTIME_S))
    cell.run(60.0)
    return cell, jobs


class TestCrashWaves:
    """Executors that crash together have a common cause, which is no task on them."""

    # Guards against LOST: one crash in a wave made a sound task a suspect, and the next one ended
    # its job as failed.
    @pytest.mark.parametrize("wave_size", [2, 4, 6])
    @pytest.mark.parametrize("seed", range(1, 7))
    def test_sound_jobs_are_done(self, seed: int, wave_size: int) -> None:
        _cell, jobs = run_waves(seed, set(), wave_size)
        assert {job.shown_phase for job in jobs} == {DONE}

    # Guards against BUDGET: evidence that waves discount would let deadly tasks go on.
    @pytest.mark.parametrize("wave_size", [2, 4])
    @pytest.mark.parametrize("seed", range(1, 7))
    def test_deadly_jobs_are_given_up_between_waves(self, seed: int, wave_size: int) -> None:
        deadly = {f"{make_job_id(number)}.0.0.0" for number in range(0, JOBS, 12)}
        cell, jobs = run_waves(seed, deadly, wave_size)
        phases = {n: job.shown_phase for n, job in enumerate(jobs)}
        assert phases == {n: DONE if n % 12 else FAILED for n in range(JOBS)}
        assert max(cell.crashes.values()) <= MAX_CRASHES


class TestAgesAtCrashes:
    """A deadly task crashes its executors at about the same age of its runs."""

    def crash_at_ages(self, ages_s: tuple[float, ...], answers_s: float = 0.05) -> JobRun:
        """Crash an executor at each of these ages of the runs of one task; return its job."""
        harness = SchedulerHarness(executors=len(ages_s) + 1, lease_s=RUN_LEASE_S)
        job = harness.submit(make_job_id(0), "batch", make_step(1, is_lasting=True))
        for number, age_s in enumerate(ages_s):
            assert not job.is_ended, "given up before the last crash"
            (start,) = harness.place_and_start()
            begun_at = harness.now
            while harness.now + answers_s < begun_at + age_s:
                harness.tick(answers_s)
                harness.answer_hold(start.executor)
            harness.tick(begun_at + age_s - harness.now)
            harness.crash_executor(start.executor)
            harness.tick(DOWNTIME_S)
            harness.replace_executor(start.executor, f"new{number}")
        return job

    # Guards against LOST: a run that outlived the first crash by far did not clear its task.
    @pytest.mark.parametrize("ages_s", [(0.003, 1.063, 2.847), (0.23, 0.396), (0.129, 0.763)])
    def test_ages_that_differ_do_not_convict(self, ages_s: tuple[float, ...]) -> None:
        assert not self.crash_at_ages(ages_s).is_ended

    @pytest.mark.parametrize("ages_s", [(0.012, 0.017), (0.4, 0.41), (0.8, 0.8, 0.8)])
    def test_ages_that_repeat_convict(self, ages_s: tuple[float, ...]) -> None:
        assert self.crash_at_ages(ages_s).progress.phase == FAILED


class TestRestartsUnderTheSameId:
    """A new process under the id of an executor says nothing of how long the runs before lived."""

    # Guards against BUDGET: the answer that showed the restart counted as proof that the run had
    # lived until then, so crashes at one age seemed to be at different ages.
    def test_answer_of_the_new_process_does_not_count_as_survival(self) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        harness.place_and_start()
        harness.running["e0"] = []
        harness.incarnations["e0"] = 2
        harness.tick(1.5)
        harness.answer_hold("e0")
        (crash,) = job.progress.steps[(0, 0)].crashes[0]
        assert (crash.survived_s, crash.age_s) == (0.0, 1.5)

    # Guards against BUDGET and LOST: a run that was lost with one process, and was kept as its stop
    # was not confirmed, counted again at each later silence, at an age that it never had.
    @pytest.mark.parametrize("does_answer", [False, True])
    def test_run_of_an_earlier_process_is_recorded_once(self, does_answer: bool) -> None:
        harness = SchedulerHarness(executors=2, cpu=1_000)
        job = harness.submit(make_job_id(0), "gangs", make_step(2, is_gang=True))
        first, second = harness.place_and_start()
        harness.tick(0.3)
        harness.end_run(second, "broken")
        harness.answer_hold(second.executor)
        harness.commit()
        for incarnation in (2, 3):
            harness.tick(0.5)
            harness.running[first.executor] = []
            harness.incarnations[first.executor] = incarnation
            harness.list_executor(first.executor, cpu=1_000)
            if does_answer:
                harness.answer_hold(first.executor)
        harness.tick(0.5)
        harness.apply(HoldFailed(first.executor, harness.now, UNKNOWN))
        index = int(first.task.rpartition(".")[2])
        assert len(job.progress.steps[(0, 0)].crashes[index]) == 1

    # Guards against LOST by the same: one start that was not answered counted as two crashes at
    # one age.
    def test_unanswered_start_is_recorded_once(self) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        (start,) = harness.place()
        harness.tick(0.3)
        harness.crash_executor("e0")
        harness.answer_start(start, UNKNOWN)
        harness.answer_start(start, UNKNOWN)
        harness.tick(0.5)
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        harness.answer_hold("e0")
        harness.tick(0.5)
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        assert len(job.progress.steps[(0, 0)].crashes[0]) == 1

    def test_run_that_the_new_process_lists_is_recorded_with_its_crash(self) -> None:
        """A start may reach the new process, as one that is sent again does."""
        harness = SchedulerHarness(executors=1)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        harness.place_and_start()
        harness.tick(0.5)
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        harness.tick(0.5)
        harness.answer_hold("e0")
        assert harness.running["e0"]
        harness.tick(0.5)
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        assert len(job.progress.steps[(0, 0)].crashes[0]) == 2


class TestCrashedExecutors:
    """Several executors must have crashed under a task that is given up."""

    # Guards against LOST: an executor that crashed twice under its id counted as two.
    def test_one_executor_that_crashes_twice_does_not_convict(self) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit(make_job_id(0), "batch", make_step(1))
        for incarnation in (2, 3):
            (start,) = harness.place_and_start()
            harness.tick(0.02)
            harness.crash_executor(start.executor)
            harness.tick(DOWNTIME_S)
            harness.incarnations["e0"] = incarnation
            harness.list_executor("e0")
            harness.meet_process("e0")
            harness.commit()
        assert not job.is_ended

    # Guards against LOST by the same: a suspect ran on the executor that had crashed under it.
    def test_suspect_runs_on_another_executor(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=1_000)
        harness.submit(make_job_id(0), "batch", make_step(1))
        (first,) = harness.place_and_start()
        other = next(name for name in ("e0", "e1") if name != first.executor)
        harness.submit(make_job_id(1), "batch", make_step(1))
        (busy,) = harness.place_and_start()
        assert busy.executor == other
        harness.tick(0.02)
        harness.crash_executor(first.executor)
        harness.tick(0.5)
        harness.incarnations[first.executor] = 2
        harness.list_executor(first.executor, cpu=1_000)
        harness.meet_process(first.executor)
        harness.commit()
        assert harness.place() == []
        harness.finish_run(busy)
        harness.commit()
        (again,) = harness.place()
        assert (again.task, again.executor) == (first.task, other)
