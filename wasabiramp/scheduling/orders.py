"""Send orders to executors: starts and stops."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from wasabiramp.policy.switches import switchable
from wasabiramp.scheduling.effects import StartTask, StopTask
from wasabiramp.scheduling.leases import extend_lease
from wasabiramp.scheduling.state import (
    ExecutorState,
    Run,
    SchedulerState,
    StepRun,
    TaskState,
)

STOP_RETRY_S: Final = 0.5
"""Delay before an unanswered stop is sent again; slightly above its timeout."""

MAX_START_RESENDS: Final = 1
"""How often an unanswered start is repeated.

Once is enough, as a second loss is rare while the executor is alive."""


def start_run(
    state: SchedulerState,
    executor: ExecutorState,
    step: StepRun,
    task: TaskState,
    number: int,
) -> Run:
    """Send a start and occupy its resources from now on; return the new run."""
    run = Run(step, task.index, step.build_task_name(task.index), executor.id, number, state.now)
    executor.add_run(run)
    expiry_ms = extend_lease(state, executor)
    if expiry_ms is None:
        executor.remove_run(run)
        raise ValueError(f"executor {executor.id} cannot get a lease")
    task.last_run = number
    task.runs.append(run)
    step.job.has_started = True
    ticket = step.tickets.get(executor.id)
    run.start_order = StartTask(
        executor.id,
        executor.entry.address,
        run.task,
        number,
        step.job.definition.spec,
        expiry_ms,
        task.saved,
        ticket.value if ticket is not None else "",
    )
    _note_start(executor, run.start_order)
    state.effects.append(run.start_order)
    executor.next_hold_at = min(executor.next_hold_at, state.now)
    return run


def _note_start(executor: ExecutorState, order: StartTask) -> None:
    """Set the fence epoch of an order that is sent now, and note that it is under way."""
    executor.calls.note_start((order.task, order.run))
    order.fence_epoch = executor.calls.epoch


@switchable(
    "start-resends",
    "send an unanswered start again as the same run",
    plain=lambda state, executor, run: False,
)
def resend_start(state: SchedulerState, executor: ExecutorState, run: Run) -> bool:
    """Repeat an unanswered start unless it was repeated already or the run is to be stopped.

    Starts are idempotent at the executor, so a repeat is safe if the first order arrived. Return
    whether it was sent.
    """
    if run.start_order is None or run.wants_stop or run.resends >= MAX_START_RESENDS:
        return False
    expiry_ms = extend_lease(state, executor) if executor.silent_since is None else None
    if expiry_ms is None:
        return False
    run.resends += 1
    run.start_order = replace(run.start_order, until_ms=expiry_ms)
    _note_start(executor, run.start_order)
    state.effects.append(run.start_order)
    state.log_decision("start_repeated", task=run.task, run=run.number, executor=executor.id)
    return True


def stop_run(state: SchedulerState, run: Run) -> None:
    """Stop a run; the order is repeated until it is answered."""
    run.wants_stop = True
    send_stop(state, run)


def send_stop(state: SchedulerState, run: Run) -> None:
    """Send a stop unless one was confirmed or was sent less than STOP_RETRY_S ago."""
    executor = state.executors.get(run.executor)
    if executor is None or run.stop_confirmed_at is not None:
        return
    if run.stop_sent_at is not None and state.now < run.stop_sent_at + STOP_RETRY_S:
        return
    run.stop_sent_at = state.now
    state.effects.append(
        StopTask(executor.id, executor.entry.address, run.task, run.number, executor.calls.epoch)
    )


def release_run(state: SchedulerState, run: Run) -> None:
    """Remove a run that has certainly ended, so that its task may be started again."""
    executor = state.executors.get(run.executor)
    if executor is not None:
        executor.remove_run(run)
    step = run.step
    if step is None:
        return
    task = step.tasks[run.index]
    if run in task.runs:
        task.runs.remove(run)
