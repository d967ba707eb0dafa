"""Track executors: platform entries, holds (lease renewals), lost contact and restarts."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.policy.switches import switchable
from wasabiramp.scheduling.advice import forget_verdicts
from wasabiramp.scheduling.attempts import (
    has_uncovered_end,
    may_acknowledge_more,
    settle_ends,
    settle_silent_ends,
    withdraw_acknowledgements,
    withdraw_earlier_ends,
    withdraw_ends,
)
from wasabiramp.scheduling.attribution import (
    get_last_attributed_end,
    is_blocked_by_ends,
    process_end,
    settle_runs,
)
from wasabiramp.scheduling.capacity import record_capacity
from wasabiramp.scheduling.crashes import (
    clear_if_alive,
    confirm_crash,
    handle_answer_of_successor,
    note_silence,
    settle_silence,
    withdraw_crashes,
)
from wasabiramp.scheduling.events import (
    NOT_SENT,
    REFUSED_FENCE,
    UNKNOWN,
    ExecutorEntryInvalid,
    ExecutorListed,
    ExecutorUnlisted,
    HoldAnswered,
    HoldFailed,
    TimePassed,
)
from wasabiramp.scheduling.evidence import (
    conclude_recovery,
    expire_runs,
    is_complete,
    is_replaced,
    list_lapsed_runs,
    note_unlisted_runs,
    release_unlisted_runs,
)
from wasabiramp.scheduling.holds import send_hold
from wasabiramp.scheduling.leases import (
    calculate_longest_hold_s,
    confirm_lease,
    convert_lease_s,
    estimate_confirmed_lease_s,
    has_old_clock,
)
from wasabiramp.scheduling.model import ExecutorEntry, ExecutorReport
from wasabiramp.scheduling.orders import send_stop, stop_run
from wasabiramp.scheduling.processes import FENCE_EPOCHS
from wasabiramp.scheduling.progress import measure_speed, update_slowness
from wasabiramp.scheduling.runs import (
    give_up_ownership,
    is_fenced_by_other,
    reconcile_listed_run,
)
from wasabiramp.scheduling.sharing import SHARED_HOLD_WAIT_S, adjust_paces, is_shared
from wasabiramp.scheduling.state import ExecutorState, Run, SchedulerState

MAX_HOLD_WAIT_S: Final = 1.0
"""Longest time for which an executor may wait for an end before it answers a hold.

It is a third of a lease, so that the lease survives a lost hold."""

MIN_HOLD_WAIT_S: Final = 0.25
HOLD_WAIT_SHARE: Final = 0.3
"""Shortest wait of a hold, and the wait as a share of the shortest run on the executor.

The ends of short runs are urgent, and a hold whose answer is lost delays them by its wait."""

RECOVERY_HOLD_RETRY_S: Final = 0.15
"""After a takeover, a second hold is sent if the first is unanswered for this long.

Tasks of the earlier owner wait until the last executor has answered."""

HOLD_RETRY_S: Final = 0.3
"""Delay before a failed hold is retried.

The first retry is immediate, as a single answer may have been lost."""

ENDS_BATCH_DELAY_S: Final = 0.04
"""Delay before the next hold after ends were read, so that one hold reads several ends."""

UNSTORED_ENDS_DELAY_S: Final = 0.5
"""Delay between holds while ends that were read are not stored yet, as with a slow store."""

UNCONFIRMED_ENDS_DELAY_S: Final = 0.25
"""Delay between holds while ends are not acknowledged until it is known whether they count."""

MAX_ORDER_DELAY_S: Final = 13.0
"""Maximum delay with which an unanswered order may still reach the executor."""

RELIST_GRACE_S: Final = 2.0
"""Time within which the platform guarantees to list a vanished entry again."""


@handles(ExecutorListed)
def handle_executor_listed(state: SchedulerState, event: ExecutorListed) -> None:
    """Add or update an executor; a later start time under the same id is a new incarnation."""
    entry = event.entry
    state.executor_list_version += 1
    executor = state.executors.get(entry.id)
    _poll_predecessor(state, entry)
    if executor is None:
        state.executors[entry.id] = ExecutorState(entry, state.first_epoch)
        record_capacity(state, state.executors[entry.id])
        state.is_roster_dirty = True
        state.log_decision(
            "executor_listed", executor=entry.id, service=entry.service, rack=entry.rack
        )
        return
    executor.has_invalid_entry = False
    if entry.born_ms < executor.born_ms:
        if executor.has_accepted_fence:
            return
        correct_incarnation(state, executor, entry.born_ms)
    if entry.born_ms > executor.born_ms and executor.born_ms:
        record_new_incarnation(state, executor, entry.born_ms)
    if entry.is_draining and not executor.entry.is_draining:
        state.log_decision("executor_draining", executor=entry.id, runs=len(executor.runs))
    if entry.born_ms != executor.born_ms:
        executor.born_ms = entry.born_ms
        executor.born_known_at = state.now
    executor.entry = entry
    executor.is_listed = True
    record_capacity(state, executor)


def _poll_predecessor(state: SchedulerState, entry: ExecutorEntry) -> None:
    """Poll the silent executor that was reached at the address of another one's entry.

    The other's answer shows that its process is gone, which frees its runs.
    """
    silent_id = state.silent_by_address.get(entry.address)
    if silent_id is None or silent_id == entry.id:
        return
    del state.silent_by_address[entry.address]
    executor = state.executors.get(silent_id)
    if executor is None or executor.reached_at != entry.address:
        return
    if executor.silent_since is not None:
        executor.next_hold_at = state.now


@handles(ExecutorEntryInvalid)
def handle_invalid_entry(state: SchedulerState, event: ExecutorEntryInvalid) -> None:
    """Give an executor no new work while its entry is invalid; its runs stay tracked.

    An invalid entry of an unknown executor is that of another writer.
    """
    executor = state.executors.get(event.id)
    if executor is None or executor.has_invalid_entry:
        return
    state.executor_list_version += 1
    executor.has_invalid_entry = True
    state.log_decision("executor_entry_unusable", executor=event.id, runs=len(executor.runs))


@handles(ExecutorUnlisted)
def handle_executor_unlisted(state: SchedulerState, event: ExecutorUnlisted) -> None:
    """Mark an executor as unlisted; the resources of its runs stay occupied."""
    executor = state.executors.get(event.id)
    if executor is None or not executor.is_listed:
        return
    state.executor_list_version += 1
    executor.is_listed = False
    executor.unlisted_at = state.now
    state.log_decision("executor_unlisted", executor=event.id, runs=len(executor.runs))


def record_new_incarnation(state: SchedulerState, executor: ExecutorState, born_ms: int) -> None:
    """Discard the state of an earlier incarnation, but keep its runs.

    Recent starts may have reached the new incarnation already; its next report lists those.
    """
    unsettled = len(executor.calls.unsettled_starts)
    state.log_decision(
        "executor_reborn", executor=executor.id, runs=len(executor.runs), unsettled=unsettled
    )
    note_silence(state, executor)
    confirm_crash(state, executor)
    forget_verdicts(state, executor)
    _begin_incarnation(state, executor, born_ms)


def correct_incarnation(state: SchedulerState, executor: ExecutorState, born_ms: int) -> None:
    """Return to an earlier start time: the later one came from the entry of another writer.

    Nothing is concluded on a crash, and the runs stay tracked. No hold that is sent once a process
    is known reaches an earlier one, so the answer names the true start time. That of a process may
    also be earlier because a clock was set back.
    """
    state.log_decision("executor_start_corrected", executor=executor.id, runs=len(executor.runs))
    _begin_incarnation(state, executor, born_ms)


def _begin_incarnation(state: SchedulerState, executor: ExecutorState, born_ms: int) -> None:
    """Reset what is known of the process of an executor, which refuses earlier calls from now on.

    Starts that have reached it already may have the longest lease.
    """
    executor.reset(born_ms)
    executor.calls.begin_process()
    executor.unanswered_starts.clear()
    executor.born_known_at = state.now
    executor.lease_expiry_floor = state.now + convert_lease_s(state.lease_limit_s)
    for end in executor.unconfirmed_ends.values():
        end.lease_gaps = None
    for run in executor.runs.values():
        run.stop_sent_at = run.stop_confirmed_at = run.lease_gaps = None


def _find_or_track_start(
    state: SchedulerState, executor: ExecutorState, task: str, number: int
) -> Run:
    """Return the tracked run of a start, or track one that may still begin."""
    run = executor.runs.get((task, number))
    if run is None:
        run = Run(None, 0, task, executor.id, number, state.now)
        executor.add_run(run)
    return run


def _stop_expired_starts(state: SchedulerState, executor: ExecutorState) -> None:
    """Stop the unanswered starts whose leases have ended, before the executor gets another lease.

    Their orders may still arrive, and their tasks may have been started elsewhere.
    """
    for (task, number), sent_at in executor.unanswered_starts.items():
        is_expired = (task, number) in executor.expired_runs
        if is_expired and state.now <= sent_at + MAX_ORDER_DELAY_S:
            stop_run(state, _find_or_track_start(state, executor, task, number))


@handles(HoldAnswered)
def handle_hold_answer(state: SchedulerState, event: HoldAnswered) -> None:
    """Reconcile the runs and ends that an executor reports with the tracked ones."""
    executor = state.executors.get(event.executor)
    if executor is None:
        return
    report = event.report
    if report.born_ms < executor.born_ms:
        if event.sent_at <= executor.born_known_at:
            # An earlier incarnation answered, so nothing is known of the present one.
            handle_hold_failure(state, HoldFailed(event.executor, event.sent_at, UNKNOWN))
            return
        correct_incarnation(state, executor, report.born_ms)
        withdraw_crashes(state, executor, report.born_ms)
    if report.born_ms > executor.born_ms:
        if executor.born_ms:
            record_new_incarnation(state, executor, report.born_ms)
        executor.born_ms = report.born_ms
        executor.born_known_at = state.now
    if not executor.calls.is_for_process(event.fence_epoch):
        # The end of the lease is a time on the clock of an earlier process, whose ends it named.
        event = replace(event, last_seen=0, until_ms=None)
    handle_answer_of_successor(state, executor, report.born_ms, report.running)
    _close_hold(executor, event)
    executor.answered_at = executor.reported_at = state.now
    executor.answered_hold_sent_at = max(executor.answered_hold_sent_at, event.sent_at)
    executor.clock_ms = report.clock_ms
    executor.clock_at = state.now
    executor.clock_asked_at = event.sent_at
    _note_fence(state, executor, event)
    executor.calls.note_hold_answered(event.sent_at, event.fence_epoch, event.last_seen)
    executor.may_be_next_process = False
    _note_address(state, executor, event.address or executor.hold_address)
    executor.must_answer &= not is_complete(report)
    if executor.silent_since is not None:
        state.log_decision("executor_answers", executor=executor.id)
        executor.silent_since = None
        _stop_expired_starts(state, executor)
    executor.lapse_noticed_at = None
    if executor.tasks_at_silence:
        settle_silence(state, executor, report.born_ms)
    withdraw_earlier_ends(state, executor, report.born_ms)
    _note_lease(executor, report, event.until_ms)
    listed = _process_report(state, executor, report, event.sent_at)
    executor.is_lease_continuous = False
    if is_complete(report):
        executor.reported_lease_gaps = executor.lease_gaps
        release_unlisted_runs(state, executor, listed, event.sent_at, event.fence_epoch)
    else:
        note_unlisted_runs(executor, listed, event.sent_at)
    settle_ends(state, executor, event)
    schedule_next_hold(state, executor)


def _close_hold(executor: ExecutorState, event: HoldAnswered | HoldFailed) -> None:
    """Note that the last hold is not open any more, unless the event is that of an earlier one."""
    if event.sent_at >= executor.hold_sent_at:
        executor.has_open_hold = False


def _note_fence(state: SchedulerState, executor: ExecutorState, event: HoldAnswered) -> None:
    """Note whether a process refuses calls that were meant for earlier ones from now on.

    Until then they may have given it the longest lease.
    """
    if not executor.calls.is_for_process(event.fence_epoch):
        return
    if not executor.has_accepted_fence and executor.calls.process_epoch:
        state.log_decision(
            "process_met",
            executor=executor.id,
            epoch=executor.calls.process_epoch,
            runs=len(event.report.running),
            ends=len(event.report.ended),
            unsettled=len(executor.calls.unsettled_starts),
        )
        executor.lease_expiry_floor = state.now + convert_lease_s(state.lease_limit_s)
    executor.has_accepted_fence = True


def _note_lease(executor: ExecutorState, report: ExecutorReport, until_ms: int | None) -> None:
    """Note whether the lease may have lapsed since the last complete report.

    A run that was known before a possible gap, and still runs, shows that it has not. So does any
    run in the first report, as owners start none beside ends from before a lapse (`is_usable`).
    """
    confirm_lease(executor, report.clock_ms, until_ms)
    last_gaps = executor.reported_lease_gaps
    known = [executor.runs.get((row.task, row.run)) for row in report.running]
    if last_gaps is None:
        is_continuous = bool(report.running)
    else:
        is_continuous = executor.lease_gaps == last_gaps or any(
            run is not None and run.lease_gaps is not None and run.lease_gaps <= last_gaps
            for run in known
        )
    executor.is_lease_continuous = is_continuous
    for end in executor.unconfirmed_ends.values():
        if is_continuous and end.lease_gaps == last_gaps:
            end.lease_gaps = executor.lease_gaps


def _note_address(state: SchedulerState, executor: ExecutorState, address: str) -> None:
    """Note at which address an executor answered, which the next owner has to know."""
    if address == executor.reached_at:
        return
    if address != (executor.reached_at or executor.entry.address):
        executor.is_in_stored_roster = False
        state.is_roster_dirty = True
    executor.reached_at = address


def _process_report(
    state: SchedulerState, executor: ExecutorState, report: ExecutorReport, sent_at: float
) -> set[tuple[str, int]]:
    """Process new ends, then running runs; return the (task, run) keys listed as running."""
    executor.has_new_ends = False
    for end in report.ended:
        if end.number > executor.last_read_end:
            executor.last_read_end = end.number
            executor.has_new_ends = True
            process_end(state, executor, end)
    run_reports = {
        reconcile_listed_run(state, executor, run_report, sent_at): run_report
        for run_report in report.running
    }
    settle_runs(state, executor)
    for run in run_reports:
        clear_if_alive(state, run, sent_at - run.sent_at)
    speeds = {
        run: measure_speed(state, executor, run, run_report)
        for run, run_report in run_reports.items()
    }
    update_slowness(
        state, executor, {run: speed for run, speed in speeds.items() if speed is not None}
    )
    adjust_paces(state, executor, run_reports)
    return {(run_report.task, run_report.run) for run_report in report.running}


@switchable("ends-batch", "read ends that come together by one hold", plain=lambda: 0.0)
def get_ends_batch_delay_s() -> float:
    """Return the delay before the next hold after ends were read."""
    return ENDS_BATCH_DELAY_S


def schedule_next_hold(state: SchedulerState, executor: ExecutorState) -> None:
    """Schedule the next hold: at once, or after a delay if ends have to be stored first."""
    if executor.last_read_end > executor.last_seen:
        executor.next_hold_at = state.now + (
            get_ends_batch_delay_s() if executor.has_new_ends else UNSTORED_ENDS_DELAY_S
        )
    elif executor.unconfirmed_ends and not may_acknowledge_more(state, executor):
        executor.next_hold_at = state.now + UNCONFIRMED_ENDS_DELAY_S
    else:
        executor.next_hold_at = state.now


@handles(HoldFailed)
def handle_hold_failure(state: SchedulerState, event: HoldFailed) -> None:
    """Mark an executor as silent, so that it gets no new work until it answers.

    If its process was replaced, release its runs at once.
    """
    executor = state.executors.get(event.executor)
    if executor is None:
        return
    if is_fenced_by_other(state, event):
        give_up_ownership(state, f"{event.executor} refused a hold as fenced")
        return
    if event.outcome == UNKNOWN:
        executor.calls.note_acknowledgement_failed()
    else:
        withdraw_acknowledgements(executor, event.last_seen)
    if event.outcome == REFUSED_FENCE:
        _close_hold(executor, event)
        executor.next_hold_at = state.now
        return
    # A later hold was answered, so this failure does not mean that the executor is silent.
    if event.sent_at < executor.answered_hold_sent_at and event.outcome in (UNKNOWN, NOT_SENT):
        return
    _close_hold(executor, event)
    executor.next_hold_at = state.now
    if executor.silent_since is not None:
        executor.next_hold_at += HOLD_RETRY_S
    else:
        executor.silent_since = state.now
        if executor.reached_at:
            state.silent_by_address[executor.reached_at] = executor.id
        state.log_decision("executor_silent", executor=executor.id, why=event.outcome)
        note_silence(state, executor)
    if is_replaced(executor, event):
        expire_runs(state, executor, list(executor.runs.values()), "executor process was replaced")
        confirm_crash(state, executor)
        handle_answer_of_successor(state, executor, None)
        withdraw_ends(state, executor, "executor process was replaced")
        forget_verdicts(state, executor)
        executor.must_answer = False


@handles(TimePassed)
def handle_time_passed(state: SchedulerState, event: TimePassed) -> None:
    """Send holds and stops that are due, and release runs whose leases have expired."""
    state.list_age_s = event.list_age_s
    if any(e.calls.epoch >= FENCE_EPOCHS - 1 for e in state.executors.values()):
        give_up_ownership(state, "the fence epochs of a term are used up")
    for executor in list(state.executors.values()):
        is_silent = executor.silent_since is not None
        expire_runs(state, executor, list_lapsed_runs(state, executor), "lease expired")
        if executor.unconfirmed_ends:
            settle_silent_ends(state, executor)
        if not executor.has_open_hold and state.now >= executor.next_hold_at:
            _hold_if_needed(state, executor)
        elif not is_silent and (_is_overdue(state, executor) or _is_in_doubt(executor)):
            send_hold(state, executor, 0.0)
        for run in list(executor.runs.values()):
            if run.wants_stop:
                send_stop(state, run)
        _remove_if_gone(state, executor)
    conclude_recovery(state)


@switchable(
    "recovery-retry",
    "ask slow executors a second time after a takeover",
    plain=lambda state, executor: False,
)
def _is_overdue(state: SchedulerState, executor: ExecutorState) -> bool:
    """Return whether a hold after a takeover is unanswered for unusually long.

    It has not timed out.
    """
    return executor.must_answer and state.now >= executor.hold_sent_at + RECOVERY_HOLD_RETRY_S


def _is_in_doubt(executor: ExecutorState) -> bool:
    """Return whether no hold was sent since a start was left in doubt."""
    return executor.hold_sent_at <= executor.calls.get_doubted_at()


def _hold_if_needed(state: SchedulerState, executor: ExecutorState) -> None:
    """Send a hold if the executor has to be polled or ends have to be acknowledged.

    It is polled while it has runs, is silent, is unlisted, has not answered yet, may receive a
    late start, has ends that may count as attempts, or has not told its clock for long. It is not
    while ends that were read are still to be stored and it has neither runs nor such ends.
    """
    has_work = bool(executor.runs or executor.unconfirmed_ends)
    if _must_await_starts(state, executor):
        return
    if get_last_attributed_end(executor) > executor.last_seen and not has_work:
        return
    if not executor.has_accepted_fence or has_old_clock(state, executor):
        send_hold(state, executor, 0.0)
    elif has_work or executor.silent_since is not None or _may_receive_late_start(state, executor):
        can_wait = executor.last_read_end <= executor.last_seen and executor.silent_since is None
        can_wait &= not executor.unconfirmed_ends
        wait_s = min(choose_hold_wait_s(executor), calculate_longest_hold_s(state, executor))
        send_hold(state, executor, wait_s if can_wait else 0.0)
    elif may_acknowledge_more(state, executor) or not executor.is_listed:
        send_hold(state, executor, 0.0)


def _must_await_starts(state: SchedulerState, executor: ExecutorState) -> bool:
    """Return whether ends are to be acknowledged once the starts under way are answered.

    The executor gets no further starts until then.
    """
    calls = executor.calls
    calls.is_acknowledgement_due = (
        executor.has_accepted_fence
        and executor.silent_since is None
        and not calls.are_settled
        and not calls.is_in_doubt
        and may_acknowledge_more(state, executor)
    )
    return calls.is_acknowledgement_due


@switchable(
    "short-holds",
    "let holds wait in proportion to the shortest run",
    plain=lambda executor: SHARED_HOLD_WAIT_S if is_shared(executor) else MAX_HOLD_WAIT_S,
)
def choose_hold_wait_s(executor: ExecutorState) -> float:
    """Return how long an executor may wait for an end, which follows its shortest run."""
    estimates_s = [
        run.step.spec.estimate_s
        for run in executor.runs.values()
        if run.step is not None and not run.step.spec.is_lasting and not run.step.spec.fills
    ]
    wait_s = HOLD_WAIT_SHARE * min(estimates_s, default=MAX_HOLD_WAIT_S / HOLD_WAIT_SHARE)
    longest_s = SHARED_HOLD_WAIT_S if is_shared(executor) else MAX_HOLD_WAIT_S
    return min(longest_s, max(MIN_HOLD_WAIT_S, wait_s))


def _may_receive_late_start(state: SchedulerState, executor: ExecutorState) -> bool:
    """Return whether an unanswered start may still arrive, perhaps at a new incarnation.

    Such an executor gets holds although it runs nothing: they detect a new incarnation, and so
    stop late starts to it, before the platform lists it.
    """
    return any(
        state.now <= sent_at + MAX_ORDER_DELAY_S for sent_at in executor.unanswered_starts.values()
    )


def _remove_if_gone(state: SchedulerState, executor: ExecutorState) -> None:
    """Remove an executor that is unlisted, silent and without runs."""
    if executor.is_listed or executor.runs or executor.must_answer or executor.unconfirmed_ends:
        return
    if state.now > executor.unlisted_at + RELIST_GRACE_S and executor.silent_since is not None:
        confirm_crash(state, executor, is_certain=False)
        forget_verdicts(state, executor)
        if state.silent_by_address.get(executor.reached_at) == executor.id:
            del state.silent_by_address[executor.reached_at]
        del state.executors[executor.id]
        # The same process may be listed again, and refuses lower ones.
        state.first_epoch = max(state.first_epoch, executor.calls.epoch + 1)
        state.is_roster_dirty = True
        state.log_decision("executor_forgotten", executor=executor.id)


def may_hide_lapse(state: SchedulerState, executor: ExecutorState) -> bool:
    """Return whether a start may renew a lease that has lapsed under runs or ends that may count.

    The next report would not show that lapse.
    """
    if estimate_confirmed_lease_s(state, executor) > 0:
        return False
    has_known_run = any(run.confirmed_at is not None for run in executor.runs.values())
    return has_known_run or bool(executor.unconfirmed_ends)


def is_usable(state: SchedulerState, executor: ExecutorState) -> bool:
    """Return whether an executor may get new work now."""
    if (
        executor.entry.is_draining
        or executor.has_invalid_entry
        or not executor.has_accepted_fence
        or not executor.is_in_stored_roster
    ):
        return False
    if executor.clock_ms is None or executor.silent_since is not None:
        return False
    if not executor.is_listed and state.now > executor.unlisted_at + RELIST_GRACE_S:
        return False
    # The entry of an earlier incarnation may show another capacity and other labels.
    if executor.entry.born_ms and executor.entry.born_ms != executor.born_ms:
        return False
    if executor.calls.is_in_doubt or executor.calls.is_acknowledgement_due:
        return False
    if executor.uncounted_ends or (executor.unconfirmed_ends and has_uncovered_end(executor)):
        return False
    if may_hide_lapse(state, executor):
        return False
    # The resources that a run of an unknown job occupies are unknown until it ends.
    if any(run.step is None for run in executor.runs.values()) or is_blocked_by_ends(executor):
        return False
    return state.now >= executor.cooldown_until
