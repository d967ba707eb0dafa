"""Scheduler of one placement domain: a reducer over events that returns effects as data."""

from __future__ import annotations

from typing import Any, Final

from wasabiramp.core.registry import EVENT_HANDLERS, handles
from wasabiramp.scheduling import (
    advice,
    attempts,
    attribution,
    crashes,
    evidence,
    executors,
    jobs,
    runs,
    sharing,
)
from wasabiramp.scheduling.attribution import get_last_attributed_end, parse_job_id
from wasabiramp.scheduling.effects import Effect
from wasabiramp.scheduling.events import Committed, HoldAnswered
from wasabiramp.scheduling.leases import note_suspension
from wasabiramp.scheduling.model import FINAL_PHASES
from wasabiramp.scheduling.placement import place_work
from wasabiramp.scheduling.state import ExecutorState, JobRun, SchedulerState

EVENT_HANDLER_MODULES: Final = (
    advice,
    attempts,
    attribution,
    crashes,
    evidence,
    executors,
    jobs,
    runs,
    sharing,
)
"""Modules that register event handlers on import."""

LATE_STORAGE_S: Final = 0.2
"""Time from the end of a job to its storage from which the delay is logged."""


class Changes:
    """Changes to store before phases may be shown to callers and ends acknowledged."""

    __slots__ = ("jobs", "left_out", "roster", "read_ends", "withdrawals")

    def __init__(
        self,
        jobs: list[JobRun],
        roster: list[tuple[str, str]] | None,
        read_ends: dict[str, tuple[int, int]],
        withdrawals: dict[str, tuple[int, set[int]]],
    ) -> None:
        """Create a set of changes.

        `roster` is None if unchanged; `read_ends` maps an executor to its start time and the number
        of the last end that may be acknowledged, and `withdrawals` to its start time and the
        numbers of ends that the jobs no longer hold as possible attempts. `left_out` is for the
        ids of jobs whose records the store cannot take, with the reasons.
        """
        self.jobs = jobs
        self.left_out: dict[str, str] = {}
        self.roster = roster
        self.read_ends = read_ends
        self.withdrawals = withdrawals

    @property
    def is_empty(self) -> bool:
        """Return whether nothing has to be written to the store."""
        return len(self.jobs) == len(self.left_out) and self.roster is None


class Scheduler:
    """Schedule the jobs of one placement domain.

    Example: `effects = scheduler.apply(JobAccepted(job), now)`, then `scheduler.place(now)`.
    """

    def __init__(
        self, term: int, lease_s: float, lease_limit_s: float, wall_offset_s: float
    ) -> None:
        """Create an empty scheduler for a term of ownership.

        Runs get leases of `lease_s`; no executor accepts one above `lease_limit_s`.
        """
        self.state = SchedulerState(term, lease_s, lease_limit_s, wall_offset_s)
        self._pending_changes: Changes | None = None
        self._pending_phases: dict[str, str] = {}
        self._unstored_jobs: set[str] = set()
        self._storable_ends: dict[str, tuple[int, int]] = {}

    def begin_term(self, term: int) -> None:
        """Continue in a new term, whose calls make executors refuse those of the term before."""
        self.state.term = term
        self.state.first_epoch += 1
        for executor in self.state.executors.values():
            executor.calls.epoch += 1

    def limit_leases(self, end_by: float) -> None:
        """Let no lease that is given from now on end after a time on the event loop's clock."""
        self.state.leases_end_by = end_by

    def note_suspension(self, now: float, suspended_s: float) -> None:
        """Note the total time for which the machine was suspended, in seconds."""
        note_suspension(self.state, now, suspended_s)

    def apply(self, event: Any, now: float) -> list[Effect]:
        """Reduce one event and return its effects."""
        self.state.now = now
        self.state.created_at = min(now, self.state.created_at)
        for handler in EVENT_HANDLERS[type(event)]:
            handler(self.state, event)
        if isinstance(event, Committed):
            self._finish_changes()
        if isinstance(event, HoldAnswered) and self._unstored_jobs:
            self._find_storable_ends(event)
        return self._take_effects()

    def place(self, now: float) -> list[Effect]:
        """Place waiting tasks that fit and return the effects."""
        self.state.now = now
        place_work(self.state)
        return self._take_effects()

    def take_changes(self) -> Changes | None:
        """Return the changes to store now, or None; apply `Committed` once they are stored."""
        if self._pending_changes is not None:
            return None
        state = self.state
        dirty = [job for job in state.jobs.values() if job.is_dirty]
        read_ends = {
            e.id: (e.born_ms, self._get_last_storable_end(e))
            for e in state.executors.values()
            if self._get_last_storable_end(e) > e.last_seen
        }
        withdrawals = {
            e.id: (e.born_ms, set(e.unstored_withdrawals))
            for e in state.executors.values()
            if e.unstored_withdrawals and not self._unstored_jobs
        }
        if not dirty and not read_ends and not withdrawals and not state.is_roster_dirty:
            return None
        roster = None
        if state.is_roster_dirty:
            roster = [(e.id, e.reached_at or e.entry.address) for e in state.executors.values()]
            state.is_roster_dirty = False
        for job in dirty:
            job.is_dirty = False
        self._pending_phases = {job.definition.id: job.progress.phase for job in dirty}
        self._pending_changes = Changes(dirty, roster, read_ends, withdrawals)
        return self._pending_changes

    @property
    def is_storing(self) -> bool:
        """Return whether changes are being stored."""
        return self._pending_changes is not None

    def has_changes(self) -> bool:
        """Return whether changes are being stored or a changed job is still to be stored."""
        return self.is_storing or any(job.is_dirty for job in self.state.jobs.values())

    def mark_changes_dirty(self) -> None:
        """Mark changes that could not be stored as dirty again, so that they are retried."""
        if self._pending_changes is None:
            return
        for job in self._pending_changes.jobs:
            job.is_dirty = True
        if self._pending_changes.roster is not None:
            self.state.is_roster_dirty = True
        self._pending_changes = None

    def _finish_changes(self) -> None:
        """Show the stored phases and acknowledge the stored ends."""
        changes = self._pending_changes
        if changes is None:
            return
        self._pending_changes = None
        for job in changes.jobs:
            if job.definition.id in changes.left_out:
                continue
            self._unstored_jobs.discard(job.definition.id)
            phase = self._pending_phases[job.definition.id]
            if phase in FINAL_PHASES:
                self._show_final_phase(job, phase)
        self._leave_out_jobs(changes)
        for executor_id, (born_ms, number) in changes.read_ends.items():
            executor = self.state.executors.get(executor_id)
            if executor is not None and executor.born_ms == born_ms:
                executor.last_seen = max(executor.last_seen, number)
                executor.next_hold_at = self.state.now
        for executor_id, (born_ms, numbers) in changes.withdrawals.items():
            executor = self.state.executors.get(executor_id)
            if executor is not None and executor.born_ms == born_ms:
                executor.unstored_withdrawals -= numbers
        if changes.roster is not None:
            for executor_id, address in changes.roster:
                executor = self.state.executors.get(executor_id)
                if executor is not None:
                    executor.is_in_stored_roster = executor.reached_at in ("", address)

    def _leave_out_jobs(self, changes: Changes) -> None:
        """Acknowledge no ends of jobs that are not stored, as a later owner would not know them.

        Which ends these are is seen once they are listed again. Each job is tried again with its
        next change.
        """
        for job_id, reason in changes.left_out.items():
            if job_id in self._unstored_jobs:
                continue
            self._unstored_jobs.add(job_id)
            self._storable_ends.clear()
            changes.read_ends.clear()
            self.state.log_decision("job_not_storable", job=job_id, reason=reason)
        if self._unstored_jobs:
            changes.withdrawals.clear()

    def _find_storable_ends(self, event: HoldAnswered) -> None:
        """Note the last end that an executor lists before any of a job that is not stored."""
        last = event.last_seen
        for end in sorted(event.report.ended, key=lambda end: end.number):
            if parse_job_id(end.task) in self._unstored_jobs:
                break
            last = end.number
        self._storable_ends[event.executor] = (event.report.born_ms, last)

    def _get_last_storable_end(self, executor: ExecutorState) -> int:
        """Return the number of the last end that may be acknowledged once changes are stored."""
        last = get_last_attributed_end(executor)
        if not self._unstored_jobs:
            return last
        born_ms, number = self._storable_ends.get(executor.id, (executor.born_ms, 0))
        return min(last, number) if born_ms == executor.born_ms else 0

    def _show_final_phase(self, job: JobRun, phase: str) -> None:
        """Show a stored final phase to callers, and log it if the storage took long."""
        job.shown_phase = phase
        stored_after_s = self.state.now - (job.ended_at or self.state.now)
        if stored_after_s > LATE_STORAGE_S:
            self.state.log_decision(
                "job_shown_late", job=job.definition.id, after_s=round(stored_after_s, 3)
            )

    def _take_effects(self) -> list[Effect]:
        """Return and clear the collected effects."""
        effects, self.state.effects = self.state.effects, []
        return effects


@handles(Committed)
def handle_committed(state: Any, event: Committed) -> None:
    """Do nothing; `Scheduler.apply` itself finishes the changes after this event."""
