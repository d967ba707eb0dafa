"""Tests of trials: suspects run apart, and other work does not wait for that for long."""

from __future__ import annotations

import pytest

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, make_step
from wasabiramp.scheduling.crashes import update_suspect
from wasabiramp.scheduling.model import Crash, Step
from wasabiramp.scheduling.trials import (
    BACKOFF_S,
    MAX_LIKELY_TRIAL_WAIT_S,
    MAX_TRIAL_WAIT_S,
)

MAX_WAIT_S = 3.0
"""Time for which a task may wait although an executor has room for it."""

CRASH_AGES_S = (8.0, 14.0)


def start_lasting_suspect(harness: SchedulerHarness) -> str:
    """Start a lasting task under which two executors have crashed; return its executor."""
    job = harness.submit("a" * 16, "batch", make_step(1, is_lasting=True))
    step = job.steps[(0, 0)]
    step.progress.crashes[0] = [
        Crash(f"gone{age_s}", 1, age_s, 0.5, is_proven=True) for age_s in CRASH_AGES_S
    ]
    update_suspect(harness.scheduler.state, step, 0)
    (start,) = harness.place_and_start()
    return start.executor


def submit_after_losses(
    harness: SchedulerHarness, queue: str, definition: Step, index: int, losses: int
) -> None:
    """Submit a job of one step, under a task of which executors were lost, the last one now."""
    step = harness.submit("a" * 16, queue, definition).steps[(0, 0)]
    step.progress.crashes[index] = [
        Crash(f"gone{number}", 1, 0.1, 0.5, is_proven=True) for number in range(losses)
    ]
    step.executor_lost_at = harness.now
    update_suspect(harness.scheduler.state, step, index)


class TestWorkBesideSuspects:
    """An executor with a suspect gets other work only if no other executor may run that."""

    # Guards against LOST: a lasting suspect kept its executor closed for twice its greatest age at
    # a crash, also to a job that only this executor could run.
    def test_work_that_only_the_closed_executor_may_run_starts_soon(self) -> None:
        harness = SchedulerHarness(executors=0)
        harness.list_executor("e0", labels=("special", "r0"))
        harness.tick()
        harness.commit()
        harness.answer_hold("e0")
        assert start_lasting_suspect(harness) == "e0"
        submitted_at = harness.now
        harness.submit("b" * 16, "urgent", make_step(1, label="special"))
        assert harness.place() == []
        while not harness.place():
            harness.tick(0.1)
            harness.answer_hold("e0")
            assert harness.now <= submitted_at + MAX_WAIT_S
        assert harness.now >= submitted_at + MAX_TRIAL_WAIT_S

    # Guards against LOST: a gang that needs the closed executor as well never fitted.
    def test_gang_that_needs_the_closed_executor_starts_soon(self) -> None:
        harness = SchedulerHarness(executors=2)
        start_lasting_suspect(harness)
        submitted_at = harness.now
        harness.submit("b" * 16, "gangs", make_step(2, is_gang=True, max_per_executor=1))
        while not harness.place():
            harness.tick(0.1)
            for name in ("e0", "e1"):
                harness.answer_hold(name)
            assert harness.now <= submitted_at + MAX_WAIT_S

    def test_work_that_others_may_run_avoids_the_closed_executor(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=1_000)
        closed = start_lasting_suspect(harness)
        other = next(name for name in ("e0", "e1") if name != closed)
        harness.submit("b" * 16, "urgent", make_step(1))
        (start,) = harness.place_and_start()
        assert start.executor == other
        harness.submit("c" * 16, "urgent", make_step(1))
        for _ in range(50):
            harness.tick(0.1)
            for name in ("e0", "e1"):
                harness.answer_hold(name)
            assert harness.place() == []


class TestBackoff:
    """A task under which many executors were lost starts later each time, but not never."""

    # Guards against BUDGET: a deadly task took an executor every few seconds for good where crashed
    # executors are back only after the longest lease, so that no crash is witnessed.
    @pytest.mark.parametrize(("losses", "wait_s"), [(3, 0.0), (4, 10.0), (5, 20.0), (50, 20.0)])
    def test_wait_grows_with_the_losses(self, losses: int, wait_s: float) -> None:
        harness = SchedulerHarness(executors=2)
        lost_at = harness.now
        submit_after_losses(harness, "batch", make_step(1), 0, losses)
        while not harness.place():
            harness.tick(0.1)
            for name in ("e0", "e1"):
                harness.answer_hold(name)
            assert harness.now <= lost_at + wait_s + 0.2
        assert harness.now >= lost_at + wait_s

    def test_gang_waits_as_a_whole(self) -> None:
        harness = SchedulerHarness(executors=2)
        submit_after_losses(harness, "gangs", make_step(2, is_gang=True), 1, 4)
        assert harness.place() == []
        harness.tick(BACKOFF_S)
        for name in ("e0", "e1"):
            harness.answer_hold(name)
        assert len(harness.place()) == 2

    # Guards against LOST: a sound lasting task whose runs had lapsed four times waited for 20 s.
    def test_lasting_task_does_not_wait(self) -> None:
        harness = SchedulerHarness(executors=2)
        submit_after_losses(harness, "batch", make_step(1, is_lasting=True), 0, 5)
        assert len(harness.place()) == 1


class TestAnswerBeforeATrial:
    """An executor that runs nothing is asked whether it lives right before some trials."""

    def submit(self, unsure: int, witnessed: int = 0) -> SchedulerHarness:
        """Submit a task of which executors were lost, with or without a witness, some time ago."""
        harness = SchedulerHarness(executors=2)
        step = harness.submit("a" * 16, "batch", make_step(1)).steps[(0, 0)]
        step.progress.crashes[0] = [
            Crash(f"gone{n}", 1, 0.1, 0.5, n < witnessed, True, 0.0, n < witnessed)
            for n in range(unsure + witnessed)
        ]
        update_suspect(harness.scheduler.state, step, 0)
        harness.commit()
        harness.tick(0.5)
        harness.take_effects(HoldExecutor)
        return harness

    # Guards against BUDGET: an executor without work is not polled, so it was not known whether a
    # start that it left unanswered had met it or had come after its crash.
    def test_start_follows_an_answer(self) -> None:
        harness = self.submit(unsure=2)
        assert harness.place() == []
        (hold,) = harness.take_effects(HoldExecutor)
        harness.tick(0.02)
        assert harness.place() == []
        assert harness.take_effects(HoldExecutor) == []
        harness.answer_hold(hold.executor)
        (start,) = harness.place()
        assert start.executor == hold.executor

    # Guards against LOST: a suspect must not wait for good where each answer comes late.
    def test_trial_starts_without_an_answer_in_time(self) -> None:
        harness = self.submit(unsure=2)
        submitted_at = harness.now
        while not harness.place():
            harness.tick(0.1)
            assert harness.now <= submitted_at + MAX_LIKELY_TRIAL_WAIT_S + 0.2

    @pytest.mark.parametrize(("unsure", "witnessed"), [(1, 0), (0, 2), (1, 2)])
    def test_other_suspects_do_not_wait(self, unsure: int, witnessed: int) -> None:
        assert len(self.submit(unsure, witnessed).place()) == 1
