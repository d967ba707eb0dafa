"""Tests of sharing: what fills gives way to what serves on the same executor."""

from __future__ import annotations

import pytest

from tests.scheduling.helpers import Bench, HoldExecutor, StartTask, make_step
from wasabiramp.scheduling.effects import GiveUpOwnership, PaceTask
from wasabiramp.scheduling.events import REFUSED_FENCE, UNKNOWN, PaceAnswered
from wasabiramp.scheduling.model import RunReport
from wasabiramp.scheduling.sharing import SHARED_HOLD_WAIT_S

TARGET_S = 0.2


def start_pair(bench: Bench) -> tuple[StartTask, StartTask]:
    """Start a task that serves and one that fills on one executor."""
    bench.submit("a" * 16, "urgent", make_step(1, is_lasting=True, target_s=TARGET_S))
    (serving,) = bench.place_and_confirm()
    bench.submit("b" * 16, "batch", make_step(1, 0, fills=True))
    (filling,) = bench.place_and_confirm()
    return serving, filling


def report_tail(bench: Bench, pair: tuple[StartTask, StartTask], tail_ms: float) -> list[PaceTask]:
    """Let the executor report a response time, and return the paces that are ordered."""
    serving, filling = pair
    bench.running["e0"] = [
        RunReport(serving.task, serving.run, "", 100.0, tail_ms),
        RunReport(filling.task, filling.run, "", 40.0, 3_000.0),
    ]
    bench.tick(0.5)
    bench.report("e0")
    paces = bench.take(PaceTask)
    for pace in paces:
        bench.apply(PaceAnswered("e0", pace.task, pace.run, "started"))
    return paces


class TestOverTarget:
    """Serving tasks over their target beside tasks that fill: these stop within the bound."""

    def test_two_reports_stop_what_fills(self) -> None:
        bench = Bench(executors=1)
        pair = start_pair(bench)
        paces = [pace for _ in range(3) for pace in report_tail(bench, pair, 300.0)]
        assert [pace.percent for pace in paces] == [30, 0]

    def test_serving_task_itself_is_never_paced(self) -> None:
        bench = Bench(executors=1)
        pair = start_pair(bench)
        paces = [pace for _ in range(4) for pace in report_tail(bench, pair, 900.0)]
        assert {pace.task for pace in paces} == {pair[1].task}

    def test_executors_are_looked_at_more_often(self) -> None:
        bench = Bench(executors=1)
        pair = start_pair(bench)
        report_tail(bench, pair, 100.0)
        bench.take(HoldExecutor)
        bench.tick()
        assert [hold.wait_s for hold in bench.take(HoldExecutor)] == [SHARED_HOLD_WAIT_S]


class TestRecovery:
    """What fills gets the processors back once the serving tasks have room to spare."""

    def test_pace_rises_again(self) -> None:
        bench = Bench(executors=1)
        pair = start_pair(bench)
        report_tail(bench, pair, 300.0)
        percents = [report_tail(bench, pair, 50.0)[0].percent for _ in range(3)]
        assert percents == [45, 60, 75]

    def test_pace_stays_near_the_target(self) -> None:
        bench = Bench(executors=1)
        pair = start_pair(bench)
        report_tail(bench, pair, 300.0)
        assert report_tail(bench, pair, 170.0) == []

    def test_calm_executor_gets_no_orders(self) -> None:
        bench = Bench(executors=1)
        pair = start_pair(bench)
        assert report_tail(bench, pair, 50.0) == []

    @pytest.mark.parametrize("tail_ms", [50.0, 300.0])
    def test_new_owner_orders_a_pace_of_its_own(self, tail_ms: float) -> None:
        bench = Bench(executors=1)
        pair = start_pair(bench)
        stored = list(bench.scheduler.state.jobs.values())
        other = Bench(executors=1)
        for job in stored:
            queue = job.definition.queue.name
            other.submit(job.definition.id, queue, *job.definition.steps)
        (pace,) = report_tail(other, pair, tail_ms)
        assert pace.percent == (100 if tail_ms < 100 else 30)


class TestPaceAnswer:
    """A pace whose answer was lost is ordered again; a newer owner ends this one."""

    def test_lost_order_is_repeated(self) -> None:
        bench = Bench(executors=1)
        pair = start_pair(bench)
        (pace,) = report_tail(bench, pair, 300.0)
        bench.apply(PaceAnswered("e0", pace.task, pace.run, UNKNOWN))
        assert [p.percent for p in report_tail(bench, pair, 300.0)] == [30]

    def test_fence_ends_the_ownership(self) -> None:
        bench = Bench(executors=1)
        pair = start_pair(bench)
        (pace,) = report_tail(bench, pair, 300.0)
        bench.apply(PaceAnswered("e0", pace.task, pace.run, REFUSED_FENCE))
        assert len(bench.take(GiveUpOwnership)) == 1
