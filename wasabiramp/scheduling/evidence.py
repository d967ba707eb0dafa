"""Evidence that runs have ended, which an owner needs before it starts their tasks again.

A run has ended, or never started, only if one of these is known:

- its executor listed its end, or refused to start it;
- a complete report, requested after the run was started or stopped there, does not list it;
- a complete report by a call that was meant for a later process of its executor does not list it
  (`scheduling/processes.py`);
- its lease has ended, by the slowest clock and whichever owner gave it (`scheduling/leases.py`),
  and the owner's term was proven after that, so that no later owner can have extended it;
- another process answers at the address at which the executor was reached.

Nothing else is evidence. An executor may run on behind a partition while connections to it fail,
while it drains, and while its entry is missing from the platform's list. A report with a full page
of ends says nothing about the ends on the next page. After a takeover, this holds for what earlier
owners may have started as well: the executor must have answered this owner completely, as it
refuses orders of earlier owners from then on, or their leases must have ended.
"""

from __future__ import annotations

from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.scheduling.events import OTHER_INCARNATION, HoldFailed, PredecessorEnded
from wasabiramp.scheduling.leases import (
    calculate_lease_expiry,
    calculate_run_lease_expiry,
    get_proven_at,
)
from wasabiramp.scheduling.model import ExecutorReport
from wasabiramp.scheduling.orders import release_run
from wasabiramp.scheduling.state import ExecutorState, Run, SchedulerState, StepRun

ENDS_PER_PAGE: Final = 500
"""Maximum number of ends in one answer to a hold."""


def is_complete(report: ExecutorReport) -> bool:
    """Return whether no ends can follow after those of a report."""
    return len(report.ended) < ENDS_PER_PAGE


def is_replaced(executor: ExecutorState, event: HoldFailed) -> bool:
    """Return whether a failed hold shows that the executor's process is gone."""
    address = event.address or executor.hold_address
    return event.outcome == OTHER_INCARNATION and address == executor.reached_at


def has_lease_ended(state: SchedulerState, executor: ExecutorState) -> bool:
    """Return whether all leases of an executor that does not answer have certainly ended.

    The term has to be proven after that: a later owner may have extended them.
    """
    is_answering = executor.has_accepted_fence and executor.silent_since is None
    ended_at = calculate_lease_expiry(state, executor)
    return not is_answering and state.now > ended_at and get_proven_at(state) >= ended_at


def list_lapsed_runs(state: SchedulerState, executor: ExecutorState) -> list[Run]:
    """Return the runs of an executor that does not answer whose leases have certainly ended."""
    if not executor.runs or not has_lease_ended(state, executor):
        return []
    return [
        run
        for key, run in executor.runs.items()
        if min(state.now, get_proven_at(state)) >= calculate_run_lease_expiry(state, executor, key)
    ]


def expire_runs(state: SchedulerState, executor: ExecutorState, runs: list[Run], why: str) -> None:
    """Release runs whose leases have ended or whose process is gone."""
    if runs:
        state.log_decision("runs_lapsed", executor=executor.id, runs=len(runs), why=why)
    for run in runs:
        executor.expired_runs.add((run.task, run.number))
        _release_without_end(state, run)


def release_unlisted_runs(
    state: SchedulerState,
    executor: ExecutorState,
    listed: set[tuple[str, int]],
    sent_at: float,
    epoch: int | None,
) -> None:
    """Release runs that a complete report does not list.

    The report must have been requested by a call that was meant for its process, after their start
    or stop was confirmed there, or be one that makes the process refuse their starts.
    """
    for key, run in list(executor.runs.items()):
        if key in listed:
            continue
        settled_at = run.stop_confirmed_at if run.wants_stop else run.confirmed_at
        is_settled = settled_at is not None and settled_at < sent_at
        is_settled &= executor.calls.is_for_process(epoch)
        if is_settled or _is_refused(executor, run, epoch):
            _release_without_end(state, run)


def _is_refused(executor: ExecutorState, run: Run, epoch: int | None) -> bool:
    """Return whether a process that answered a call refuses the start of a run from then on."""
    calls = executor.calls
    if run.start_order is None or not calls.is_for_process(epoch):
        return False
    return run.start_order.fence_epoch < calls.process_epoch


def note_unlisted_runs(
    executor: ExecutorState, listed: set[tuple[str, int]], sent_at: float
) -> None:
    """Note the runs that have ended, as a report does not list them, but whose ends may follow."""
    for key, run in executor.runs.items():
        if run.confirmed_at is not None and run.confirmed_at < sent_at:
            run.is_unlisted = key not in listed


def _release_without_end(state: SchedulerState, run: Run) -> None:
    """Release a run whose end was not listed.

    A later owner may have read its end, so its step waits until the term is proven.
    """
    release_run(state, run)
    if run.step is not None:
        run.step.released_at = state.now


def may_start_step(state: SchedulerState, step: StepRun) -> bool:
    """Return whether no other owner can know more of a step's runs than this one."""
    return get_proven_at(state) >= step.released_at


def is_awaiting_answers(state: SchedulerState) -> bool:
    """Return whether an executor has not answered completely since the takeover.

    If the list of executors that an earlier owner used is incomplete, its leases are awaited.
    """
    if state.has_unknown_executors and state.now < state.predecessor_leases_end_at:
        return True
    return any(executor.must_answer for executor in state.executors.values())


def conclude_recovery(state: SchedulerState) -> None:
    """End the recovery once it is known of all executors what earlier owners left on them."""
    if not state.is_recovering:
        return
    for executor in state.executors.values():
        if executor.must_answer and has_lease_ended(state, executor):
            state.log_decision("executor_written_off", executor=executor.id)
            executor.must_answer = False
    if is_awaiting_answers(state):
        return
    state.is_recovering = False
    for job in state.jobs.values():
        job.is_reconciled = True
    state.log_decision("recovery_complete")


@handles(PredecessorEnded)
def handle_predecessor_ended(state: SchedulerState, event: PredecessorEnded) -> None:
    """Wait no longer than for the last leases of the earlier owner."""
    ends_at = state.now + event.lease_left_s
    if not state.is_recovering or ends_at >= state.predecessor_leases_end_at:
        return
    state.predecessor_leases_end_at = ends_at
    state.log_decision("predecessor_ended", lease_left_s=round(event.lease_left_s, 3))
