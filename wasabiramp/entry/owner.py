"""Owner of a placement domain: runs the scheduler, executes its effects, stores its changes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
import math
from typing import Any, Final

from wasabiramp.core.records import DecodeError
from wasabiramp.entry.advisers import AdviserPool
from wasabiramp.entry.authority import Authority
from wasabiramp.entry.dispatcher import Dispatcher
from wasabiramp.entry.invalid_inputs import InvalidInputs
from wasabiramp.entry.journal import Journal
from wasabiramp.entry.keys import (
    KEY_TERM,
    PREFIX_JOB,
    build_job_key,
    build_progress_key,
)
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.membership import Tenure
from wasabiramp.entry.peers import LATER, OK, EndTenure, PeerAnswer, Peers
from wasabiramp.entry.ports import (
    Codec,
    Executors,
    Item,
    NoAnswerError,
    Store,
    StoreRefusedError,
    StoreUnknownError,
    WasabirampError,
)
from wasabiramp.entry.shards import choose_shards
from wasabiramp.entry.supervision import async_keep_running, async_log_failure
from wasabiramp.entry.watcher import PrefixWatcher
from wasabiramp.logs import log_event, log_failure
from wasabiramp.metrics import Metrics
from wasabiramp.policy.switches import do_nothing, switchable
from wasabiramp.scheduling.effects import (
    Effect,
    GiveUpOwnership,
    NoteDecision,
)
from wasabiramp.scheduling.events import (
    Committed,
    ConfigChanged,
    ExecutorEntryInvalid,
    ExecutorListed,
    ExecutorUnlisted,
    JobAccepted,
    JobsRecovered,
    JobUnreadable,
    PredecessorEnded,
    StoredJob,
    TimePassed,
)
from wasabiramp.scheduling.leases import (
    calculate_long_leases_end,
    convert_lease_s,
    get_predecessor_wait_s,
)
from wasabiramp.scheduling.model import (
    FINAL_PHASES,
    PENDING,
    VOID,
    CellConfig,
    JobDefinition,
)
from wasabiramp.scheduling.placement import summarize_queues
from wasabiramp.scheduling.records import (
    decode_definition,
    decode_progress,
)
from wasabiramp.scheduling.scheduler import Changes, Scheduler

TICK_INTERVAL_S: Final = 0.05
"""Interval of time-driven checks; events are handled at once."""

PLACEMENT_DELAY_S: Final = 0.002
"""Delay of a placement pass after an event, so that events arriving together share one pass."""

PLACEMENT_REST_FACTOR: Final = 3.0
"""Rest after a placement pass, as a multiple of its duration: 3 limits placement to a quarter
of the daemon's time."""

COMMIT_INTERVAL_S: Final = 0.02
"""Minimum time between two commits, so that jobs ending together share one call."""

RETRY_DELAY_S: Final = 0.2
"""Delay after a failed call to the store."""

JOBS_WATCH_TIMEOUT_S: Final = 2.0
JOBS_BATCH_DELAY_S: Final = 0.2
"""Timeout of a watch of the stored jobs, and delay between two watches.

Most jobs are announced, so finding the others may take longer.
"""

REMOVAL_INTERVAL_S: Final = 4.0
"""Interval at which expired records of ended jobs are removed."""

RUN_LEASE_S: Final = 3.5
"""Lease of runs: outlasts a takeover, and lets the work of an unreachable executor restart soon."""

RETENTION_FACTOR: Final = 1.5
"""Retention of ended jobs, as a multiple of the time for which callers may query them."""

MAX_JOB_AGE_S: Final = 3600.0
"""Upper bound on a job's age for ordering; greater ages may come from a wrong clock."""

QUEUE_SUMMARY_INTERVAL_S: Final = 5.0
"""Interval of the log lines with the state of each queue."""

MAX_UNCHECKED_PAUSE_S: Final = 0.8
"""After a longer pause of the process, the term is checked in the store before any placement
or start."""

OVERLOAD_LAG_S: Final = 0.25
OVERLOAD_DURATION_S: Final = 1.0
"""Event loop lag, and how long it lasts, from which the owner resigns.

An owner with such a lag delays all work. A single pause is over sooner.
"""

MIN_TENURE_S: Final = 5.0
"""Minimum time from the start of ownership, or from an earlier resignation, to a resignation.

It prevents constant changes of owner while all daemons are slow and none would do better.
"""

END_TENURE_TIMEOUT_S: Final = 0.3
"""Timeout of the question to the owner of the term before, which answers at once."""

MAX_PROOF_AGE_S: Final = 0.5
"""Age of the last proof of the term from which the term is read, as commits may be rare."""

PROOF_INTERVAL_S: Final = 0.25
MAX_CONCURRENT_PROOFS: Final = 8
"""Interval of reads of the term while they have no answer, and their limit."""

UNPROVEN_LOG_AGE_S: Final = 1.5
"""Age of the last proof of the term from which it is logged; a slow store answers sooner."""

TENURE_POLL_INTERVAL_S: Final = 0.01
"""Interval at which a delayed start polls whether the tenure has been checked."""


@switchable("commit-batch", "store ends that come together by one commit", plain=lambda: 0.0)
def get_commit_interval_s() -> float:
    """Return the minimum time between two commits."""
    return COMMIT_INTERVAL_S


FLUSH_POLL_INTERVAL_S: Final = 0.01
"""Interval at which a flush polls whether all orders are answered and all changes stored."""


class OwnerStoppedError(WasabirampError):
    """The owner has stopped, so what was awaited from it will not happen."""


class Owner:
    """Acts for the domain during one or more terms in a row."""

    def __init__(
        self,
        tenure: Tenure,
        store: Store,
        executors: Executors,
        advisers: AdviserPool,
        peers: Peers,
        codec: Codec,
        metrics: Metrics,
        lease_limit_s: float,
        status_s: float,
        link_mbps: float,
        store_value_bytes: int,
        on_tenure_lost: Callable[[str], None],
        on_overload: Callable[[], None],
        lag: LoopLag,
        read_wall: Callable[[], float],
        read_uptime: Callable[[], float],
    ) -> None:
        """Prepare the owner; nothing is sent before `start`.

        `lease_limit_s` is the longest lease that executors accept, `status_s` the time for which
        callers may query ended jobs, and `store_value_bytes` the greatest length of a value in the
        store. `read_uptime` returns seconds that also count while the
        machine is suspended, which the loop's clock does not.
        """
        self.tenure = tenure
        self._store = store
        shards = choose_shards(link_mbps)
        self._journal = Journal(store, tenure, on_tenure_lost, store_value_bytes, shards)
        self._peers = peers
        self._codec = codec
        self._metrics = metrics
        self._on_tenure_lost = on_tenure_lost
        self._loop = asyncio.get_running_loop()
        self._lease_s = min(RUN_LEASE_S, lease_limit_s)
        self._on_overload = on_overload
        self._lag = lag
        self._min_tenure_from = self._loop.time()
        self._overloaded_since: float | None = None
        self._read_wall = read_wall
        self._read_uptime = read_uptime
        self.authority = Authority(read_uptime, tenure.claimed_at)
        self._is_unproven = False
        self._predecessor_ended_at: float | None = None
        self._proofs: set[asyncio.Task[None]] = set()
        self._retention_s = status_s * RETENTION_FACTOR
        self._removal_due_at: dict[str, float] = {}
        offset_s = read_wall() - self._loop.time()
        self.scheduler = Scheduler(tenure.term, self._lease_s, lease_limit_s, offset_s)
        self._invalid_entries = InvalidInputs("executor_entry_invalid")
        self._unused_keys: set[str] = set()
        self._executors_watcher = PrefixWatcher(
            store, codec.executors_prefix, 1.0, self._handle_executor_entry
        )
        self._jobs_watcher = PrefixWatcher(
            store, PREFIX_JOB, JOBS_WATCH_TIMEOUT_S, self._handle_stored_job, JOBS_BATCH_DELAY_S
        )
        self._tasks: set[asyncio.Task[Any]] = set()
        self._dispatcher = Dispatcher(
            executors,
            advisers,
            metrics,
            self._spawn,
            self._reduce,
            lambda: self.tenure.fencing_token,
            self._async_wait_for_tenure,
            lag,
        )
        self._placement_timer: asyncio.TimerHandle | None = None
        self._next_placement_at = 0.0
        self._commit_requested = asyncio.Event()
        self._committed = asyncio.Event()
        self._commit_count = 0
        self._is_stopped = False
        self._is_placement_enabled = True
        self._last_tick_at = read_uptime()
        self.is_recovered = False
        self._next_summary_at = 0.0
        self._next_removal_at = self._loop.time() + REMOVAL_INTERVAL_S

    def start(self, config: CellConfig) -> None:
        """Recover the stored state, then begin to schedule."""
        self._reduce(ConfigChanged(config))
        self._spawn(self._async_run_or_give_up())

    def stop(self) -> None:
        """Stop all tasks, send nothing more, and end all waits with OwnerStoppedError."""
        self._is_stopped = True
        self._journal.stop()
        self._committed.set()
        for task in self._tasks:
            task.cancel()
        if self._placement_timer is not None:
            self._placement_timer.cancel()

    def continue_tenure(self, tenure: Tenure) -> None:
        """Continue as the owner in a new term."""
        self.tenure = self._journal.tenure = tenure
        self.authority.confirm(tenure.claimed_at)
        self.scheduler.begin_term(tenure.term)
        self._commit_requested.set()

    def disable_placement(self) -> None:
        """Start no further tasks; answers are still handled and stored."""
        self._is_placement_enabled = False

    async def async_flush(self) -> None:
        """Wait until all orders are answered and the resulting changes are stored.

        Raise OwnerStoppedError if the owner stops meanwhile.
        """
        while not self._dispatcher.orders.is_idle:
            self._check_running()
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)
        self._commit_requested.set()
        while self.scheduler.has_changes():
            self._check_running()
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    def _check_running(self) -> None:
        """Raise OwnerStoppedError if this owner has stopped; each wait checks it when it wakes."""
        if self._is_stopped:
            raise OwnerStoppedError("the owner has stopped")

    def apply_config(self, config: CellConfig) -> None:
        """Apply a newer configuration."""
        self._reduce(ConfigChanged(config))
        self._list_unused_executors()

    def add_stored_job(
        self,
        definition: JobDefinition,
        revision: int,
        is_first: bool = False,
        is_found: bool = False,
    ) -> None:
        """Add a job that a daemon stored at the given revision.

        `is_first` is set if the job was not announced to any owner before, and `is_found` if it was
        not announced at all.
        """
        stored = StoredJob(definition, self._compute_accepted_at(definition), revision)
        is_new = is_first and revision > self.tenure.fencing_token
        is_new_service = definition.queue.service not in self.scheduler.state.job_services
        self._reduce(JobAccepted(stored, is_new, is_found))
        if is_new_service:
            self._list_unused_executors()

    def add_encoded_job(
        self, data: bytes, revision: int, is_first: bool = False, is_found: bool = False
    ) -> bool:
        """Add a stored job from its record; return whether the record could be decoded."""
        try:
            definition = decode_definition(data)
            if type(revision) is not int:
                raise DecodeError("revision: expected a whole number")
        except DecodeError as err:
            log_event("job_unreadable", revision=revision, error=err)
            return False
        self.add_stored_job(definition, revision, is_first, is_found)
        return True

    def _compute_accepted_at(self, definition: JobDefinition) -> float:
        """Return the time at which a job was accepted, on the loop's clock."""
        age_s = max(0.0, self._read_wall() - definition.accepted_ms / 1000)
        return self._loop.time() - min(age_s, MAX_JOB_AGE_S)

    def apply_event(self, event: Any) -> None:
        """Apply an event that a caller requested, such as a cancellation."""
        self._reduce(event)

    async def async_wait_stored(self) -> None:
        """Wait until all current changes are stored, or a commit of them has failed.

        Raise OwnerStoppedError if the owner stops meanwhile.
        """
        if not self.scheduler.has_changes():
            return
        # A commit in progress may lack the newest change; the commit after it contains it.
        target = self._commit_count + (2 if self.scheduler.is_storing else 1)
        self._commit_requested.set()
        while self._commit_count < target and self.scheduler.has_changes():
            self._check_running()
            self._committed.clear()
            await self._committed.wait()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until the owner stops; an unexpected error ends only this coroutine."""
        task = self._loop.create_task(async_log_failure(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reduce(self, event: Any) -> None:
        """Reduce an event, execute its effects, and schedule a placement pass."""
        if self._is_stopped:
            return
        self._limit_leases()
        self._execute_effects(self.scheduler.apply(event, self._loop.time()))
        self._commit_requested.set()
        if self._placement_timer is None:
            place_at = max(self._next_placement_at, self._loop.time() + PLACEMENT_DELAY_S)
            self._placement_timer = self._loop.call_at(place_at, self._place)

    def _limit_leases(self) -> None:
        """Let no lease end later than the last proof allows; note if the machine was suspended."""
        now = self._loop.time()
        self.scheduler.note_suspension(now, self._read_uptime() - now)
        self.scheduler.limit_leases(now + self.authority.get_left_s())

    def _place(self) -> None:
        """Run a placement pass; a skipped one is scheduled again by the next event or tick."""
        self._placement_timer = None
        if self._is_stopped or not self.is_recovered or not self._is_placement_enabled:
            return
        if self._has_paused() or self._dispatcher.orders.has_backlog:
            return
        self._limit_leases()
        started_at = self._loop.time()
        self._execute_effects(self.scheduler.place(started_at))
        took_s = self._loop.time() - started_at
        self._next_placement_at = started_at + took_s * (1 + PLACEMENT_REST_FACTOR)
        self._metrics.record_value("place_seconds", took_s, {})

    def _has_paused(self) -> bool:
        """Return whether the process paused for long enough for another daemon to take over."""
        return self._read_uptime() - self._last_tick_at > MAX_UNCHECKED_PAUSE_S

    def _execute_effects(self, effects: list[Effect]) -> None:
        """Execute effects; each call runs in its own task."""
        for effect in effects:
            if self._is_stopped:
                return
            if isinstance(effect, NoteDecision):
                log_event(effect.event, **effect.fields)
                self._metrics.record_value("decisions", effect.count, {"event": effect.event})
            elif isinstance(effect, GiveUpOwnership):
                self._on_tenure_lost(effect.reason)
            else:
                self._dispatcher.send(effect)

    async def _async_wait_for_tenure(self) -> None:
        """Delay a start after a pause of the process until the tenure has been checked."""
        while self._has_paused():
            await asyncio.sleep(TENURE_POLL_INTERVAL_S)

    def _handle_executor_entry(self, key: str, item: Item | None) -> None:
        """Handle a change of an executor's entry."""
        executor_id = self._codec.parse_executor_id(key)
        self._unused_keys.discard(key)
        if item is None:
            self._invalid_entries.remove(key)
            self._reduce(ExecutorUnlisted(executor_id))
            return
        try:
            entry = self._codec.decode_executor(key, item.value)
            if not self.scheduler.state.has_use_for(entry):
                self._unused_keys.add(key)
                raise DecodeError("service: expected one that the configuration or a job names")
        except DecodeError as err:
            if self._invalid_entries.add(key, err):
                self._reduce(ExecutorEntryInvalid(executor_id))
            return
        self._invalid_entries.remove(key)
        self._reduce(ExecutorListed(entry))

    def _list_unused_executors(self) -> None:
        """Handle the entries of services that were not named again, as one may be named now."""
        for key in list(self._unused_keys):
            self._handle_executor_entry(key, self._executors_watcher.items.get(key))

    async def _async_run_or_give_up(self) -> None:
        """Run the owner; give up ownership if an unexpected error prevents recovery."""
        try:
            await self._async_run()
        except Exception:
            log_failure("recovery_failed")
            self._on_tenure_lost("recovery failed")

    async def _async_run(self) -> None:
        """Recover the stored state, wait for the list of executors, then run the loops."""
        started_at = self._loop.time()
        self._spawn(async_keep_running("proofs", self._async_prove_loop))
        self._spawn(self._async_end_predecessor())
        while not await self._async_recover():
            await asyncio.sleep(RETRY_DELAY_S)
        self._spawn(async_keep_running("executors", self._executors_watcher.async_run))
        self._spawn(async_keep_running("stored jobs", self._jobs_watcher.async_run))
        self._spawn(async_keep_running("commits", self._async_commit_loop))
        await self._executors_watcher.synced.wait()
        self.is_recovered = True
        self._metrics.record_value("recovery_seconds", self._loop.time() - started_at, {})
        log_event("owner_ready", term=self.tenure.term, took_s=self._loop.time() - started_at)
        self._spawn(async_keep_running("ticks", self._async_tick))

    async def _async_recover(self) -> bool:
        """Restore the state that an earlier owner stored; return whether it could be read."""
        stored_state = await self._journal.async_read()
        if stored_state is None:
            return False
        removal_due_at = self._loop.time() + self._retention_s
        self._removal_due_at = dict.fromkeys(stored_state.ended, removal_due_at)
        stored = [
            StoredJob(job, self._compute_accepted_at(job), revision, progress)
            for job, revision, progress in stored_state.jobs
        ]
        lease_left_s = self._measure_predecessor_lease_s()
        self._reduce(
            JobsRecovered(
                stored,
                stored_state.roster,
                lease_left_s,
                stored_state.as_of,
                stored_state.ended,
                stored_state.unreadable,
                self.tenure.fencing_token,
                stored_state.is_roster_complete,
            )
        )
        self._jobs_watcher.start_after(stored_state.as_of)
        return True

    def _measure_predecessor_lease_s(self) -> float:
        """Return the longest time for which leases of earlier owners may still last."""
        now = self._read_uptime()
        wait_s = get_predecessor_wait_s(self.scheduler.state.lease_limit_s)
        left_s = wait_s - max(0.0, now - self.tenure.begun_at)
        if self._predecessor_ended_at is not None:
            left_s = min(left_s, convert_lease_s(self._lease_s) - now + self._predecessor_ended_at)
        return max(0.0, left_s)

    async def _async_end_predecessor(self) -> None:
        """Ask the owner of the term before to end, until it answers or the recovery is over."""
        address, term = self.tenure.predecessor_address, self.tenure.term - 1
        while address and not self.has_heard_all():
            try:
                answer = await self._peers.async_call(
                    address, EndTenure(term), END_TENURE_TIMEOUT_S
                )
            except NoAnswerError:
                answer = PeerAnswer(LATER)
            if answer.outcome == LATER:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if answer.outcome == OK:
                self._predecessor_ended_at = self._read_uptime()
                self._reduce(PredecessorEnded(self._measure_predecessor_lease_s()))
            return

    def get_usual_leases_from(self) -> float:
        """Return the time from which no lease lasts longer than a usual one that is given then.

        Executors that answered this owner may still have a lease of an earlier one.
        """
        return calculate_long_leases_end(self.scheduler.state) - convert_lease_s(self._lease_s)

    def has_heard_all(self) -> bool:
        """Return whether it is known of all executors what earlier owners left on them."""
        return self.is_recovered and not self.scheduler.state.is_recovering

    async def _async_tick(self) -> None:
        """Run the time-driven checks."""
        self._last_tick_at = self._read_uptime()
        while True:
            if self._has_paused():
                log_event("loop_stood_still", pause_s=self._read_uptime() - self._last_tick_at)
                await self._async_check_tenure()
            self._last_tick_at = self._read_uptime()
            self._log_authority()
            self._reduce(TimePassed(self._measure_list_age_s(), self._get_jobs_confirmed_at()))
            now = self._loop.time()
            self._check_overload(now)
            if now >= self._next_removal_at:
                self._next_removal_at = now + REMOVAL_INTERVAL_S
                self._spawn(self._async_remove_ended_jobs())
            if now >= self._next_summary_at:
                self._next_summary_at = now + QUEUE_SUMMARY_INTERVAL_S
                for summary in summarize_queues(self.scheduler.state):
                    log_event("queue_state", **summary)
            await asyncio.sleep(TICK_INTERVAL_S)

    def _measure_list_age_s(self) -> float:
        """Return the time since the list of executors was known to be complete."""
        confirmed_at = self._executors_watcher.confirmed_at
        return self._loop.time() - confirmed_at if confirmed_at is not None else 0.0

    def _get_jobs_confirmed_at(self) -> float:
        """Return the time up to which all stored jobs are known."""
        confirmed_at = self._jobs_watcher.confirmed_at
        return confirmed_at if confirmed_at is not None else -math.inf

    @switchable("resigning", "resign as the owner while the machine is slow", plain=do_nothing)
    def _check_overload(self, now: float) -> None:
        """Resign if the event loop lags for long, as on a machine that has become slow."""
        if self._lag.value_s < OVERLOAD_LAG_S:
            self._overloaded_since = None
            return
        if self._overloaded_since is None:
            self._overloaded_since = now
        lagging_for_s = now - self._overloaded_since
        if lagging_for_s < OVERLOAD_DURATION_S or now - self._min_tenure_from < MIN_TENURE_S:
            return
        log_event("owner_overloaded", lag_s=round(self._lag.value_s, 3), late_for_s=lagging_for_s)
        self._min_tenure_from = now
        self._on_overload()

    def _log_authority(self) -> None:
        """Log when the term was not proven for some time, and when it is again."""
        age_s = round(self.authority.get_age_s(), 3)
        is_unproven = age_s > UNPROVEN_LOG_AGE_S
        if is_unproven == self._is_unproven:
            return
        self._is_unproven = is_unproven
        left_s = round(self.authority.get_left_s(), 3)
        event = "term_unproven" if is_unproven else "term_proven"
        log_event(event, term=self.tenure.term, age_s=age_s, left_s=left_s)

    async def _async_prove_loop(self) -> None:
        """Read the term whenever nothing else has proven it; reads overlap while unanswered."""
        while True:
            is_old = self.authority.get_age_s() > MAX_PROOF_AGE_S
            if is_old and len(self._proofs) < MAX_CONCURRENT_PROOFS:
                proof = self._loop.create_task(async_log_failure(self._async_check_tenure()))
                self._proofs.add(proof)
                proof.add_done_callback(self._proofs.discard)
                self._tasks.add(proof)
                proof.add_done_callback(self._tasks.discard)
            await asyncio.sleep(PROOF_INTERVAL_S)

    async def _async_check_tenure(self) -> None:
        """Check in the store whether another daemon took over; without an answer, continue."""
        sent_at, fencing_token = self.authority.read_now(), self.tenure.fencing_token
        try:
            item = await self._store.async_get(KEY_TERM)
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("tenure_check_failed", error=err)
            return
        if item is None or item.revision > self.tenure.fencing_token:
            self._on_tenure_lost("another daemon claimed a term")
        elif item.revision == fencing_token:
            self.authority.confirm(sent_at)

    def _handle_stored_job(self, key: str, item: Item | None) -> None:
        """Add a stored job that was not announced."""
        job_id = key.removeprefix(PREFIX_JOB)
        if item is None or job_id in self.scheduler.state.jobs:
            return
        if self.add_encoded_job(item.value, item.revision, is_found=True):
            log_event("job_found", job=job_id)
        else:
            self._reduce(JobUnreadable(job_id))

    async def _async_commit_loop(self) -> None:
        """Store changes one batch at a time."""
        self.scheduler.mark_changes_dirty()
        while True:
            await self._commit_requested.wait()
            self._commit_requested.clear()
            changes = self.scheduler.take_changes()
            if changes is None:
                continue
            sent_at = self.authority.read_now()
            if await self._journal.async_store(changes):
                if not changes.is_empty:
                    self.authority.confirm(sent_at)
                self._reduce(Committed())
                self._schedule_removals(changes)
            else:
                self.scheduler.mark_changes_dirty()
                self._commit_requested.set()
                await asyncio.sleep(RETRY_DELAY_S)
            self._commit_count += 1
            self._committed.set()
            await asyncio.sleep(get_commit_interval_s())

    def _schedule_removals(self, changes: Changes) -> None:
        """Set the time at which the records of ended jobs may be removed."""
        removal_due_at = self._loop.time() + self._retention_s
        for job in changes.jobs:
            if job.shown_phase in FINAL_PHASES:
                self._removal_due_at[job.definition.id] = removal_due_at

    async def _async_remove_ended_jobs(self) -> None:
        """Remove ended jobs whose retention has expired."""
        now = self._loop.time()
        due = [job_id for job_id, at in self._removal_due_at.items() if at <= now]
        for job_id in [job_id for job_id in due if self._is_live(job_id)]:
            due.remove(job_id)
            del self._removal_due_at[job_id]
        for job_id in await self._journal.async_remove_records(due):
            self._removal_due_at.pop(job_id, None)
            self.scheduler.state.jobs.pop(job_id, None)
            self.scheduler.state.ended_jobs.discard(job_id)

    def _is_live(self, job_id: str) -> bool:
        """Return whether a job is known whose end is not stored.

        Such a job was stored after a cancel that had no answer.
        """
        job = self.scheduler.state.jobs.get(job_id)
        return job is not None and job.shown_phase not in FINAL_PHASES

    async def async_void_job(self, job_id: str) -> str:
        """Keep an unknown job from being stored; return `VOID`, or its phase if it is stored.

        The phase is empty if the outcome is not known.
        """
        # Also without an answer, as the record may be stored all the same.
        self._removal_due_at.setdefault(job_id, self._loop.time() + self._retention_s)
        try:
            found = await self._journal.async_void(job_id)
        except (StoreRefusedError, StoreUnknownError) as err:
            self._check_running()
            log_event("job_not_voided", job=job_id, error=err)
            return ""
        self._check_running()
        if not found:
            log_event("job_voided", job=job_id)
            return VOID
        return self._adopt_stored_job(job_id, found)

    def _adopt_stored_job(self, job_id: str, found: dict[str, Item]) -> str:
        """Add a stored job that was not known; return its phase, empty if that is unknown."""
        definition = found.get(build_job_key(job_id))
        if definition is not None:
            self._removal_due_at.pop(job_id, None)
            self.add_encoded_job(definition.value, definition.revision)
            return self.find_phase(job_id) or ""
        try:
            return decode_progress(found[build_progress_key(job_id)].value).phase
        except DecodeError as err:
            log_event("job_unreadable", job=job_id, error=err)
            return ""

    def find_phase(self, job_id: str) -> str | None:
        """Return the phase that callers may see, or None for an unknown job."""
        job = self.scheduler.state.jobs.get(job_id)
        return job.find_phase() if job is not None else None

    def is_storing_end(self, job_id: str) -> bool:
        """Return whether a job has ended but its end is not confirmed as stored."""
        job = self.scheduler.state.jobs.get(job_id)
        return job is not None and job.is_ended and job.shown_phase not in FINAL_PHASES

    def has_unconfirmed_end(self, job_id: str) -> bool:
        """Return whether a job's end may be stored already by a commit without an answer."""
        return self._journal.has_unanswered_commit and self.is_storing_end(job_id)

    def count_waiting(self) -> dict[str, int]:
        """Return the number of jobs without a started task, by queue."""
        return dict(
            Counter(
                job.definition.queue.name
                for job in self.scheduler.state.jobs.values()
                if not job.is_ended and job.find_phase() == PENDING
            )
        )
