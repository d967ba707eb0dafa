"""Tests of sharing: filling tasks give way to serving tasks on the same executor."""

from __future__ import annotations

import pytest

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, StartTask, make_step
from wasabiramp.scheduling.effects import GiveUpOwnership, PaceTask
from wasabiramp.scheduling.events import REFUSED_FENCE, UNKNOWN, PaceAnswered
from wasabiramp.scheduling.model import RunReport
from wasabiramp.scheduling.sharing import SHARED_HOLD_WAIT_S

TARGET_S = 0.2


def start_pair(harness: SchedulerHarness) -> tuple[StartTask, StartTask]:
    """Start a serving task and a filling task on one executor."""
    harness.submit("a" * 16, "urgent", make_step(1, is_lasting=True, target_s=TARGET_S))
    (serving,) = harness.place_and_start()
    harness.submit("b" * 16, "batch", make_step(1, 0, fills=True))
    (filling,) = harness.place_and_start()
    return serving, filling


def report_response_time(
    harness: SchedulerHarness, pair: tuple[StartTask, StartTask], response_time_ms: float
) -> list[PaceTask]:
    """Report a response time and return the ordered paces."""
    serving, filling = pair
    harness.running["e0"] = [
        RunReport(serving.task, serving.run, "", 100.0, response_time_ms),
        RunReport(filling.task, filling.run, "", 40.0, 3_000.0),
    ]
    harness.tick(0.5)
    harness.answer_hold("e0")
    paces = harness.take_effects(PaceTask)
    for pace in paces:
        harness.apply(PaceAnswered("e0", pace.task, pace.run, "started"))
    return paces


class TestOverTarget:
    """Filling tasks are suspended within two reports if a serving task misses its target."""

    def test_two_reports_suspend_a_filling_task(self) -> None:
        harness = SchedulerHarness(executors=1)
        pair = start_pair(harness)
        paces = [pace for _ in range(3) for pace in report_response_time(harness, pair, 300.0)]
        assert [pace.percent for pace in paces] == [30, 0]

    def test_serving_task_itself_is_never_paced(self) -> None:
        harness = SchedulerHarness(executors=1)
        pair = start_pair(harness)
        paces = [pace for _ in range(4) for pace in report_response_time(harness, pair, 900.0)]
        assert {pace.task for pace in paces} == {pair[1].task}

    def test_shared_executors_get_shorter_holds(self) -> None:
        harness = SchedulerHarness(executors=1)
        pair = start_pair(harness)
        report_response_time(harness, pair, 100.0)
        harness.take_effects(HoldExecutor)
        harness.tick()
        assert [hold.wait_s for hold in harness.take_effects(HoldExecutor)] == [SHARED_HOLD_WAIT_S]


class TestRecovery:
    """Filling tasks speed up again once the serving tasks are well below their target."""

    def test_pace_rises_again(self) -> None:
        harness = SchedulerHarness(executors=1)
        pair = start_pair(harness)
        report_response_time(harness, pair, 300.0)
        percents = [report_response_time(harness, pair, 50.0)[0].percent for _ in range(3)]
        assert percents == [45, 60, 75]

    def test_pace_stays_near_the_target(self) -> None:
        harness = SchedulerHarness(executors=1)
        pair = start_pair(harness)
        report_response_time(harness, pair, 300.0)
        assert report_response_time(harness, pair, 170.0) == []

    def test_executor_below_the_target_gets_no_orders(self) -> None:
        harness = SchedulerHarness(executors=1)
        pair = start_pair(harness)
        assert report_response_time(harness, pair, 50.0) == []

    @pytest.mark.parametrize("response_time_ms", [50.0, 300.0])
    def test_new_owner_orders_its_own_pace(self, response_time_ms: float) -> None:
        harness = SchedulerHarness(executors=1)
        pair = start_pair(harness)
        earlier_jobs = list(harness.scheduler.state.jobs.values())
        new_owner = SchedulerHarness(executors=1)
        for job in earlier_jobs:
            queue = job.definition.queue.name
            new_owner.submit(job.definition.id, queue, *job.definition.steps)
        (pace,) = report_response_time(new_owner, pair, response_time_ms)
        assert pace.percent == (100 if response_time_ms < 100 else 30)


class TestPaceAnswer:
    """An unanswered pace is ordered again; a fenced refusal gives up ownership."""

    def test_lost_order_is_repeated(self) -> None:
        harness = SchedulerHarness(executors=1)
        pair = start_pair(harness)
        (pace,) = report_response_time(harness, pair, 300.0)
        harness.apply(PaceAnswered("e0", pace.task, pace.run, UNKNOWN))
        assert [p.percent for p in report_response_time(harness, pair, 300.0)] == [30]

    def test_fenced_refusal_gives_up_ownership(self) -> None:
        harness = SchedulerHarness(executors=1)
        pair = start_pair(harness)
        (pace,) = report_response_time(harness, pair, 300.0)
        harness.apply(PaceAnswered("e0", pace.task, pace.run, REFUSED_FENCE))
        assert len(harness.take_effects(GiveUpOwnership)) == 1
