"""Evidence that an executor crashed under a run, and did not only lose contact.

An executor that falls silent may be cut off: it goes on, its lease runs out, and its runs lapse.
Its process may end after that for any cause. So the time at which contact was lost says nothing of
a crash, nor does the fact that another process is there later. A run was on an executor when its
process ended only if the new process answers while the lease of the run still lasts.
"""

from __future__ import annotations

from wasabiramp.scheduling.leases import estimate_confirmed_lease_s
from wasabiramp.scheduling.state import ExecutorState, Run, SchedulerState, TaskAtCrash


def note_lease(state: SchedulerState, executor: ExecutorState, run: Run, task: TaskAtCrash) -> None:
    """Note until when the lease of a run lasts at least, by the answers of its executor.

    It is not known if the process did not answer the start, if the lease may have lapsed since the
    run was last known, or if the run was told to stop.
    """
    is_known = run.lease_gaps is not None and run.lease_gaps == executor.lease_gaps
    if not is_known or run.wants_stop:
        return
    task.answer_asked_at = executor.clock_asked_at
    task.lease_ends_at = state.now + estimate_confirmed_lease_s(state, executor)


def get_lease_left_s(state: SchedulerState, task: TaskAtCrash) -> float:
    """Return for how long the lease of a run still lasts at least; negative if it may be over."""
    return task.lease_ends_at - state.now
