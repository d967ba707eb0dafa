"""Attempts of tasks: which failed runs count, and when a job has used them up.

A failed run counts as an attempt once its end is acknowledged to the executor, unless the lease of
the executor has lapsed between the end and that. So an end that was read does not count yet. Until
it is known whether it does, the task is not started if its attempts may be used up, and its job is
not failed either. It is known from one of these:

- the executor answers a hold that acknowledged the end, at a time on its clock at which the lease
  may have lasted: it counts, and after that it does not, nor if the answer lists the end of a run
  that lapsed after it and no other hold acknowledged the end;
- a complete report no longer lists the end, as a hold whose answer was lost acknowledged it: it
  counts;
- a report lists the end, and either lists the end of a run that lapsed after it, or was requested
  after the lease had certainly lapsed: it does not count;
- the lease has lapsed, and no hold acknowledged the end: it does not count;
- the process of the executor is gone without having answered such a hold: it does not count.

An end is acknowledged only while the lease has certainly not lapsed since the run ended. If that is
not certain, the lease is let go, so that it is certain later that it has lapsed. An executor that
left the acknowledgement unanswered and does not come back leaves it open for good, so the task
starts again after a time.
"""

from __future__ import annotations

from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.scheduling.events import ConfigChanged, HoldAnswered, JobsRecovered
from wasabiramp.scheduling.evidence import has_lease_ended, is_complete
from wasabiramp.scheduling.jobs import end_job, find_or_prepare_step, mark_job_dirty
from wasabiramp.scheduling.leases import estimate_confirmed_lease_s
from wasabiramp.scheduling.model import END_LAPSED, FAILED, EndReport, FailedEnd
from wasabiramp.scheduling.state import (
    ExecutorState,
    SchedulerState,
    StepRun,
    UnconfirmedEnd,
)

MIN_ACKNOWLEDGING_LEASE_S: Final = 0.5
"""Shortest rest of a lease with which an end is acknowledged; a hold without a wait takes less."""

UNANSWERED_WAIT_S: Final = 10.0
"""Time after a lease for which an acknowledgement without an answer is left open."""


def record_failed_run(
    state: SchedulerState,
    executor: ExecutorState,
    step: StepRun,
    index: int,
    end: EndReport,
    lease_gaps: int | None,
) -> None:
    """Record a failed run, which counts as an attempt once its end is acknowledged in time.

    `lease_gaps` is as in `UnconfirmedEnd`. Lasting tasks are started again however often they fail.
    """
    key = 0 if step.spec.is_gang else index
    if step.spec.is_lasting or end.run in step.progress.failed.get(key, ()):
        return
    if (end.task, end.run) in executor.expired_runs:
        note_uncounted_end(state, executor, end.number)
        _log_verdict(state, step, key, end.run, "lease expired")
        return
    failed_end = FailedEnd(end.run, executor.id, executor.born_ms, end.number)
    known = step.progress.unconfirmed.setdefault(key, [])
    if failed_end not in known:
        known.append(failed_end)
        mark_job_dirty(step.job)
    unconfirmed = UnconfirmedEnd(step, key, failed_end, state.now)
    unconfirmed.lease_gaps = lease_gaps
    executor.unconfirmed_ends[end.number] = unconfirmed
    update_undecided(state, step, key)


def update_undecided(state: SchedulerState, step: StepRun, key: int) -> None:
    """Keep a task from starting while it is open whether its attempts are used up."""
    runs = {end.run for end in step.progress.unconfirmed.get(key, ())}
    indexes = range(step.spec.count) if step.spec.is_gang else (key,)
    count = len(runs | step.progress.failed.get(key, set()))
    if runs and count >= state.find_queue(step.job).max_attempts:
        if key not in step.undecided:
            state.log_decision("attempts_undecided", task=step.build_task_name(key), failed=count)
        step.undecided.update(indexes)
    else:
        step.undecided.difference_update(indexes)


def choose_acknowledged_end(state: SchedulerState, executor: ExecutorState) -> int:
    """Return the number of the last end that a hold which is sent now may acknowledge.

    The next owner counts an end that is stored and no longer listed, so one that does not count is
    acknowledged only once that is stored.
    """
    last = min((executor.last_seen, *(number - 1 for number in executor.unstored_withdrawals)))
    left_s = estimate_confirmed_lease_s(state, executor)
    for number, end in sorted(executor.unconfirmed_ends.items()):
        if number > last:
            break
        is_covered = end.lease_gaps == executor.lease_gaps
        if not end.step.job.is_ended and not (is_covered and left_s >= MIN_ACKNOWLEDGING_LEASE_S):
            return number - 1
    return last


def may_acknowledge_more(state: SchedulerState, executor: ExecutorState) -> bool:
    """Return whether a hold that is sent now would acknowledge further ends."""
    return choose_acknowledged_end(state, executor) > executor.calls.acknowledged_end


def note_acknowledgements(executor: ExecutorState, last_seen: int) -> None:
    """Note that a hold which acknowledges ends up to a number is sent."""
    for number, end in executor.unconfirmed_ends.items():
        end.acknowledgements += number <= last_seen


def withdraw_acknowledgements(executor: ExecutorState, last_seen: int) -> None:
    """Note that a hold which acknowledges ends up to a number was certainly not carried out."""
    for number, end in executor.unconfirmed_ends.items():
        if number <= last_seen:
            end.acknowledgements = max(0, end.acknowledgements - 1)


def note_uncounted_end(state: SchedulerState, executor: ExecutorState, number: int) -> None:
    """Start nothing on an executor until an end that does not count is acknowledged.

    The next owner takes a run beside a listed end for proof that the lease has not lapsed.
    """
    executor.uncounted_ends[number] = state.now


def _forget_acknowledged_ends(executor: ExecutorState, event: HoldAnswered) -> None:
    """Forget the ends that do not count and that an executor does not list any more."""
    listed = {end.number for end in event.report.ended}
    for number, decided_at in list(executor.uncounted_ends.items()):
        is_unlisted = is_complete(event.report) and number not in listed
        if number <= event.last_seen or (is_unlisted and event.sent_at >= decided_at):
            del executor.uncounted_ends[number]


def has_uncovered_end(executor: ExecutorState) -> bool:
    """Return whether the lease may have lapsed since an end that may count; it is not renewed."""
    return any(
        end.lease_gaps != executor.lease_gaps and not end.step.job.is_ended
        for end in executor.unconfirmed_ends.values()
    )


def settle_ends(state: SchedulerState, executor: ExecutorState, event: HoldAnswered) -> None:
    """Decide which of an executor's ends count as attempts, by its answer to a hold."""
    lapsed_at = executor.lapse_certain_at
    is_lapsed = lapsed_at is not None and event.sent_at >= lapsed_at
    listed = {end.number for end in event.report.ended}
    last_lapsed = max((e.number for e in event.report.ended if e.how == END_LAPSED), default=0)
    has_all_listed = is_complete(event.report)
    for number, end in list(executor.unconfirmed_ends.items()):
        if event.sent_at < end.read_at:
            continue
        is_late = event.report.clock_ms > executor.lease_before_hold_ms
        is_late |= number < last_lapsed and end.acknowledgements == 1
        if number <= event.last_seen and is_late:
            withdraw_end(state, executor, number, "lease lapsed")
        elif number <= event.last_seen or (has_all_listed and number not in listed):
            _confirm_end(state, executor, number)
        elif number in listed and (is_lapsed or number < last_lapsed):
            withdraw_end(state, executor, number, "lease lapsed")
    # Also those withdrawn just now: this hold may have acknowledged them.
    _forget_acknowledged_ends(executor, event)


def settle_silent_ends(state: SchedulerState, executor: ExecutorState) -> None:
    """Decide on the ends of an executor that does not answer, after its lease has lapsed."""
    if not has_lease_ended(state, executor):
        return
    if executor.lapse_noticed_at is None:
        executor.lapse_noticed_at = state.now
    is_overdue = state.now > executor.lapse_noticed_at + UNANSWERED_WAIT_S
    for number, end in list(executor.unconfirmed_ends.items()):
        if not end.acknowledgements:
            withdraw_end(state, executor, number, "lease expired")
        elif is_overdue:
            withdraw_end(state, executor, number, "executor does not answer")


def withdraw_earlier_ends(state: SchedulerState, executor: ExecutorState, born_ms: int) -> None:
    """Count none of the ends of other processes than the one that answers.

    This comes before its report is processed, as its ends may have the same numbers.
    """
    for number, end in list(executor.unconfirmed_ends.items()):
        if end.failed_end.born_ms != born_ms:
            withdraw_end(state, executor, number, "executor process is gone")


def withdraw_ends(state: SchedulerState, executor: ExecutorState, why: str) -> None:
    """Count none of the ends of a process that is gone as an attempt."""
    for number in list(executor.unconfirmed_ends):
        withdraw_end(state, executor, number, why)


def withdraw_end(state: SchedulerState, executor: ExecutorState, number: int, why: str) -> None:
    """Do not count a failed run as an attempt."""
    end = executor.unconfirmed_ends.pop(number)
    executor.unstored_withdrawals.add(number)
    if end.failed_end.born_ms == executor.born_ms:
        note_uncounted_end(state, executor, number)
    _forget_failed_end(state, end.step, end.key, end.failed_end)
    _log_verdict(state, end.step, end.key, end.failed_end.run, why)


def _confirm_end(state: SchedulerState, executor: ExecutorState, number: int) -> None:
    """Count a failed run as an attempt; the job fails once a task has used up its attempts."""
    end = executor.unconfirmed_ends.pop(number)
    step, key = end.step, end.key
    if step.job.is_ended:
        return
    runs = step.progress.failed.setdefault(key, set())
    runs.add(end.failed_end.run)
    _forget_failed_end(state, step, key, end.failed_end)
    name = step.build_task_name(key)
    state.log_decision(
        "attempt_counted", task=name, run=end.failed_end.run, executor=executor.id, count=len(runs)
    )
    if len(runs) >= state.find_queue(step.job).max_attempts:
        end_job(state, step.job, FAILED, f"{name} failed {len(runs)} times")


def _forget_failed_end(
    state: SchedulerState, step: StepRun, key: int, failed_end: FailedEnd
) -> None:
    """Remove an end that is decided on from the progress of its step."""
    ends = step.progress.unconfirmed.get(key, [])
    if failed_end in ends:
        ends.remove(failed_end)
        mark_job_dirty(step.job)
    if not ends:
        step.progress.unconfirmed.pop(key, None)
    update_undecided(state, step, key)


def _log_verdict(state: SchedulerState, step: StepRun, key: int, run: int, why: str) -> None:
    """Log that a failed run does not count as an attempt."""
    state.log_decision("attempt_not_counted", task=step.build_task_name(key), run=run, why=why)


@handles(ConfigChanged)
def handle_config_changed(state: SchedulerState, event: ConfigChanged) -> None:
    """Apply a change of the greatest number of attempts."""
    for step in state.open_steps.values():
        for key in step.progress.unconfirmed:
            update_undecided(state, step, key)


@handles(JobsRecovered)
def handle_jobs_recovered(state: SchedulerState, event: JobsRecovered) -> None:
    """Take over the ends that an earlier owner read, and may have acknowledged."""
    for job in list(state.jobs.values()):
        for (occurrence, index), progress in list(job.progress.steps.items()):
            step = find_or_prepare_step(state, job, occurrence, index)
            if step is None or job.is_ended:
                continue
            for key, ends in list(progress.unconfirmed.items()):
                for failed_end in list(ends):
                    _restore_end(state, step, key, failed_end)


def _restore_end(state: SchedulerState, step: StepRun, key: int, failed_end: FailedEnd) -> None:
    """Wait for the executor of an end to tell whether it still lists it."""
    executor = state.executors.get(failed_end.executor)
    if executor is None:
        _forget_failed_end(state, step, key, failed_end)
        _log_verdict(state, step, key, failed_end.run, "executor is gone")
        return
    known = executor.unconfirmed_ends.get(failed_end.number)
    if known is not None and known.failed_end.born_ms >= failed_end.born_ms:
        _forget_failed_end(state, step, key, failed_end)
        _log_verdict(state, step, key, failed_end.run, "executor process is gone")
        return
    if known is not None:
        withdraw_end(state, executor, failed_end.number, "executor process is gone")
    end = UnconfirmedEnd(step, key, failed_end, state.now)
    end.acknowledgements = 1
    executor.unconfirmed_ends[failed_end.number] = end
    update_undecided(state, step, key)
