"""Tests of jobs: order of steps, attempts, cancelling, times and recovery."""

from __future__ import annotations

import msgpack

from tests.scheduling.helpers import Bench, HoldExecutor, StopTask, make_step
from wasabiramp.scheduling.events import (
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
    StepProgress,
)
from wasabiramp.scheduling.records import (
    decode_definition,
    decode_progress,
    encode_definition,
    encode_progress,
)


class TestOrder:
    """A step begins only after all tasks of the steps before it ended well."""

    def test_second_step_waits_for_all_tasks_of_the_first(self) -> None:
        bench = Bench()
        bench.submit("a" * 16, "batch", make_step(2), make_step(1, after=(0,)))
        first, second = bench.place_and_confirm()
        bench.finish(first)
        assert bench.place() == []
        bench.finish(second)
        (third,) = bench.place()
        assert third.task == f"{'a' * 16}.0.1.0"

    def test_failed_task_is_tried_again_before_the_next_step(self) -> None:
        bench = Bench()
        bench.submit("a" * 16, "batch", make_step(1), make_step(1, after=(0,)))
        (first,) = bench.place_and_confirm()
        bench.finish(first, "failed")
        (again,) = bench.place()
        assert (again.task, again.run) == (first.task, first.run + 1)


class TestShownPhase:
    """A final phase is shown only once it is stored."""

    def test_done_is_shown_after_the_commit(self) -> None:
        bench = Bench()
        job = bench.submit("a" * 16, "batch", make_step(1))
        assert job.find_phase() == PENDING
        (start,) = bench.place_and_confirm()
        assert job.find_phase() == RUNNING
        bench.finish(start)
        assert job.find_phase() == RUNNING
        bench.commit()
        assert job.find_phase() == DONE

    def test_end_is_taken_note_of_after_the_commit(self) -> None:
        bench = Bench()
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place_and_confirm()
        bench.finish(start)
        executor = bench.scheduler.state.executors[start.executor]
        assert (executor.last_read_end, executor.last_seen) == (1, 0)
        bench.commit()
        assert executor.last_seen == 1

    def test_change_during_a_commit_needs_another(self) -> None:
        bench = Bench()
        job = bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place_and_confirm()
        bench.scheduler.state.jobs["a" * 16].is_dirty = True
        taken = bench.scheduler.take_changes()
        assert taken is not None
        bench.finish(start)
        bench.apply(Committed())
        assert job.find_phase() == RUNNING
        bench.commit()
        assert job.find_phase() == DONE


class TestAttempts:
    """A job fails once a task used up its attempts, and no run is counted twice."""

    def test_job_fails_after_its_attempts(self) -> None:
        bench = Bench()
        job = bench.submit("a" * 16, "urgent", make_step(1))
        for _ in range(2):
            bench.tick(10.0)
            (start,) = bench.place_and_confirm()
            bench.finish(start, "failed")
        assert job.progress.phase == FAILED
        assert bench.place() == []

    def test_end_that_is_listed_again_counts_once(self) -> None:
        bench = Bench()
        job = bench.submit("a" * 16, "urgent", make_step(1))
        (start,) = bench.place_and_confirm()
        bench.finish(start, "failed")
        bench.scheduler.state.executors[start.executor].last_read_end = 0
        bench.report(start.executor)
        assert job.progress.steps[(0, 0)].failed == {0: {start.run}}
        assert not job.is_ended

    def test_lasting_task_starts_again_however_it_ends(self) -> None:
        bench = Bench()
        bench.submit("a" * 16, "urgent", make_step(1, is_lasting=True))
        for _ in range(4):
            bench.tick(10.0)
            (start,) = bench.place_and_confirm()
            bench.finish(start, "failed")
        assert len(bench.place()) == 1


class TestCancel:
    """A cancelled job starts nothing more, and its runs are stopped."""

    def test_runs_are_stopped(self) -> None:
        bench = Bench()
        job = bench.submit("a" * 16, "batch", make_step(2))
        starts = bench.place_and_confirm()
        bench.apply(CancelAsked("a" * 16))
        stops = bench.take(StopTask)
        assert {(stop.task, stop.run) for stop in stops} == {(s.task, s.run) for s in starts}
        assert job.progress.phase == CANCELLED
        assert bench.place() == []

    def test_stop_is_repeated_until_it_is_answered(self) -> None:
        bench = Bench()
        bench.submit("a" * 16, "batch", make_step(1))
        bench.place_and_confirm()
        bench.apply(CancelAsked("a" * 16))
        (stop,) = bench.take(StopTask)
        bench.tick(0.6)
        (again,) = bench.take(StopTask)
        bench.confirm_stop(again)
        bench.tick(0.6)
        assert bench.take(StopTask) == []
        assert stop == again

    def test_start_that_crosses_the_cancel_is_stopped_when_it_shows(self) -> None:
        bench = Bench()
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.apply(CancelAsked("a" * 16))
        bench.take(StopTask)
        bench.tick(0.6)
        bench.confirm(start)
        bench.report(start.executor, sent_at=bench.now - 0.01)
        bench.tick(0.6)
        assert {stop.task for stop in bench.take(StopTask)} == {start.task}


class TestTimes:
    """Occurrences start at their times."""

    def test_occurrence_waits_for_its_time(self) -> None:
        bench = Bench()
        first_ms = int((bench.now + 5 + 1_000_000.0) * 1000)
        bench.submit(
            "a" * 16, "batch", make_step(1), repeat_count=2, first_ms=first_ms, interval_ms=2000
        )
        assert bench.place() == []
        bench.tick(5.01)
        assert [start.task for start in bench.place()] == [f"{'a' * 16}.0.0.0"]
        bench.tick(2.0)
        assert [start.task for start in bench.place()] == [f"{'a' * 16}.1.0.0"]


class TestRecovery:
    """A new owner starts nothing that may still run under the old one."""

    def recover(self, bench: Bench, roster: list[tuple[str, str]]) -> None:
        queue = bench.scheduler.state.config.find("batch")
        definition = JobDefinition("b" * 16, queue, "spec", (make_step(2),))
        progress = JobProgress(steps={(0, 0): StepProgress({0})})
        stored = StoredJob(definition, bench.now, 50, progress)
        bench.apply(JobsRecovered([stored], roster, 4.0, 60))

    def test_task_waits_for_executors_that_do_not_answer(self) -> None:
        bench = Bench()
        self.recover(bench, [("e0", "e0"), ("gone", "gone")])
        bench.report("e0")
        bench.tick()
        assert bench.place() == []
        bench.tick(4.1)
        assert [start.task for start in bench.place()] == [f"{'b' * 16}.0.0.1"]

    def test_task_starts_once_all_have_answered(self) -> None:
        bench = Bench()
        self.recover(bench, [("e0", "e0"), ("e1", "e1")])
        bench.report("e0")
        bench.report("e1")
        bench.tick()
        assert len(bench.place()) == 1

    def test_executor_that_is_slow_to_answer_is_asked_again(self) -> None:
        """Load pattern: a takeover while answers of executors are lost."""
        bench = Bench()
        self.recover(bench, [("other", "other")])
        bench.tick()
        (first,) = [hold for hold in bench.take(HoldExecutor) if hold.executor == "other"]
        asked_at = bench.now
        bench.tick(0.1)
        assert bench.take(HoldExecutor) == []
        bench.tick(0.06)
        assert [hold.executor for hold in bench.take(HoldExecutor)] == ["other"]
        bench.born["other"] = 1
        bench.report("other")
        bench.apply(HoldFailed("other", asked_at, UNKNOWN))
        executor = bench.scheduler.state.executors["other"]
        assert executor.silent_since is None and not executor.must_answer
        assert first.wait_s == 0.0

    def test_executor_that_stays_silent_is_not_asked_in_a_rush(self) -> None:
        bench = Bench()
        self.recover(bench, [("gone", "gone")])
        holds = 0
        for _ in range(40):
            bench.tick(0.05)
            asked = bench.take(HoldExecutor)
            holds += len(asked)
            if asked:
                bench.apply(HoldFailed("gone", bench.now, UNKNOWN))
        # The first failure is followed by another hold at once, the others by a pause.
        assert holds <= 2 + 2.0 / HOLD_RETRY_S

    def test_late_announcement_of_a_job_that_was_over(self) -> None:
        """Model seed 58: a daemon that stood still announced a job that was done by then."""
        bench = Bench()
        self.recover(bench, [])
        bench.tick()
        assert bench.submit("c" * 16, "batch", make_step(1), revision=59) is None
        assert bench.submit("d" * 16, "batch", make_step(1), revision=61) is not None


class TestCheck:
    """Steps that make no sense are named."""

    def test_reasons(self) -> None:
        assert "at least one step" in validate_steps(())
        assert "steps[0].count" in validate_steps((make_step(0),))
        assert "steps[0].after" in validate_steps((make_step(1, after=(0,)),))
        assert "steps[0]" in validate_steps((make_step(1, cpu=-1),))
        assert validate_steps((make_step(1), make_step(1, after=(0,)))) == ""


class TestRecords:
    """Records come back as they were stored."""

    def test_definition(self) -> None:
        bench = Bench()
        queue = bench.scheduler.state.config.find("advised")
        steps = (make_step(2, is_gang=True), make_step(1, after=(0,), label="a", rack="r1"))
        job = JobDefinition("a" * 16, queue, "text", steps, 5, 2, 7, 9)
        assert decode_definition(encode_definition(job)) == job

    def test_definition_of_an_earlier_version_has_no_shares(self) -> None:
        bench = Bench()
        queue = bench.scheduler.state.config.find("advised")
        step = make_step(1, image="web", target_s=0.2, fills=True)
        row = msgpack.unpackb(encode_definition(JobDefinition("a" * 16, queue, "text", (step,))))
        row[4] = [fields[:13] for fields in row[4]]
        decoded = decode_definition(msgpack.packb(row))
        assert decoded.steps == (make_step(1),)

    def test_progress(self) -> None:
        progress = JobProgress(RUNNING, {(1, 0): StepProgress({0, 3}, {2: {1, 5}}, {4: "s"})})
        assert decode_progress(encode_progress(progress)) == progress
