"""Tests of jobs whose records the store cannot take: nothing of theirs counts as stored."""

from __future__ import annotations

from tests.scheduling.helpers import SchedulerHarness, StartTask, make_step
from wasabiramp.scheduling.events import CancelAsked, Committed, JobsRecovered, StoredJob
from wasabiramp.scheduling.model import CANCELLED, DONE, RUNNING, JobProgress, StepProgress

LONG, OTHER = "a" * 16, "b" * 16


def commit_without(harness: SchedulerHarness, *job_ids: str) -> None:
    """Commit pending changes, of which the store cannot take the records of these jobs."""
    changes = harness.scheduler.take_changes()
    assert changes is not None
    jobs = {job.definition.id for job in changes.jobs}
    changes.left_out.update({job_id: "too long" for job_id in job_ids if job_id in jobs})
    harness.apply(Committed())


def start_two_jobs(harness: SchedulerHarness) -> tuple[list[StartTask], list[StartTask]]:
    """Start a job of three tasks and another one of two on one executor."""
    harness.submit(LONG, "urgent", make_step(3))
    harness.submit(OTHER, "urgent", make_step(2))
    starts = harness.place_and_start()
    assert len(starts) == 5
    return [s for s in starts if LONG in s.task], [s for s in starts if OTHER in s.task]


class TestLeftOutJob:
    """Ends of a job that is not stored are not acknowledged; other jobs go on."""

    # Guards against TWICE: the next owner would start a task again that nobody knows is done.
    def test_its_ends_are_not_acknowledged(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=8_000)
        long, other = start_two_jobs(harness)
        harness.end_run(other[0], "done")
        harness.end_run(long[0], "done")
        harness.end_run(other[1], "done")
        harness.answer_hold("e0")
        commit_without(harness, LONG)
        executor = harness.scheduler.state.executors["e0"]
        assert executor.last_seen == 0
        harness.answer_hold("e0")
        harness.commit()
        assert executor.last_seen == 1

    # Guards against Acks: one job held up those of all others.
    def test_others_are_shown_and_their_ends_acknowledged(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=3_000)
        long, other = start_two_jobs(harness)
        for start in (*long, *other):
            harness.end_run(start, "done" if start in other else "failed")
        for name in ("e0", "e1"):
            harness.answer_hold(name)
        commit_without(harness, LONG)
        assert harness.scheduler.state.jobs[OTHER].find_phase() == DONE
        for name in ("e0", "e1"):
            harness.answer_hold(name)
        harness.commit()
        foreign = {s.executor for s in other} - {s.executor for s in long}
        assert foreign
        for name in foreign:
            assert harness.scheduler.state.executors[name].last_seen > 0

    def test_it_is_logged_once(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=8_000)
        long, _other = start_two_jobs(harness)
        for start in long[:2]:
            harness.finish_run(start)
            commit_without(harness, LONG)
        assert [row["job"] for row in harness.find_decisions("job_not_storable")] == [LONG]

    # Guards against a loop of commits and holds while a job waits.
    def test_nothing_is_left_to_commit(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=8_000)
        long, _other = start_two_jobs(harness)
        harness.finish_run(long[0])
        commit_without(harness, LONG)
        assert harness.scheduler.take_changes() is None
        harness.answer_hold("e0")
        assert harness.scheduler.take_changes() is None
        assert not harness.scheduler.has_changes()

    def test_end_is_not_shown_before_it_is_stored(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=8_000)
        long, _other = start_two_jobs(harness)
        for start in long:
            harness.end_run(start, "done")
        harness.answer_hold("e0")
        commit_without(harness, LONG)
        job = harness.scheduler.state.jobs[LONG]
        assert (job.progress.phase, job.find_phase()) == (DONE, RUNNING)

    # Guards against ends that are never acknowledged, though the job is stored at last.
    def test_its_ends_are_acknowledged_once_it_is_stored(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=8_000)
        long, _other = start_two_jobs(harness)
        harness.finish_run(long[0])
        commit_without(harness, LONG)
        harness.answer_hold("e0")
        harness.apply(CancelAsked(LONG))
        harness.commit()
        assert harness.scheduler.state.jobs[LONG].find_phase() == CANCELLED
        harness.commit()
        assert harness.scheduler.state.executors["e0"].last_seen == 1

    # Guards against an end of another process, the number of which was storable before.
    def test_other_process_is_looked_at_anew(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=8_000)
        long, other = start_two_jobs(harness)
        harness.finish_run(other[0])
        harness.end_run(long[0], "done")
        harness.answer_hold("e0")
        commit_without(harness, LONG)
        harness.answer_hold("e0")
        changes = harness.scheduler.take_changes()
        assert changes is not None and changes.read_ends == {"e0": (1, 1)}
        harness.scheduler.mark_changes_dirty()
        harness.scheduler.state.executors["e0"].born_ms += 1
        assert harness.scheduler.take_changes() is None

    # Guards against BUDGET: an attempt that does not count counted for the next owner.
    def test_withdrawals_wait(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=8_000)
        long, _other = start_two_jobs(harness)
        executor = harness.scheduler.state.executors["e0"]
        harness.finish_run(long[0])
        executor.unstored_withdrawals.add(1)
        commit_without(harness, LONG)
        assert executor.unstored_withdrawals == {1}
        harness.apply(CancelAsked(LONG))
        harness.commit()
        harness.commit()
        assert executor.unstored_withdrawals == set()


class TestSavedOfAGang:
    """The saved value of any one member is enough for a gang."""

    # Guards against UNASKED and GANG: members that start from different values, or some without.
    def test_members_start_from_the_value_that_was_stored(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=8_000)
        definition = harness.submit(LONG, "gangs", make_step(3, is_gang=True)).definition
        del harness.scheduler.state.jobs[LONG]
        harness.scheduler.state.open_steps.clear()
        progress = JobProgress(RUNNING, {(0, 0): StepProgress(saved={1: "half"})})
        stored = StoredJob(definition, harness.now, 50, progress)
        harness.apply(JobsRecovered([stored], [("e0", "e0")], 0.0, 60))
        harness.answer_hold("e0")
        harness.tick(0.1)
        assert [start.saved for start in harness.place()] == ["half"] * 3
