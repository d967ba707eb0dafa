"""Crashes of executors: which tasks were on them, and when a task is given up.

A task may crash each executor that starts it. All tasks that run on an executor when it crashes are
recorded with it, most of them sound, each with the ages that its run may have had, and with a share
of the blame (`scheduling/suspicion.py`). Suspects then run apart from other work
(`scheduling/trials.py`), so that a further crash tells which of them causes it.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.scheduling.crash_evidence import (
    forget_lease_if_ended,
    get_lease_left_s,
    note_lease,
    witness_crashes,
)
from wasabiramp.scheduling.events import JobsRecovered
from wasabiramp.scheduling.isolation import add_risk, withdraw_risk
from wasabiramp.scheduling.jobs import end_job, mark_job_dirty
from wasabiramp.scheduling.leases import calculate_lease_expiry
from wasabiramp.scheduling.losses import (
    MIN_OTHERS,
    count_others,
    count_unexplained,
    measure_crash_rate,
    note_loss,
    withdraw_unexplained,
)
from wasabiramp.scheduling.model import FAILED, Crash, RunReport
from wasabiramp.scheduling.state import (
    ExecutorState,
    Run,
    SchedulerState,
    StepRun,
    TaskAtCrash,
)
from wasabiramp.scheduling.suspicion import (
    BASE_SUSPICION,
    MIN_AGE_S,
    MIN_SUSPICION,
    UNCERTAIN_WEIGHT,
    calculate_blame,
    is_convicting,
    measure_mass,
    measure_suspicion,
    widen_window,
)

CLEARING_FACTOR: Final = 2.0
MIN_CLEARING_AGE_S: Final = 0.5
"""A run that lives longer than this, and longer by this factor than the earlier runs lived, shows
that its task did not cause their crashes."""

MAX_LOGGED_TASKS: Final = 4
"""Number of the most suspect tasks that the log line of a crash names."""

MAX_LOGGED_S: Final = 60.0
"""Longest time for which that line tells that a lease may have ended."""


def find_proven_crashes(step: StepRun, index: int) -> list[Crash]:
    """Return the recorded crashes of a task whose executors' processes are gone."""
    return [crash for crash in step.progress.crashes.get(index, []) if crash.is_proven]


def update_suspect(state: SchedulerState, step: StepRun, index: int) -> None:
    """Make a task a suspect, or clear it, by its recorded crashes."""
    if measure_suspicion(find_proven_crashes(step, index)) >= MIN_SUSPICION:
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
    was_silent = executor.silent_since is not None and executor.silent_since < state.now
    if executor.entry.is_draining or executor.tasks_at_silence or was_silent:
        return
    runs = [run for run in executor.runs.values() if not _is_of_earlier_process(executor, run)]
    crashed_by = _find_latest_crash(state, executor, runs)
    for run in runs:
        if run.step is not None and run.sent_at <= crashed_by:
            _record_crash(state, executor, run, crashed_by)
    note_loss(state, executor, _explain_loss(executor))
    for other in state.executors.values():
        if other.tasks_at_silence and other.loss in state.losses:
            _share_blame(state, other, count_others(state, other.loss))
    _add_risk(state, executor)


def _is_of_earlier_process(executor: ExecutorState, run: Run) -> bool:
    """Return whether a run was lost with an earlier process of its executor.

    Such a run is tracked until its stop is confirmed. It is on the present process only if that
    answers its start or lists it.
    """
    if run.lease_gaps is not None:
        return False
    return run.confirmed_at is not None or run.lost_with not in (None, executor.born_ms)


def _record_crash(
    state: SchedulerState, executor: ExecutorState, run: Run, crashed_by: float
) -> None:
    """Record the possible crash of an executor for the task of one of its runs.

    The executor crashed after its last answer. If the start was not answered, it may also have
    crashed before that.
    """
    step = run.step
    if step is None or step.job.is_ended or run.index in step.progress.done:
        return
    has_started = run.confirmed_at is not None
    age_s = crashed_by - run.sent_at
    survived_s = 0.0
    if run.confirmed_at is not None:
        survived_s = min(age_s, max(0.0, executor.reported_at - run.confirmed_at))
    low, high = widen_window(survived_s, age_s)
    exposed_s = high - low
    if not has_started and executor.answered_at > -math.inf:
        exposed_s = max(exposed_s, crashed_by - executor.answered_at)
    crash = Crash(executor.id, executor.born_ms, round(age_s, 3), 0.0, is_certain=has_started)
    crash.survived_s = round(survived_s, 3)
    run.lost_with = executor.born_ms
    step.executor_lost_at = state.now
    task = TaskAtCrash(step, run.index, crash)
    note_lease(state, executor, run, task)
    task.mass = measure_mass(low, high) * (1.0 if has_started else UNCERTAIN_WEIGHT)
    task.chance = exposed_s * measure_crash_rate(state)
    task.age_share = min(1.0, (high - low) / max(MIN_AGE_S, age_s, step.spec.estimate_s))
    task.weight = task.mass * max(
        BASE_SUSPICION, measure_suspicion(find_proven_crashes(step, run.index))
    )
    step.progress.crashes.setdefault(run.index, []).append(crash)
    executor.tasks_at_silence.append(task)


def _find_latest_crash(state: SchedulerState, executor: ExecutorState, runs: list[Run]) -> float:
    """Return the time by which an executor that does not answer has crashed.

    Starts sent after the first one that it left unanswered met an executor that was gone.
    """
    unanswered = [
        run.sent_at
        for run in runs
        if run.confirmed_at is None and run.sent_at >= executor.answered_at
    ]
    return min(min(unanswered, default=math.inf) + MIN_AGE_S, state.now)


def _explain_loss(executor: ExecutorState) -> float:
    """Return the probability that a task caused the loss of an executor, taken by itself."""
    weight = sum(_weigh_jobs(executor).values())
    chance = max((task.chance for task in executor.tasks_at_silence), default=1.0)
    return weight / (weight + chance)


def _weigh_jobs(executor: ExecutorState) -> dict[str, float]:
    """Return the probability that a job causes such a crash, by its id.

    Of several tasks of a job only the most suspect one counts, as jobs are deadly, not runs.
    """
    weights: dict[str, float] = {}
    for task in executor.tasks_at_silence:
        job_id = task.step.job.definition.id
        weights[job_id] = max(weights.get(job_id, 0.0), task.weight)
    return weights


def _share_blame(state: SchedulerState, executor: ExecutorState, others_lost: float) -> None:
    """Set the blame of each task for the crash of an executor.

    The other causes of a crash are those that are usual, one that the executor shares with others
    that were lost in the same moment, and the tasks of other jobs. A cause that executors share
    meets the run at any age.
    """
    weights = _weigh_jobs(executor)
    total = sum(weights.values())
    share_lost = min(1.0, others_lost / max(1, len(state.executors)))
    for task in executor.tasks_at_silence:
        others = total - weights[task.step.job.definition.id]
        chance = task.chance + share_lost * task.age_share + others
        task.crash.blame = round(calculate_blame(task.mass, chance), 4)
        task.crash.is_certain &= others_lost < MIN_OTHERS
        mark_job_dirty(task.step.job)


def _measure_greatest_suspicion(executor: ExecutorState) -> float:
    """Return the suspicion of the task that most likely crashed an executor.

    Its crash is not proven yet, but counts as if it were.
    """
    return max(
        (
            measure_suspicion([*find_proven_crashes(task.step, task.index), task.crash])
            for task in executor.tasks_at_silence
        ),
        default=0.0,
    )


def _add_risk(state: SchedulerState, executor: ExecutorState) -> None:
    """Count the crash of an executor for the queue of the most suspect task."""
    tasks = executor.tasks_at_silence
    if not tasks:
        return
    suspect = max(tasks, key=lambda task: task.crash.blame)
    suspect.counted_risk, suspect.counted_at = suspect.crash.blame, state.now
    add_risk(state, suspect.step.job.definition.queue.name, suspect.counted_risk)


def settle_silence(state: SchedulerState, executor: ExecutorState, born_ms: int) -> None:
    """Withdraw the records of an incarnation that answers again; the others are proven."""
    tasks = executor.tasks_at_silence
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
    for task in executor.open_crashes:
        if task.crash.born_ms == born_ms:
            _remove_crash(state, task)
    for run in executor.runs.values():
        crashes = run.step.progress.crashes.get(run.index, []) if run.step is not None else []
        for crash in list(crashes):
            if run.step is not None and (crash.executor, crash.born_ms) == (executor.id, born_ms):
                _remove_crash(state, TaskAtCrash(run.step, run.index, crash))


def _remove_crash(state: SchedulerState, task: TaskAtCrash) -> None:
    """Remove a crash from the progress of its step, and what it counts for its queue.

    The blame may have changed since that was counted.
    """
    if task.counted_risk:
        queue = task.step.job.definition.queue.name
        withdraw_risk(state, queue, task.counted_risk, task.counted_at)
        task.counted_risk = 0.0
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
    """Record that the process of an executor is gone.

    It is not certain that it crashed if only its entry was removed, as after a long partition. One
    whose lease had ended before that is not counted as a crash without an explanation either.
    """
    suspicion = _measure_greatest_suspicion(executor)
    tasks, executor.tasks_at_silence = executor.tasks_at_silence, []
    has_lapsed = bool(tasks) and state.now > calculate_lease_expiry(state, executor)
    if not executor.is_gone and not executor.entry.is_draining and not has_lapsed:
        count_unexplained(state, suspicion)
    executor.is_gone = True
    if not tasks:
        return
    tasks.sort(key=lambda task: -task.crash.blame)
    rows = ",".join(
        f"{task.step.build_task_name(task.index)}:{round(task.crash.age_s * 1000)}"
        for task in tasks[:MAX_LOGGED_TASKS]
    )
    state.log_decision(
        "executor_crashed",
        executor=executor.id,
        runs=len(tasks),
        blame=tasks[0].crash.blame,
        suspicion=round(suspicion, 4),
        suspects_ms=rows,
        lease_left_ms=round(1000 * max(-MAX_LOGGED_S, get_lease_left_s(state, tasks[0]))),
    )
    for task in tasks:
        forget_lease_if_ended(state, executor, task)
        task.crash.is_proven = True
        task.crash.is_certain &= is_certain
        if not task.step.job.is_ended:
            mark_job_dirty(task.step.job)
            update_suspect(state, task.step, task.index)
    executor.open_crashes += tasks


def handle_answer_of_successor(
    state: SchedulerState,
    executor: ExecutorState,
    born_ms: int | None,
    running: Iterable[RunReport] = (),
) -> None:
    """Give up the tasks under which a process crashed, as another one answers in its place.

    `born_ms` is the start time of that process, or None if it is another executor's, and `running`
    are the runs that it lists.
    """
    tasks = executor.open_crashes
    if not tasks:
        return
    listed = {(run.task, run.run) for run in running}
    shown = witness_crashes(state, executor, born_ms, listed)
    for task in (*tasks, *shown):
        give_up_if_guilty(state, task.step, task.index)


def give_up_if_guilty(state: SchedulerState, step: StepRun, index: int) -> None:
    """End the job of a task as failed if the task has certainly crashed its executors."""
    crashes = find_proven_crashes(step, index)
    if step.job.is_ended or not is_convicting(crashes):
        return
    name = step.build_task_name(index)
    count = len({crash.executor for crash in crashes})
    ages = ",".join(f"{round(1000 * c.survived_s)}-{round(1000 * c.age_s)}" for c in crashes)
    suspicion = round(measure_suspicion(crashes), 4)
    state.log_decision(
        "task_given_up", task=name, crashes=len(crashes), suspicion=suspicion, ages_ms=ages
    )
    withdraw_unexplained(state, crashes)
    end_job(state, step.job, FAILED, f"{count} executors crashed under {name}")


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
    step.executor_lost_at = state.now
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
