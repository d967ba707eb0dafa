"""Tests of jobs: step order, attempts, cancellation, occurrences, recovery and records."""

from __future__ import annotations

import msgpack
import pytest

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, StopTask, make_step
from wasabiramp.scheduling.events import (
    NOT_SENT,
    UNKNOWN,
    CancelAsked,
    Committed,
    HoldFailed,
    JobsRecovered,
    StoredJob,
)
from wasabiramp.scheduling.executors import HOLD_RETRY_S
from wasabiramp.scheduling.jobs import validate_steps
from wasabiramp.scheduling.model import (
    CANCELLED,
    DONE,
    FAILED,
    PENDING,
    RUNNING,
    JobDefinition,
    JobProgress,
    RunReport,
    StepProgress,
)
from wasabiramp.scheduling.records import (
    decode_definition,
    decode_progress,
    encode_definition,
    encode_progress,
)


class TestStepOrder:
    """A step starts only after all tasks of the steps that it depends on have succeeded."""

    def test_second_step_waits_for_all_tasks_of_the_first(self) -> None:
        harness = SchedulerHarness()
        harness.submit("a" * 16, "batch", make_step(2), make_step(1, after=(0,)))
        first, second = harness.place_and_start()
        harness.finish_run(first)
        assert harness.place() == []
        harness.finish_run(second)
        (third,) = harness.place()
        assert third.task == f"{'a' * 16}.0.1.0"

    def test_failed_task_is_tried_again_before_the_next_step(self) -> None:
        harness = SchedulerHarness()
        harness.submit("a" * 16, "batch", make_step(1), make_step(1, after=(0,)))
        (first,) = harness.place_and_start()
        harness.finish_run(first, "failed")
        (again,) = harness.place()
        assert (again.task, again.run) == (first.task, first.run + 1)


class TestShownPhase:
    """Final phases are shown, and ends acknowledged, only once they are stored."""

    def test_done_is_shown_after_the_commit(self) -> None:
        harness = SchedulerHarness()
        job = harness.submit("a" * 16, "batch", make_step(1))
        assert job.find_phase() == PENDING
        (start,) = harness.place_and_start()
        assert job.find_phase() == RUNNING
        harness.finish_run(start)
        assert job.find_phase() == RUNNING
        harness.commit()
        assert job.find_phase() == DONE

    def test_end_is_acknowledged_after_the_commit(self) -> None:
        harness = SchedulerHarness()
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.finish_run(start)
        executor = harness.scheduler.state.executors[start.executor]
        assert (executor.last_read_end, executor.last_seen) == (1, 0)
        harness.commit()
        assert executor.last_seen == 1

    def test_change_during_a_commit_needs_another_commit(self) -> None:
        harness = SchedulerHarness()
        job = harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.scheduler.state.jobs["a" * 16].is_dirty = True
        changes = harness.scheduler.take_changes()
        assert changes is not None
        harness.finish_run(start)
        harness.apply(Committed())
        assert job.find_phase() == RUNNING
        harness.commit()
        assert job.find_phase() == DONE


class TestAttempts:
    """A job fails once a task has used up its attempts, and no run is counted twice."""

    def test_job_fails_after_its_attempts(self) -> None:
        harness = SchedulerHarness()
        job = harness.submit("a" * 16, "urgent", make_step(1))
        for _ in range(2):
            assert not job.is_ended
            (start,) = harness.place_and_start()
            harness.finish_run(start, "failed")
            harness.acknowledge_ends(start.executor)
            harness.tick(10.0)
            harness.answer_hold(start.executor)
        assert job.progress.phase == FAILED
        assert harness.place() == []

    def test_end_that_is_listed_again_counts_once(self) -> None:
        harness = SchedulerHarness()
        job = harness.submit("a" * 16, "urgent", make_step(1))
        (start,) = harness.place_and_start()
        harness.finish_run(start, "failed")
        harness.scheduler.state.executors[start.executor].last_read_end = 0
        harness.answer_hold(start.executor)
        harness.acknowledge_ends(start.executor)
        assert job.progress.steps[(0, 0)].failed == {0: {start.run}}
        assert not job.is_ended

    @pytest.mark.parametrize("how", ["failed", "done", "stopped", "lapsed"])
    def test_lasting_task_starts_again_however_it_ends(self, how: str) -> None:
        harness = SchedulerHarness()
        job = harness.submit("a" * 16, "urgent", make_step(1, is_lasting=True))
        for _ in range(4):
            harness.tick(10.0)
            (start,) = harness.place_and_start()
            harness.finish_run(start, how)
        assert len(harness.place()) == 1
        assert not job.is_ended


class TestCancel:
    """A cancelled job starts no more runs, and its runs are stopped."""

    def test_runs_are_stopped(self) -> None:
        harness = SchedulerHarness()
        job = harness.submit("a" * 16, "batch", make_step(2))
        starts = harness.place_and_start()
        harness.apply(CancelAsked("a" * 16))
        stops = harness.take_effects(StopTask)
        assert {(stop.task, stop.run) for stop in stops} == {(s.task, s.run) for s in starts}
        assert job.progress.phase == CANCELLED
        assert harness.place() == []

    def test_stop_is_repeated_until_it_is_answered(self) -> None:
        harness = SchedulerHarness()
        harness.submit("a" * 16, "batch", make_step(1))
        harness.place_and_start()
        harness.apply(CancelAsked("a" * 16))
        (stop,) = harness.take_effects(StopTask)
        harness.tick(0.6)
        (again,) = harness.take_effects(StopTask)
        harness.answer_stop(again)
        harness.tick(0.6)
        assert harness.take_effects(StopTask) == []
        assert stop == again

    def test_start_that_crosses_the_cancel_is_stopped_when_listed(self) -> None:
        harness = SchedulerHarness()
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.apply(CancelAsked("a" * 16))
        harness.take_effects(StopTask)
        harness.tick(0.6)
        harness.answer_start(start)
        harness.answer_hold(start.executor, sent_at=harness.now - 0.01)
        harness.tick(0.6)
        assert {stop.task for stop in harness.take_effects(StopTask)} == {start.task}


class TestScheduledOccurrences:
    """Occurrences of a repeated job start at their scheduled times."""

    def test_occurrence_waits_for_its_time(self) -> None:
        harness = SchedulerHarness()
        first_ms = int((harness.now + 5 + 1_000_000.0) * 1000)
        harness.submit(
            "a" * 16, "batch", make_step(1), repeat_count=2, first_ms=first_ms, interval_ms=2000
        )
        assert harness.place() == []
        harness.tick(5.01)
        assert [start.task for start in harness.place()] == [f"{'a' * 16}.0.0.0"]
        harness.tick(2.0)
        assert [start.task for start in harness.place()] == [f"{'a' * 16}.1.0.0"]


class TestRecovery:
    """A new owner starts no task that may still run under the old one."""

    def recover(self, harness: SchedulerHarness, roster: list[tuple[str, str]]) -> None:
        queue = harness.scheduler.state.config.find("batch")
        definition = JobDefinition("b" * 16, queue, "spec", (make_step(2),))
        progress = JobProgress(steps={(0, 0): StepProgress({0})})
        stored = StoredJob(definition, harness.now, 50, progress)
        harness.apply(JobsRecovered([stored], roster, 4.0, 60))

    def test_task_waits_for_executors_that_do_not_answer(self) -> None:
        harness = SchedulerHarness()
        self.recover(harness, [("e0", "e0"), ("gone", "gone")])
        harness.answer_hold("e0")
        harness.tick()
        assert harness.place() == []
        harness.tick(4.1)
        assert [start.task for start in harness.place()] == [f"{'b' * 16}.0.0.1"]

    def test_task_starts_once_all_have_answered(self) -> None:
        harness = SchedulerHarness()
        self.recover(harness, [("e0", "e0"), ("e1", "e1")])
        harness.answer_hold("e0")
        harness.answer_hold("e1")
        harness.tick()
        assert len(harness.place()) == 1

    def test_executor_that_is_slow_to_answer_is_asked_again(self) -> None:
        """Guards against a slow takeover while answers of executors are lost."""
        harness = SchedulerHarness()
        self.recover(harness, [("other", "other")])
        harness.tick()
        (first,) = [hold for hold in harness.take_effects(HoldExecutor) if hold.executor == "other"]
        hold_sent_at = harness.now
        harness.tick(0.1)
        assert harness.take_effects(HoldExecutor) == []
        harness.tick(0.06)
        assert [hold.executor for hold in harness.take_effects(HoldExecutor)] == ["other"]
        harness.incarnations["other"] = 1
        harness.answer_hold("other")
        harness.apply(HoldFailed("other", hold_sent_at, UNKNOWN))
        executor = harness.scheduler.state.executors["other"]
        assert executor.silent_since is None and not executor.must_answer
        assert first.wait_s == 0.0

    def test_silent_executor_is_asked_again_after_a_delay(self) -> None:
        harness = SchedulerHarness()
        self.recover(harness, [("gone", "gone")])
        holds = 0
        for _ in range(40):
            harness.tick(0.05)
            asked = harness.take_effects(HoldExecutor)
            holds += len(asked)
            if asked:
                harness.apply(HoldFailed("gone", harness.now, UNKNOWN))
        # The hold after the first failure is sent at once, the others after HOLD_RETRY_S.
        assert holds <= 2 + 2.0 / HOLD_RETRY_S

    def test_failed_first_hold_does_not_expire_runs_that_a_second_one_listed(self) -> None:
        """Guards against a second run of a task while the earlier owner's lease still holds.

        The first hold of a new owner finds no connection, the second one lists a run. The new owner
        has not extended the lease yet, so only the earlier owner's lease tells when the run ends.
        """
        harness = SchedulerHarness()
        self.recover(harness, [("other", "other")])
        harness.tick()
        first_sent_at = harness.now
        harness.tick(0.2)
        harness.incarnations["other"] = 1
        harness.running["other"] = [RunReport(f"{'b' * 16}.0.0.1", 7, "", 100.0, 0.0)]
        harness.answer_hold("other")
        harness.apply(HoldFailed("other", first_sent_at, NOT_SENT))
        harness.tick(0.05)
        assert harness.place() == []
        harness.tick(3.5)
        assert harness.place() == []

    def test_late_announcement_of_an_ended_job_is_ignored(self) -> None:
        """Guards against restarting a completed job that a paused daemon announces late.

        Found by model seed 58.
        """
        harness = SchedulerHarness()
        self.recover(harness, [])
        harness.tick()
        assert harness.submit("c" * 16, "batch", make_step(1), revision=59) is None
        assert harness.submit("d" * 16, "batch", make_step(1), revision=61) is not None


class TestStepValidation:
    """Invalid steps are reported with the field at fault."""

    def test_error_names_the_field(self) -> None:
        assert "at least one step" in validate_steps(())
        assert "steps[0].count" in validate_steps((make_step(0),))
        assert "steps[0].after" in validate_steps((make_step(1, after=(0,)),))
        assert "steps[0]" in validate_steps((make_step(1, cpu=-1),))
        assert validate_steps((make_step(1), make_step(1, after=(0,)))) == ""


class TestRecords:
    """Records decode to what was encoded."""

    def test_definition(self) -> None:
        harness = SchedulerHarness()
        queue = harness.scheduler.state.config.find("advised")
        steps = (make_step(2, is_gang=True), make_step(1, after=(0,), label="a", rack="r1"))
        job = JobDefinition("a" * 16, queue, "text", steps, 5, 2, 7, 9)
        assert decode_definition(encode_definition(job)) == job

    def test_definition_of_an_earlier_version_gets_default_fields(self) -> None:
        harness = SchedulerHarness()
        queue = harness.scheduler.state.config.find("advised")
        step = make_step(1, image="web", target_s=0.2, fills=True)
        row = msgpack.unpackb(encode_definition(JobDefinition("a" * 16, queue, "text", (step,))))
        row[4] = [fields[:13] for fields in row[4]]
        decoded = decode_definition(msgpack.packb(row))
        assert decoded.steps == (make_step(1),)

    def test_progress(self) -> None:
        progress = JobProgress(RUNNING, {(1, 0): StepProgress({0, 3}, {2: {1, 5}}, {4: "s"})})
        assert decode_progress(encode_progress(progress)) == progress
