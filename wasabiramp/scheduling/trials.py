"""Trials: run tasks that may crash their executors apart from other work."""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import Final

from wasabiramp.policy.switches import switchable
from wasabiramp.scheduling.crash_evidence import MAX_ANSWER_AGE_S
from wasabiramp.scheduling.crashes import find_proven_crashes
from wasabiramp.scheduling.holds import send_hold
from wasabiramp.scheduling.reservations import could_hold
from wasabiramp.scheduling.state import ExecutorState, SchedulerState, StepRun, TaskState
from wasabiramp.scheduling.suspicion import measure_suspicion

MAX_TRIAL_SHARE: Final = 1 / 6
"""Greatest share of the executors that may be kept for trials or be down after crashes."""

MAX_TRIAL_WAIT_S: Final = 2.0
"""Longest time for which suspects wait until an executor is without other work, and for which other
work waits if only executors with suspects may run it."""

LIKELY_SUSPICION: Final = 0.5
MAX_LIKELY_TRIAL_WAIT_S: Final = 8.0
"""Suspicion from which suspects also wait while many executors are down, and the longest time for
which they do: their trial most likely costs another executor."""

MIN_UNSURE_CRASHES: Final = 2
"""Number of crashes that may not have met a run of a task, from which an executor is asked whether
it lives right before the next trial."""

BACKOFF_LOSSES: Final = 4
BACKOFF_S: Final = 10.0
MAX_BACKOFF_S: Final = 20.0
"""Number of executors that were lost under a task and are gone from which its next start waits, the
first of these waits, and the longest one; each doubles.

Where crashed executors are back later than a lease lasts, a deadly task is never given up."""


class Trials:
    """Executors that are closed to other work during one placement pass.

    `jobs_by_executor` maps each executor with a running suspect to the jobs of its suspects.
    """

    __slots__ = ("_down", "_limit", "closed", "jobs_by_executor")

    def __init__(self, state: SchedulerState, usable: list[ExecutorState]) -> None:
        """Find the executors on which suspects run, and those that are down.

        While most executors are idle, trials take no room from other work and are not limited.
        """
        self._limit: float = max(1, int(len(state.executors) * MAX_TRIAL_SHARE))
        if 2 * sum(not executor.runs for executor in usable) >= len(usable):
            self._limit = math.inf
        self._down = 0
        if state.suspect_steps:
            self._down = sum(bool(e.tasks_at_silence) for e in state.executors.values())
        self.jobs_by_executor: dict[str, set[str]] = {}
        for step in state.suspect_steps.values():
            for index in step.suspects:
                for run in step.tasks[index].runs:
                    jobs = self.jobs_by_executor.setdefault(run.executor, set())
                    jobs.add(step.job.definition.id)
        self.closed = set(self.jobs_by_executor)

    def is_open_for(self, executor: ExecutorState, step: StepRun) -> bool:
        """Return whether suspects of a step may run on an executor.

        It must have no suspects of other jobs, and not be kept for those of another step.
        """
        jobs = self.jobs_by_executor.get(executor.id)
        if jobs is not None:
            return jobs == {step.job.definition.id}
        return executor.id not in self.closed or step.trial_executor == executor.id

    def find_open_executors(
        self, state: SchedulerState, step: StepRun, group: list[ExecutorState]
    ) -> list[ExecutorState]:
        """Return the executors of a group that are open to a step without suspects.

        A step that fits on no others may use closed ones after MAX_TRIAL_WAIT_S: a suspect that
        lasts may keep its executor closed for minutes.
        """
        is_open = [executor for executor in group if executor.id not in self.closed]
        if len(is_open) == len(group) or could_hold(step, is_open):
            step.closed_out_since = None
            return is_open
        if step.closed_out_since is None:
            step.closed_out_since = state.now
        return group if state.now >= step.closed_out_since + MAX_TRIAL_WAIT_S else is_open

    def add_run(self, executor: ExecutorState, step: StepRun) -> None:
        """Close an executor to other work, as a suspect of a step starts there."""
        self.closed.add(executor.id)
        self.jobs_by_executor.setdefault(executor.id, set()).add(step.job.definition.id)
        step.trial_due_at = None
        step.trial_executor = ""

    def choose_executor(
        self,
        state: SchedulerState,
        step: StepRun,
        group: list[ExecutorState],
        candidates: list[ExecutorState],
        score: Callable[[ExecutorState], float],
    ) -> ExecutorState | None:
        """Return the executor on which suspects of a step start now, or None if they wait.

        The candidates are those executors of the group that have room for one of them.

        They wait for an executor without work of other jobs, which gets no further work meanwhile,
        but no longer than MAX_TRIAL_WAIT_S. It should be one that has not crashed under them: a
        second crash of the same executor does not show that they are deadly.
        """
        if step.trial_due_at is None:
            step.trial_due_at = state.now + get_trial_wait_s(step)
        is_due = state.now >= step.trial_due_at
        is_full = self._down + len(self.closed) >= self._limit
        if not candidates or (is_full and not is_due and is_likely_deadly(step)):
            return None
        crashed = find_crashed_executors(step)
        best = min(
            candidates,
            key=lambda executor: (
                executor.id in crashed,
                count_other_runs(executor, step),
                executor.id != step.trial_executor,
                score(executor),
            ),
        )
        others = [executor for executor in group if executor.id not in crashed]
        must_differ = best.id in crashed and could_hold(step, others)
        if is_due:
            return best
        if not must_differ and not count_other_runs(best, step):
            return best if self._is_known_alive(state, step, best) else None
        if must_differ:
            best = min(others, key=lambda executor: count_other_runs(executor, step))
        if step.trial_executor not in {executor.id for executor in group} - crashed:
            step.trial_executor = "" if is_full else best.id
        if step.trial_executor:
            self.closed.add(step.trial_executor)
        return None

    def _is_known_alive(
        self, state: SchedulerState, step: StepRun, executor: ExecutorState
    ) -> bool:
        """Return whether a trial may start on an executor, which should have answered right now.

        Else a start that it leaves unanswered tells little, as it may have crashed before. One that
        runs nothing is asked if need be, and kept for the suspects meanwhile.
        """
        is_known = state.now <= executor.clock_asked_at + MAX_ANSWER_AGE_S / 2
        if is_known or executor.runs or not may_crash_at_start(step):
            return True
        if not executor.has_open_hold:
            send_hold(state, executor, 0.0)
        step.trial_executor = executor.id
        self.closed.add(executor.id)
        return False


def is_likely_deadly(step: StepRun) -> bool:
    """Return whether a suspect of a step most likely crashes its executor."""
    return any(
        measure_suspicion(find_proven_crashes(step, index)) >= LIKELY_SUSPICION
        for index in step.suspects
    )


def may_crash_at_start(step: StepRun) -> bool:
    """Return whether executors were lost several times under a suspect without witnesses."""
    return any(
        sum(
            not crash.is_certain and not crash.is_witnessed
            for crash in find_proven_crashes(step, index)
        )
        >= MIN_UNSURE_CRASHES
        for index in step.suspects
    )


def find_crashed_executors(step: StepRun) -> set[str]:
    """Return the ids of the executors that have crashed under suspects of a step."""
    crashes = step.progress.crashes
    return {crash.executor for index in step.suspects for crash in crashes[index]}


def get_trial_wait_s(step: StepRun) -> float:
    """Return the longest time for which the suspects of a step wait."""
    return MAX_LIKELY_TRIAL_WAIT_S if is_likely_deadly(step) else MAX_TRIAL_WAIT_S


def count_other_runs(executor: ExecutorState, step: StepRun) -> int:
    """Return the number of runs on an executor that belong to other jobs."""
    return sum(run.step is None or run.step.job is not step.job for run in executor.runs.values())


def is_backing_off(state: SchedulerState, step: StepRun, index: int) -> bool:
    """Return whether a suspect waits, as many executors were lost under it lately.

    Lasting tasks do not, as they are missed while they are not at work.
    """
    excess = len(find_proven_crashes(step, index)) - BACKOFF_LOSSES
    if excess < 0 or step.spec.is_lasting:
        return False
    wait_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**excess)
    return state.now < step.executor_lost_at + wait_s


@switchable("trials", "run tasks that may crash executors apart", plain=lambda step: [])
def find_waiting_suspects(step: StepRun) -> list[TaskState]:
    """Return the waiting tasks of a step that may have crashed executors."""
    return [task for task in step.find_waiting_tasks() if task.index in step.suspects]
