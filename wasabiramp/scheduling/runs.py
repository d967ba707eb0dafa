"""Track runs of tasks: answers to starts and stops, reported runs and ends."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.policy.switches import do_nothing, switchable
from wasabiramp.scheduling.attempts import note_uncounted_end, record_failed_run
from wasabiramp.scheduling.crashes import clear_task, withdraw_run
from wasabiramp.scheduling.effects import GiveUpOwnership
from wasabiramp.scheduling.events import (
    NOT_SENT,
    OTHER_INCARNATION,
    REFUSED_BUSY,
    REFUSED_FENCE,
    REFUSED_INPUT,
    REFUSED_LATE,
    REFUSED_OLD,
    REFUSED_ROOM,
    REFUSED_TICKET,
    STARTED,
    UNKNOWN,
    HoldFailed,
    PaceAnswered,
    StartAnswered,
    StopAnswered,
)
from wasabiramp.scheduling.jobs import (
    find_or_prepare_step,
    finish_task,
    mark_job_dirty,
)
from wasabiramp.scheduling.leases import confirm_lease, estimate_earliest_clock_ms
from wasabiramp.scheduling.model import (
    END_BROKEN,
    END_DONE,
    END_FAILED,
    EndReport,
    RunReport,
    parse_task,
)
from wasabiramp.scheduling.orders import release_run, resend_start, send_stop, stop_run
from wasabiramp.scheduling.state import (
    ExecutorState,
    Run,
    SchedulerState,
    StepRun,
    is_wanted,
)

COOLDOWN_FAILING_STEPS: Final = 2
"""Number of different steps that fail without a success in between before a cooldown."""

COOLDOWN_S: Final = 1.5
MAX_COOLDOWN_S: Final = 6.0
"""First and longest cooldown of an executor whose runs fail; each one doubles."""

BUSY_COOLDOWN_S: Final = 0.5
"""Cooldown of an executor that did not start a run as it is unhealthy, full or unreachable."""

INVALID_INPUT_COOLDOWN_S: Final = 5.0
"""Cooldown of an executor that could not parse a start, as it would likely reject the next."""


def give_up_ownership(state: SchedulerState, reason: str) -> None:
    """Give up ownership and send no more orders, as a newer owner is active."""
    if not state.has_given_up_ownership:
        state.has_given_up_ownership = True
        state.effects.append(GiveUpOwnership(reason))


def is_fenced_by_other(
    state: SchedulerState, event: StartAnswered | StopAnswered | PaceAnswered | HoldFailed
) -> bool:
    """Return whether an executor refused a call because it knows a newer owner.

    A call is also refused if a later one of a higher epoch has overtaken it.
    """
    if event.outcome != REFUSED_FENCE:
        return False
    executor = state.executors.get(event.executor)
    if executor is None:
        return event.fence_epoch is None or event.fence_epoch >= state.first_epoch
    return not executor.calls.is_earlier_epoch(event.fence_epoch)


@handles(StartAnswered)
def handle_start_answer(state: SchedulerState, event: StartAnswered) -> None:
    """Confirm a run, or release it if the executor certainly did not start it."""
    if is_fenced_by_other(state, event):
        give_up_ownership(state, f"{event.executor} refused a start as fenced")
        return
    executor = state.executors.get(event.executor)
    if executor is None:
        return
    is_same_process = (
        event.outcome != OTHER_INCARNATION
        and event.sent_at >= executor.born_known_at
        and executor.calls.is_for_process(event.fence_epoch)
    )
    if is_same_process and _has_earlier_clock(executor, event):
        executor.may_be_next_process = True
        is_same_process = False
        state.log_decision(
            "clock_behind", executor=executor.id, task=event.task, run=event.run, how=event.outcome
        )
    _note_start_outcome(state, executor, event, is_same_process)
    run = executor.runs.get((event.task, event.run))
    if run is None:
        return
    if event.outcome not in (UNKNOWN, NOT_SENT):
        executor.answered_at = state.now
    if event.clock_ms is not None and is_same_process:
        executor.clock_ms, executor.clock_at = event.clock_ms, state.now
        executor.clock_asked_at = event.sent_at
        is_renewed = event.outcome in (STARTED, REFUSED_OLD, REFUSED_ROOM)
        confirm_lease(executor, event.clock_ms, event.until_ms if is_renewed else None)
    if event.outcome == STARTED:
        run.confirmed_at = state.now
        if is_same_process and not executor.may_be_next_process:
            run.lease_gaps = executor.lease_gaps
        return
    state.log_decision(
        "start_refused", task=event.task, run=event.run, executor=event.executor, why=event.outcome
    )
    if event.outcome == UNKNOWN:
        executor.unanswered_starts[(event.task, event.run)] = event.sent_at
        is_confirmed = run.confirmed_at is not None
        if is_confirmed or resend_start(state, executor, run):
            return
    # A refused repeat does not tell whether the first order will still be executed.
    if event.outcome == UNKNOWN or run.resends:
        run.is_uncertain = True
        stop_run(state, run)
        stop_other_members(state, run)
        return
    _handle_start_refusal(state, executor, run, event.outcome)
    withdraw_run(state, executor, run)
    release_run(state, run)
    stop_other_members(state, run)


def _has_earlier_clock(executor: ExecutorState, event: StartAnswered) -> bool:
    """Return whether an executor's clock is behind, as another process answered a start."""
    if event.clock_ms is None or executor.clock_ms is None:
        return False
    return event.clock_ms < estimate_earliest_clock_ms(executor, event.sent_at)


def _note_start_outcome(
    state: SchedulerState, executor: ExecutorState, event: StartAnswered, is_same_process: bool
) -> None:
    """Note whether it is known which process a start has reached, if any."""
    # Our clock does not count a suspension, after which it tells nothing of theirs.
    is_clock_known = event.clock_ms is not None and executor.clock_asked_at > state.resumed_at
    if event.outcome == STARTED:
        is_certain = is_same_process and is_clock_known
    else:
        is_certain = event.outcome != UNKNOWN and not executor.may_be_next_process
    executor.calls.note_start_outcome((event.task, event.run), state.now, is_certain)


def _handle_start_refusal(
    state: SchedulerState, executor: ExecutorState, run: Run, outcome: str
) -> None:
    """Prevent the next start from being refused for the same reason."""
    if outcome in (REFUSED_BUSY, REFUSED_ROOM, REFUSED_LATE, NOT_SENT, OTHER_INCARNATION):
        executor.cooldown_until = max(executor.cooldown_until, state.now + BUSY_COOLDOWN_S)
    elif outcome == REFUSED_INPUT:
        executor.cooldown_until = max(executor.cooldown_until, state.now + INVALID_INPUT_COOLDOWN_S)
    elif outcome == REFUSED_TICKET and run.step is not None:
        run.step.tickets.pop(executor.id, None)
    elif outcome not in (REFUSED_OLD, REFUSED_FENCE):
        state.log_decision("start_outcome_unknown", outcome=outcome)
    executor.next_hold_at = state.now


def stop_other_members(state: SchedulerState, run: Run, is_broken: bool = False) -> None:
    """Stop the other members of a gang after one of them did not start or ended.

    `is_broken` is set if it ended because another one did.
    """
    step = run.step
    if step is None or not step.spec.is_gang:
        return
    for other in step.iter_runs():
        if other is run or other.number != run.number:
            continue
        other.may_have_broken_gang = is_broken and (
            other.may_have_broken_gang or not other.wants_stop
        )
        if not other.wants_stop:
            stop_run(state, other)


@handles(StopAnswered)
def handle_stop_answer(state: SchedulerState, event: StopAnswered) -> None:
    """Mark a stop as confirmed; the run's end or a later hold releases its resources."""
    if is_fenced_by_other(state, event):
        give_up_ownership(state, f"{event.executor} refused a stop as fenced")
        return
    executor = state.executors.get(event.executor)
    run = state.find_run(event.executor, event.task, event.run)
    if executor is None or run is None or event.outcome != STARTED:
        return
    if not executor.calls.is_for_process(event.fence_epoch):
        return
    run.stop_confirmed_at = state.now
    executor.next_hold_at = state.now


def reconcile_listed_run(
    state: SchedulerState, executor: ExecutorState, run_report: RunReport, sent_at: float
) -> Run:
    """Return the tracked run for one that an executor lists, and stop it if it is not needed.

    A run that is not tracked yet is adopted. One of an unknown job goes on for the time being.
    """
    run = executor.runs.get((run_report.task, run_report.run))
    if run is None:
        run = adopt_run(state, executor, run_report)
    if run.confirmed_at is None:
        run.confirmed_at = sent_at
    # A report that was overtaken may list a run whose end was read since.
    if sent_at >= executor.answered_hold_sent_at:
        run.lease_gaps = executor.lease_gaps
    if run.step is not None and run_report.saved:
        run.step.tasks[run.index].saved = run_report.saved
    if run.step is not None and not is_wanted(run) and not _ends_with_gang(run):
        run.wants_stop = True
    if run.wants_stop:
        send_stop(state, run)
    return run


def _ends_with_gang(run: Run) -> bool:
    """Return whether a run belongs to a gang that succeeded, whose members end by themselves."""
    return run.step is not None and run.step.spec.is_gang and run.step.is_done


def adopt_run(state: SchedulerState, executor: ExecutorState, run_report: RunReport) -> Run:
    """Track a run that an earlier owner started, or that was released too early."""
    step, index = find_step(state, run_report.task)
    run = Run(step, index, run_report.task, executor.id, run_report.run, state.now)
    run.pace = None
    executor.add_run(run)
    if step is None:
        state.log_decision("run_unattributed", task=run.task, run=run.number, executor=executor.id)
    else:
        link_run(state, executor, run, step)
    return run


def link_run(state: SchedulerState, executor: ExecutorState, run: Run, step: StepRun) -> None:
    """Link a run that is tracked to its task; a second run of a task is stopped."""
    task = step.tasks[run.index]
    if (run.task, run.number) in executor.expired_runs or (task.runs and not step.spec.may_copy):
        run.wants_stop = True
    task.last_run = max(task.last_run, run.number)
    task.runs.append(run)
    step.job.has_started = True
    state.log_decision("run_adopted", task=run.task, run=run.number, executor=executor.id)


def find_step(state: SchedulerState, task: str) -> tuple[StepRun | None, int]:
    """Return the step and the task index for a task name, or (None, 0) if unknown.

    The occurrence is prepared if need be, as an earlier owner may have been further ahead.
    """
    parsed = parse_task(task)
    if parsed is None:
        return None, 0
    job_id, occurrence, index, number = parsed
    job = state.jobs.get(job_id)
    step = find_or_prepare_step(state, job, occurrence, index) if job is not None else None
    if step is None or number >= step.spec.count:
        return None, 0
    return step, number


def handle_run_end(
    state: SchedulerState, executor: ExecutorState, end: EndReport, lease_gaps: int | None
) -> None:
    """Process the end of a run: release it and record success or failure of its task.

    `lease_gaps` is as in `UnconfirmedEnd`.
    """
    run = executor.runs.get((end.task, end.run))
    step, index = (run.step, run.index) if run is not None else find_step(state, end.task)
    if run is not None:
        release_run(state, run)
    if step is None:
        return
    if (end.task, end.run) in executor.expired_runs and step.tasks[index].runs:
        if end.how == END_FAILED and not step.spec.is_lasting:
            note_uncounted_end(state, executor, end.number)
        state.log_decision(
            "end_ignored", task=end.task, run=end.run, how=end.how, why="lease expired"
        )
        return
    if end.saved and index not in step.progress.done:
        step.tasks[index].saved = end.saved
        step.progress.saved[index] = end.saved
        mark_job_dirty(step.job)
    if end.how in (END_DONE, END_FAILED):
        clear_task(state, step, index)
    _log_end(state, executor, step, run, end)
    _update_executor_health(state, executor, step, run, end.how)
    if step.job.is_ended:
        return
    if end.how == END_DONE:
        # A lasting task runs until its job is cancelled, so it is started again.
        if index not in step.progress.done and not step.spec.is_lasting:
            finish_task(state, step, index)
    elif end.how == END_FAILED:
        record_failed_run(state, executor, step, index, end, lease_gaps)
    if step.spec.is_gang and not step.is_done and run is not None:
        stop_other_members(state, run, end.how == END_BROKEN)


def _log_end(
    state: SchedulerState, executor: ExecutorState, step: StepRun, run: Run | None, end: EndReport
) -> None:
    """Log the end of a run; successes are logged in one line when their step or job is over.

    Each success is the task's index, run number, executor, and milliseconds since its start.
    """
    if end.how != END_DONE or step.spec.is_lasting:
        state.log_decision(
            "run_ended", task=end.task, run=end.run, executor=executor.id, how=end.how
        )
        return
    index = end.task.rpartition(".")[2]
    took_ms = round((state.now - run.sent_at) * 1000) if run is not None else ""
    step.finished_runs.append(f"{index}:{end.run}:{executor.id}:{took_ms}")


def _update_executor_health(
    state: SchedulerState, executor: ExecutorState, step: StepRun, run: Run | None, how: str
) -> None:
    """Update an executor's slowness, or start a cooldown if different steps fail in a row.

    The slowness is a moving average of durations relative to their estimates, bounded to 0.25 to 4.
    """
    if how == END_DONE:
        executor.failures.clear()
        executor.cooldown_s = 0.0
        if run is not None and step.spec.estimate_s > 0:
            took_s = state.now - run.sent_at
            ratio = min(4.0, max(0.25, took_s / step.spec.estimate_s))
            executor.slowness += 0.15 * (ratio - executor.slowness)
        return
    if how != END_FAILED:
        return
    executor.failures.add(step.name)
    if len(executor.failures) >= COOLDOWN_FAILING_STEPS:
        _start_cooldown(state, executor)


@switchable("failure-cooldown", "give no work to executors whose runs fail", plain=do_nothing)
def _start_cooldown(state: SchedulerState, executor: ExecutorState) -> None:
    """Give an executor no work for a time, which doubles each time."""
    executor.failures.clear()
    executor.cooldown_s = min(MAX_COOLDOWN_S, max(COOLDOWN_S, 2 * executor.cooldown_s))
    executor.cooldown_until = state.now + executor.cooldown_s
    state.log_decision("executor_rests", executor=executor.id, rest_s=executor.cooldown_s)
