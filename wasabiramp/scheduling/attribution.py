"""Attribution of the runs and ends that executors report to the tasks of jobs.

An executor may report a job before the owner knows it: a daemon stored the job around a takeover,
and an earlier owner started it. A job that is not known is proof of nothing until the list of
stored jobs is complete as of a time after the report, as a task runs only after its job was stored.
Until then its runs go on, and its ends are kept and not acknowledged, so that the next owner reads
them as well. Once the job is known, they are processed before anything of it is placed.

A job whose record this build cannot read belongs to an owner of a newer build. Its runs and ends
are left alone.
"""

from __future__ import annotations

from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.scheduling.events import JobAccepted, JobsRecovered, JobUnreadable, TimePassed
from wasabiramp.scheduling.leases import get_proven_at
from wasabiramp.scheduling.model import EndReport
from wasabiramp.scheduling.orders import stop_run
from wasabiramp.scheduling.runs import find_step, handle_run_end, link_run
from wasabiramp.scheduling.state import ExecutorState, JobRun, Run, SchedulerState

MAX_WAITING_ENDS: Final = 250
"""Number of ends behind one that is kept from which an executor gets no more work.

Ends that are not acknowledged are listed again, and further ones have to fit on the same page."""

MAX_UNREADABLE_S: Final = 120.0
"""Time for which runs and ends of jobs with unreadable records are left alone: an upgrade of all
daemons takes less, and an executor gets no work beside a run of unknown size."""


def may_start_job(state: SchedulerState, job: JobRun) -> bool:
    """Return whether it is known of a job what earlier owners did, and that none came later.

    The next owner takes a job that is first announced to it for one that no other owner knows. So
    a job that was only found in the store waits until the term is proven to be current after that.
    """
    return job.is_reconciled and get_proven_at(state) >= job.found_at


def parse_job_id(task: str) -> str:
    """Return the id of the job from a task name, also if the rest has an unknown format."""
    return task.partition(".")[0]


def may_become_known(state: SchedulerState, task: str, reported_at: float) -> bool:
    """Return whether a reported task without a step may belong to a job that has not ended."""
    job_id = parse_job_id(task)
    if job_id in state.jobs or job_id in state.ended_jobs:
        return False
    if job_id in state.unreadable_jobs:
        return state.now < reported_at + MAX_UNREADABLE_S
    return state.jobs_confirmed_at < reported_at


def process_end(state: SchedulerState, executor: ExecutorState, end: EndReport) -> None:
    """Process the end of a run, or keep it while its job may become known."""
    run = executor.runs.get((end.task, end.run))
    step = run.step if run is not None else find_step(state, end.task)[0]
    is_covered = executor.is_lease_continuous or (
        run is not None and run.lease_gaps == executor.lease_gaps
    )
    lease_gaps = executor.lease_gaps if is_covered else None
    if step is None and may_become_known(state, end.task, state.now):
        executor.unattributed_ends[end.number] = (end, state.now, lease_gaps)
        state.log_decision(
            "end_unattributed", task=end.task, run=end.run, executor=executor.id, how=end.how
        )
    handle_run_end(state, executor, end, lease_gaps)


def get_last_attributed_end(executor: ExecutorState) -> int:
    """Return the number of the last end that may be acknowledged."""
    if not executor.unattributed_ends:
        return executor.last_read_end
    return min(executor.unattributed_ends) - 1


def is_blocked_by_ends(executor: ExecutorState) -> bool:
    """Return whether so many ends wait behind one that is kept that the executor gets no work."""
    waiting = executor.last_read_end - get_last_attributed_end(executor)
    return bool(executor.unattributed_ends) and waiting >= MAX_WAITING_ENDS


def settle_runs(state: SchedulerState, executor: ExecutorState) -> None:
    """Stop the runs of an executor that belong to no job."""
    for run in list(executor.runs.values()):
        if run.step is not None or run.wants_stop:
            continue
        if not may_become_known(state, run.task, run.sent_at):
            state.log_decision("run_foreign", task=run.task, run=run.number, executor=executor.id)
            stop_run(state, run)


def _settle_ends(state: SchedulerState, executor: ExecutorState) -> None:
    """Drop the kept ends of an executor that belong to no job.

    Those of unreadable jobs are dropped too if too many others wait behind them.
    """
    for number, (end, read_at, _gaps) in sorted(executor.unattributed_ends.items()):
        is_unreadable = parse_job_id(end.task) in state.unreadable_jobs
        is_in_the_way = is_unreadable and is_blocked_by_ends(executor)
        if is_in_the_way or not may_become_known(state, end.task, read_at):
            del executor.unattributed_ends[number]
            state.log_decision(
                "end_dropped", task=end.task, run=end.run, executor=executor.id, how=end.how
            )


@handles(TimePassed)
def handle_time_passed(state: SchedulerState, event: TimePassed) -> None:
    """Settle reports that the list of stored jobs has caught up with."""
    if event.jobs_confirmed_at <= state.jobs_confirmed_at:
        return
    state.jobs_confirmed_at = event.jobs_confirmed_at
    for executor in state.executors.values():
        settle_runs(state, executor)
        _settle_ends(state, executor)


@handles(JobsRecovered)
def handle_jobs_recovered(state: SchedulerState, event: JobsRecovered) -> None:
    """Note the jobs that are known but not to be run."""
    state.ended_jobs.update(event.ended)
    state.unreadable_jobs.update(event.unreadable)


@handles(JobUnreadable)
def handle_job_unreadable(state: SchedulerState, event: JobUnreadable) -> None:
    """Leave the runs and ends of a job alone."""
    state.unreadable_jobs.add(event.job_id)


@handles(JobAccepted)
def handle_job_accepted(state: SchedulerState, event: JobAccepted) -> None:
    """Process what executors reported about a job before it was known."""
    job_id = event.job.definition.id
    if job_id not in state.jobs:
        return
    state.unreadable_jobs.discard(job_id)
    for executor in state.executors.values():
        for number, (end, _read_at, lease_gaps) in sorted(executor.unattributed_ends.items()):
            if parse_job_id(end.task) == job_id:
                del executor.unattributed_ends[number]
                handle_run_end(state, executor, end, lease_gaps)
        for run in list(executor.runs.values()):
            if run.step is None and parse_job_id(run.task) == job_id:
                _attribute_run(state, executor, run)


def _attribute_run(state: SchedulerState, executor: ExecutorState, run: Run) -> None:
    """Link a run to its task now that its job is known; stop it if there is no such task."""
    executor.remove_run(run)
    run.step, run.index = find_step(state, run.task)
    executor.add_run(run)
    if run.step is not None:
        link_run(state, executor, run, run.step)
    settle_runs(state, executor)
