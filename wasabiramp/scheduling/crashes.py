"""Crashes of executors: which task may have caused them, and when it is given up.

A task may crash each executor that starts it. All tasks that run on an executor when it crashes are
recorded with it, most of them sound. Each gets a share of the blame: a task that causes a crash
after some time is the more likely to have caused it the younger its run is (the prior of that time
is uniform on a logarithmic scale), and the more suspect it was before. Suspects then run apart from
other work (`scheduling/trials.py`), so that a further crash tells which of them causes it.
"""

from __future__ import annotations

import math
from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.scheduling.events import JobsRecovered
from wasabiramp.scheduling.isolation import add_risk
from wasabiramp.scheduling.jobs import end_job, mark_job_dirty
from wasabiramp.scheduling.model import FAILED, Crash
from wasabiramp.scheduling.state import (
    ExecutorState,
    Run,
    SchedulerState,
    StepRun,
    TaskAtCrash,
)

BASE_SUSPICION: Final = 0.01
"""Probability that a task without a record of crashes is deadly."""

AGE_DENSITY: Final = 0.1
"""Probability that a deadly task crashes its executor at a certain age, per natural logarithm of
the age: ages from milliseconds to minutes are about ten such units."""

MIN_AGE_S: Final = 0.05
"""Resolution of the age of a run at a crash: runs that are younger are equally suspect."""

PRIOR_CRASHES: Final = 1.0
PRIOR_EXPOSURE_S: Final = 100.0
"""Assumed crashes for which no task is to blame, and the executor-seconds in which they came."""

CRASH_RATE_WINDOW_S: Final = 60.0
"""Time constant with which earlier crashes are forgotten in the rate of crashes."""

MIN_SUSPICION: Final = 0.05
"""Suspicion from which a task runs apart from other work."""

REPEATED_SUSPICION: Final = 0.3
"""Least suspicion of a task under which several executors have crashed."""

SUSPICIOUS_CRASHES: Final = 2
"""Number of crashes from which a task is a suspect even if others are blamed more."""

MIN_CRASHES: Final = 2.0
CONVICTING_BLAME: Final = 0.8
"""Number of crashes, and blame for the last one, from which a task is given up."""

MANY_CRASHES: Final = 2.5
MANY_CRASHES_BLAME: Final = 0.5
"""The same for a task under which more executors have crashed."""

UNCERTAIN_WEIGHT: Final = 0.5
"""Weight of a crash if the start was not answered, as the executor may have been gone before it, or
if the executor only vanished."""

CLEARING_FACTOR: Final = 2.0
MIN_CLEARING_AGE_S: Final = 0.5
"""A run that lives longer than this, and longer by this factor than the earlier runs lived, shows
that its task did not cause their crashes."""

MAX_LOGGED_TASKS: Final = 4
"""Number of the most suspect tasks that the log line of a crash names."""


def measure_suspicion(crashes: list[Crash]) -> float:
    """Return the probability that a task causes crashes, from those that are proven."""
    innocence = 1.0
    proven = [crash for crash in crashes if crash.is_proven]
    for crash in proven:
        innocence *= 1 - crash.blame
    if len(proven) >= SUSPICIOUS_CRASHES:
        return max(REPEATED_SUSPICION, 1 - innocence)
    return 1 - innocence


def update_suspect(state: SchedulerState, step: StepRun, index: int) -> None:
    """Make a task a suspect, or clear it, by its recorded crashes."""
    if measure_suspicion(step.progress.crashes.get(index, [])) >= MIN_SUSPICION:
        step.suspects.add(index)
        state.suspect_steps[step.name] = step
        return
    step.suspects.discard(index)
    if not step.suspects:
        state.suspect_steps.pop(step.name, None)
        step.trial_due_at = None


def note_silence(state: SchedulerState, executor: ExecutorState) -> None:
    """Record that an executor stopped answering, for the tasks that run on it.

    The record is stored at once, so that it outlives this owner. A draining executor ends on
    purpose, so its silence says nothing about its tasks.
    """
    crashed_by = _find_latest_crash(state, executor)
    runs = [
        run for run in executor.runs.values() if run.step is not None and run.sent_at <= crashed_by
    ]
    if executor.entry.is_draining or executor.tasks_at_silence or not runs:
        return
    blame_by_job = _share_blame(state, executor, runs, crashed_by)
    for run in runs:
        step = run.step
        if step is None or step.job.is_ended or run.index in step.progress.done:
            continue
        blame = round(blame_by_job[step.job.definition.id], 4)
        age_s = round(crashed_by - run.sent_at, 3)
        has_started = run.confirmed_at is not None
        crash = Crash(executor.id, executor.born_ms, age_s, blame, is_certain=has_started)
        step.progress.crashes.setdefault(run.index, []).append(crash)
        executor.tasks_at_silence.append(TaskAtCrash(step, run.index, crash))
        mark_job_dirty(step.job)
    _add_risk(state, executor, 1)


def _find_latest_crash(state: SchedulerState, executor: ExecutorState) -> float:
    """Return the time by which an executor that does not answer has crashed.

    Starts sent after the first one that it left unanswered met an executor that was gone.
    """
    unanswered = [
        run.sent_at
        for run in executor.runs.values()
        if run.confirmed_at is None and run.sent_at >= executor.answered_at
    ]
    return min(min(unanswered, default=math.inf) + MIN_AGE_S, state.now)


def _add_risk(state: SchedulerState, executor: ExecutorState, sign: int) -> None:
    """Count the crash of an executor for the queue of the most suspect task, or withdraw it."""
    tasks = executor.tasks_at_silence
    if not tasks:
        return
    suspect = max(tasks, key=lambda task: task.crash.blame)
    add_risk(state, suspect.step.job.definition.queue.name, sign * suspect.crash.blame)


def _share_blame(
    state: SchedulerState, executor: ExecutorState, runs: list[Run], crashed_by: float
) -> dict[str, float]:
    """Return the probability that each job caused the crash of an executor with these runs.

    The executor crashed after its last answer. Of several runs of a job only the most suspect one
    counts, as jobs are deadly, not runs.
    """
    weights: dict[str, float] = {}
    for run in runs:
        step = run.step
        if step is not None:
            suspicion = measure_suspicion(step.progress.crashes.get(run.index, []))
            job_id = step.job.definition.id
            likelihood = _measure_likelihood(
                executor.answered_at - run.sent_at, crashed_by - run.sent_at
            )
            weight = max(BASE_SUSPICION, suspicion) * likelihood
            weights[job_id] = max(weights.get(job_id, 0.0), weight)
    total = sum(weights.values()) + _measure_crash_rate(state)
    return {job_id: weight / total for job_id, weight in weights.items()}


def _measure_crash_rate(state: SchedulerState) -> float:
    """Return the rate of crashes for which no task is to blame, per executor and second."""
    exposure_s = len(state.executors) * min(CRASH_RATE_WINDOW_S, state.now - state.created_at)
    return (PRIOR_CRASHES + _decay_unexplained(state)) / (PRIOR_EXPOSURE_S + exposure_s)


def _decay_unexplained(state: SchedulerState) -> float:
    """Return the recent crashes for which no task is to blame, older ones counting less."""
    passed_s = state.now - state.unexplained_at
    return state.unexplained_crashes * math.exp(-passed_s / CRASH_RATE_WINDOW_S)


def _count_unexplained(state: SchedulerState, blame: float) -> None:
    """Count a crash as far as the most suspect task is not to blame for it."""
    state.unexplained_crashes = _decay_unexplained(state) + 1 - blame
    state.unexplained_at = state.now


def _measure_likelihood(youngest_s: float, oldest_s: float) -> float:
    """Return how likely a deadly run crashes its executor between two ages, per second."""
    youngest_s = max(MIN_AGE_S, youngest_s)
    if oldest_s <= youngest_s + MIN_AGE_S:
        return AGE_DENSITY / youngest_s
    return AGE_DENSITY * math.log(oldest_s / youngest_s) / (oldest_s - youngest_s)


def settle_silence(state: SchedulerState, executor: ExecutorState, born_ms: int) -> None:
    """Withdraw the records of an incarnation that answers again; the others are proven."""
    tasks = executor.tasks_at_silence
    if any(task.crash.born_ms == born_ms for task in tasks):
        _add_risk(state, executor, -1)
    executor.tasks_at_silence = [task for task in tasks if task.crash.born_ms != born_ms]
    for task in tasks:
        if task.crash.born_ms == born_ms:
            _remove_crash(state, task)
    if executor.tasks_at_silence:
        confirm_crash(state, executor)


def withdraw_run(state: SchedulerState, executor: ExecutorState, run: Run) -> None:
    """Withdraw the record of a run that certainly did not start on a silent executor."""
    for task in executor.tasks_at_silence:
        if task.step is run.step and task.index == run.index:
            executor.tasks_at_silence.remove(task)
            _remove_crash(state, task)
            return


def withdraw_crashes(state: SchedulerState, executor: ExecutorState, born_ms: int) -> None:
    """Withdraw the crashes that were recorded for an incarnation that answers again."""
    for run in executor.runs.values():
        crashes = run.step.progress.crashes.get(run.index, []) if run.step is not None else []
        for crash in list(crashes):
            if run.step is not None and (crash.executor, crash.born_ms) == (executor.id, born_ms):
                _remove_crash(state, TaskAtCrash(run.step, run.index, crash))


def _remove_crash(state: SchedulerState, task: TaskAtCrash) -> None:
    """Remove a crash from the progress of its step."""
    crashes = task.step.progress.crashes.get(task.index, [])
    if task.crash not in crashes:
        return
    crashes.remove(task.crash)
    if not crashes:
        del task.step.progress.crashes[task.index]
    if not task.step.job.is_ended:
        update_suspect(state, task.step, task.index)
        mark_job_dirty(task.step.job)


def confirm_crash(state: SchedulerState, executor: ExecutorState, is_certain: bool = True) -> None:
    """Record that the process of an executor is gone, and give up the task that caused it.

    It is not certain that it crashed if only its entry was removed, as after a long partition.
    """
    tasks, executor.tasks_at_silence = executor.tasks_at_silence, []
    if not executor.is_gone and not executor.entry.is_draining:
        _count_unexplained(state, max((task.crash.blame for task in tasks), default=0.0))
    executor.is_gone = True
    if not tasks:
        return
    tasks.sort(key=lambda task: -task.crash.blame)
    rows = ",".join(
        f"{task.step.build_task_name(task.index)}:{round(task.crash.age_s * 1000)}"
        for task in tasks[:MAX_LOGGED_TASKS]
    )
    blame = tasks[0].crash.blame
    state.log_decision(
        "executor_crashed", executor=executor.id, runs=len(tasks), blame=blame, suspects_ms=rows
    )
    for task in tasks:
        task.crash.is_proven = True
        task.crash.is_certain &= is_certain
        if not task.step.job.is_ended:
            mark_job_dirty(task.step.job)
            update_suspect(state, task.step, task.index)
    for task in tasks:
        give_up_if_guilty(state, task.step, task.index)


def give_up_if_guilty(state: SchedulerState, step: StepRun, index: int) -> None:
    """End the job of a task as failed if the task has certainly crashed its executors."""
    proven = [crash for crash in step.progress.crashes.get(index, []) if crash.is_proven]
    if step.job.is_ended or not proven:
        return
    count = sum(1.0 if crash.is_certain else UNCERTAIN_WEIGHT for crash in proven)
    is_guilty = count >= MIN_CRASHES and proven[-1].blame >= CONVICTING_BLAME
    is_guilty |= count >= MANY_CRASHES and proven[-1].blame >= MANY_CRASHES_BLAME
    if is_guilty:
        name = step.build_task_name(index)
        state.log_decision("task_given_up", task=name, crashes=len(proven), blame=proven[-1].blame)
        end_job(state, step.job, FAILED, f"{len(proven)} executors crashed under {name}")


def clear_if_alive(state: SchedulerState, run: Run, age_s: float) -> None:
    """Clear a task of its recorded crashes once a run lives longer than those before them."""
    step = run.step
    if step is None or run.index not in step.suspects:
        return
    crashes = step.progress.crashes[run.index]
    longest_s = max(crash.age_s for crash in crashes)
    if age_s <= max(MIN_CLEARING_AGE_S, CLEARING_FACTOR * longest_s):
        return
    state.log_decision("task_cleared", task=run.task, crashes=len(crashes), age_s=round(age_s, 3))
    clear_task(state, step, run.index)


def clear_task(state: SchedulerState, step: StepRun, index: int) -> None:
    """Remove the recorded crashes of a task that did not cause them."""
    if step.progress.crashes.pop(index, None) is not None:
        mark_job_dirty(step.job)
        update_suspect(state, step, index)


@handles(JobsRecovered)
def handle_jobs_recovered(state: SchedulerState, event: JobsRecovered) -> None:
    """Take over the recorded crashes from an earlier owner."""
    for job in list(state.jobs.values()):
        for step in list(job.steps.values()):
            if step.progress.crashes and not job.is_ended:
                _restore_crashes(state, step)


def _restore_crashes(state: SchedulerState, step: StepRun) -> None:
    """Take over the recorded crashes of one step.

    Those that are not proven yet are settled once the executor answers. One that the earlier owner
    removed did not answer for long, but that does not show that it crashed.
    """
    for index, crashes in list(step.progress.crashes.items()):
        for crash in crashes:
            executor = state.executors.get(crash.executor)
            if executor is None:
                crash.is_certain &= crash.is_proven
                crash.is_proven = True
            elif not crash.is_proven:
                executor.tasks_at_silence.append(TaskAtCrash(step, index, crash))
        update_suspect(state, step, index)
        give_up_if_guilty(state, step, index)
