"""Tests of progress: slow and stuck executors are detected from reported runs."""

from __future__ import annotations

from tests.scheduling.helpers import SchedulerHarness, StartTask, StopTask, make_step
from wasabiramp.scheduling.model import RunReport


def report_percents(
    harness: SchedulerHarness, starts: list[StartTask], percents: list[float]
) -> None:
    """Report the progress of each run in percent."""
    for start, percent in zip(starts, percents, strict=True):
        run_reports = harness.running.setdefault(start.executor, [])
        run_reports[:] = [run_report for run_report in run_reports if run_report.task != start.task]
        run_reports.append(RunReport(start.task, start.run, "", percent, 0.0))
    for name in {start.executor for start in starts}:
        harness.answer_hold(name)


def start_two_jobs(harness: SchedulerHarness, **options: object) -> list[StartTask]:
    """Start two jobs of one task of a second each, and report 0 % progress after 0.1 s."""
    harness.submit("a" * 16, "urgent", make_step(1, **options))
    harness.submit("c" * 16, "urgent", make_step(1, **options))
    starts = harness.place_and_start()
    harness.tick(0.1)
    report_percents(harness, starts, [0.0, 0.0])
    return starts


class TestSlowExecutor:
    """An executor that becomes slow gets no new work after the next report."""

    def test_next_task_avoids_the_slow_executor(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=8_000)
        starts = start_two_jobs(harness)
        slow = starts[0].executor
        assert {start.executor for start in starts} == {slow}
        harness.tick(0.8)
        report_percents(harness, starts, [12.0, 10.0])
        assert len(harness.find_decisions("executor_slow")) == 1
        harness.submit("b" * 16, "urgent", make_step(1))
        (other,) = harness.place()
        assert other.executor != slow

    def test_normal_executor_keeps_its_runs(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=8_000)
        starts = start_two_jobs(harness)
        harness.tick(0.8)
        report_percents(harness, starts, [70.0, 50.0])
        assert harness.find_decisions("executor_slow") == []
        assert harness.take_effects(StopTask) == []

    def test_wrong_estimate_of_one_step_does_not_mark_the_executor_slow(self) -> None:
        """Guards against blaming the executor for an estimate that is three times too low.

        All ten tasks belong to one step, as in scenario scale-1 of crisalis-gale.
        """
        harness = SchedulerHarness(executors=1, cpu=20_000)
        harness.submit("a" * 16, "batch", make_step(10))
        starts = harness.place_and_start()
        harness.tick(0.1)
        report_percents(harness, starts, [3.0] * 10)
        harness.tick(0.8)
        report_percents(harness, starts, [27.0] * 10)
        assert harness.find_decisions("executor_slow") == []
        assert harness.take_effects(StopTask) == []

    def test_speed_uses_the_executors_clock(self) -> None:
        """A report that a busy owner reads late does not mark the executor as slow."""
        harness = SchedulerHarness(executors=1, cpu=8_000)
        starts = start_two_jobs(harness)
        harness.tick(0.8)
        report_percents(harness, starts, [70.0, 70.0])
        harness.tick(4.0)
        harness.clock_lag_s += 3.2
        report_percents(harness, starts, [99.0, 99.0])
        assert harness.find_decisions("executor_slow") == []

    def test_slowness_recovers(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=8_000)
        starts = start_two_jobs(harness, saves_progress=True)
        harness.tick(0.8)
        report_percents(harness, starts, [12.0, 12.0])
        harness.tick(0.8)
        report_percents(harness, starts, [82.0, 82.0])
        assert harness.scheduler.state.executors[starts[0].executor].slowness < 2.0


class TestStuckExecutor:
    """Runs without progress are moved, and their executor gets no new work."""

    def test_runs_move_and_the_executor_gets_a_cooldown(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=8_000)
        starts = start_two_jobs(harness)
        stuck = starts[0].executor
        harness.tick(1.0)
        report_percents(harness, starts, [0.0, 0.0])
        stops = harness.take_effects(StopTask)
        assert {stop.task for stop in stops} == {start.task for start in starts}
        harness.submit("b" * 16, "urgent", make_step(1))
        (other,) = harness.place()
        assert other.executor != stuck
        for start, stop in zip(starts, stops, strict=True):
            harness.answer_stop(stop)
            harness.finish_run(start, "stopped")
        again = harness.place()
        assert len(again) == 2 and stuck not in {start.executor for start in again}

    def test_task_is_moved_twice_at_most(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=8_000)
        harness.submit("a" * 16, "urgent", make_step(1))
        for _ in range(2):
            (start,) = harness.place_and_start()
            harness.tick(0.1)
            report_percents(harness, [start], [0.0])
            harness.tick(1.0)
            report_percents(harness, [start], [0.0])
            harness.answer_stop(harness.take_effects(StopTask)[0])
            harness.finish_run(start, "stopped")
            harness.tick(2.0)
        (start,) = harness.place_and_start()
        harness.tick(0.1)
        report_percents(harness, [start], [0.0])
        harness.tick(1.0)
        report_percents(harness, [start], [0.0])
        assert harness.take_effects(StopTask) == []

    def test_gang_and_lasting_tasks_are_not_moved(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=8_000)
        harness.submit("a" * 16, "gangs", make_step(2, is_gang=True))
        harness.submit("b" * 16, "batch", make_step(1, is_lasting=True))
        starts = harness.place_and_start()
        for _ in range(3):
            harness.tick(1.0)
            report_percents(harness, starts, [0.0, 0.0, 0.0])
        assert harness.take_effects(StopTask) == []
