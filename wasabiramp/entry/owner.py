"""The owner of the domain: runs the scheduler, carries out its effects, stores its changes."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any, Final

from wasabiramp.core.records import DecodeError
from wasabiramp.entry.advisers import AdviserPool
from wasabiramp.entry.dispatcher import Dispatcher
from wasabiramp.entry.follow import Follower
from wasabiramp.entry.journal import Journal
from wasabiramp.entry.keys import (
    KEY_TERM,
    PREFIX_JOB,
)
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.membership import Tenure
from wasabiramp.entry.ports import (
    Codec,
    Executors,
    Item,
    Store,
    StoreRefusedError,
    StoreUnknownError,
)
from wasabiramp.entry.shards import choose_shards
from wasabiramp.entry.supervision import async_keep_running, async_log_failure
from wasabiramp.logs import log_event, log_failure
from wasabiramp.metrics import Metrics
from wasabiramp.scheduling.effects import (
    Effect,
    GiveUpOwnership,
    NoteDecision,
)
from wasabiramp.scheduling.events import (
    Committed,
    ConfigChanged,
    ExecutorListed,
    ExecutorUnlisted,
    JobAccepted,
    JobsRecovered,
    StoredJob,
    TimePassed,
)
from wasabiramp.scheduling.model import (
    FINAL_PHASES,
    PENDING,
    CellConfig,
    JobDefinition,
)
from wasabiramp.scheduling.orders import LEASE_EXPIRY_MARGIN_S
from wasabiramp.scheduling.placement import summarize_queues
from wasabiramp.scheduling.records import (
    decode_definition,
)
from wasabiramp.scheduling.scheduler import Changes, Scheduler

TICK_S: Final = 0.05
"""Interval of the checks that wait for time alone; decisions on events do not wait for it."""

PLACE_PAUSE_S: Final = 0.002
"""Events that come together are decided on together."""

PLACE_REST: Final = 3.0
"""Decisions take at most a quarter of the daemon's time: each rests three times its own."""

COMMIT_PAUSE_S: Final = 0.02
"""Least time between two commits: ends that come together cost one call."""

RETRY_S: Final = 0.2
"""Pause after a call to the store that failed."""

JOBS_WATCH_S: Final = 2.0
JOBS_GATHER_S: Final = 0.2
"""How long a watch of the stored jobs waits, and the pause between two: most are announced."""

FORGET_S: Final = 4.0
"""Interval at which jobs that were over for long are removed."""

LEASE_S: Final = 3.5
"""Lease given to runs: above a takeover, low enough to go on soon where an executor is cut off."""

LEASE_TOLERANCE: Final = 1.05
"""Factor for an earlier owner's leases on clocks slower than ours, with the time to lapse."""

KEEP_FACTOR: Final = 1.5
"""Jobs that are over are kept for longer than callers may ask for them, by this factor."""

OLDEST_JOB_S: Final = 3600.0
"""Ages above this make no difference to the order, and may come from a clock that is wrong."""

SUMMARY_S: Final = 5.0
"""Interval of the log lines that show what waits in each queue."""

PAUSED_S: Final = 0.8
"""A loop that stood still for this long asks the store before it orders anything."""

OVERLOAD_LAG_S: Final = 0.25
OVERLOAD_S: Final = 1.0
"""An owner that is this late for this long holds up all work; a single pause is over sooner."""

LEAST_TENURE_S: Final = 5.0
"""Least time between two such changes of owner: where all daemons are slow, none is better."""

PAUSE_POLL_S: Final = 0.01
"""Interval at which a held-back start looks whether the tenure has been checked."""


class Owner:
    """Acts for the domain during one or more terms in a row."""

    def __init__(
        self,
        tenure: Tenure,
        store: Store,
        executors: Executors,
        advisers: AdviserPool,
        codec: Codec,
        metrics: Metrics,
        lease_limit_s: float,
        status_s: float,
        link_mbps: float,
        on_loss: Callable[[str], None],
        on_overload: Callable[[], None],
        lag: LoopLag,
        read_wall: Callable[[], float],
        read_awake: Callable[[], float],
    ) -> None:
        """Prepare; nothing is sent before `start`.

        `read_awake` returns seconds that also count while the machine is suspended, which the
        loop's clock does not.
        """
        self.tenure = tenure
        self._store = store
        self._journal = Journal(store, tenure, on_loss, choose_shards(link_mbps))
        self._codec = codec
        self._metrics = metrics
        self._on_loss = on_loss
        self._loop = asyncio.get_running_loop()
        self._lease_s = min(LEASE_S, lease_limit_s)
        self._on_overload = on_overload
        self._lag = lag
        self._began_at = self._loop.time()
        self._overloaded_since: float | None = None
        self._read_wall = read_wall
        self._read_awake = read_awake
        self._keep_s = status_s * KEEP_FACTOR
        self._forget_at: dict[str, float] = {}
        offset_s = read_wall() - self._loop.time()
        self.scheduler = Scheduler(tenure.term, self._lease_s, lease_limit_s, offset_s)
        self._follower = Follower(store, codec.executors_prefix, 1.0, self._take_entry)
        self._jobs_follower = Follower(
            store, PREFIX_JOB, JOBS_WATCH_S, self._take_stored_job, JOBS_GATHER_S
        )
        self._tasks: set[asyncio.Task[Any]] = set()
        self._dispatcher = Dispatcher(
            executors,
            advisers,
            metrics,
            self._spawn,
            self._reduce,
            lambda: self.tenure.fence,
            self._async_await_tenure,
            lag,
        )
        self._place_timer: asyncio.TimerHandle | None = None
        self._place_at = 0.0
        self._commit_wake = asyncio.Event()
        self._committed = asyncio.Event()
        self._commit_count = 0
        self._is_stopped = False
        self._is_placing = True
        self._last_tick = read_awake()
        self.is_recovered = False
        self._summary_at = 0.0
        self._forget_next_at = self._loop.time() + FORGET_S

    def start(self, config: CellConfig) -> None:
        """Recover what is stored, then act."""
        self._reduce(ConfigChanged(config))
        self._spawn(self._async_begin_or_give_up())

    def stop(self) -> None:
        """Send nothing any more."""
        self._is_stopped = True
        self._journal.stop()
        for task in self._tasks:
            task.cancel()
        if self._place_timer is not None:
            self._place_timer.cancel()

    def renew(self, tenure: Tenure) -> None:
        """Go on in a new term."""
        self.tenure = self._journal.tenure = tenure
        self.scheduler.state.term = tenure.term
        self._commit_wake.set()

    def stop_placing(self) -> None:
        """Start nothing any more, while answers are still taken and stored."""
        self._is_placing = False

    async def async_flush(self) -> None:
        """Wait until all orders are answered, and what they changed is stored."""
        while not self._dispatcher.orders.is_idle:
            await asyncio.sleep(0.01)
        self._commit_wake.set()
        while self.scheduler.has_changes():
            await asyncio.sleep(0.01)

    def take_config(self, config: CellConfig) -> None:
        """Take a newer configuration."""
        self._reduce(ConfigChanged(config))

    def take_job(self, definition: JobDefinition, revision: int) -> None:
        """Take a job that a daemon stored at a revision of the store."""
        accepted_at = self._find_accepted(definition)
        self._reduce(JobAccepted(StoredJob(definition, accepted_at, revision)))

    def take_record(self, data: bytes, revision: int) -> bool:
        """Take a stored job from its record; tell whether that could be read."""
        try:
            definition = decode_definition(data)
        except DecodeError as err:
            log_event("job_unreadable", revision=revision, error=err)
            return False
        self.take_job(definition, revision)
        return True

    def _find_accepted(self, definition: JobDefinition) -> float:
        """Return when a job was accepted, on the loop's clock."""
        age_s = max(0.0, self._read_wall() - definition.accepted_ms / 1000)
        return self._loop.time() - min(age_s, OLDEST_JOB_S)

    def take_event(self, event: Any) -> None:
        """Reduce an event from a caller."""
        self._reduce(event)

    async def async_wait_stored(self) -> None:
        """Wait until all changes up to now are stored."""
        if not self.scheduler.has_changes():
            return
        # A commit that is under way may not hold the newest change; the one after it does.
        target = self._commit_count + (2 if self.scheduler.is_storing else 1)
        self._commit_wake.set()
        while self._commit_count < target and self.scheduler.has_changes():
            self._committed.clear()
            await self._committed.wait()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until the owner stops; an unexpected error ends just this one."""
        task = self._loop.create_task(async_log_failure(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reduce(self, event: Any) -> None:
        """Reduce an event, carry out its effects, and decide soon."""
        if self._is_stopped:
            return
        self._carry_out(self.scheduler.apply(event, self._loop.time()))
        self._commit_wake.set()
        if self._place_timer is None:
            at = max(self._place_at, self._loop.time() + PLACE_PAUSE_S)
            self._place_timer = self._loop.call_at(at, self._place)

    def _place(self) -> None:
        """Start what fits; the tick after a pause decides again."""
        self._place_timer = None
        if self._is_stopped or not self.is_recovered or not self._is_placing:
            return
        if self._has_stood_still() or self._dispatcher.orders.has_backlog:
            return
        started_at = self._loop.time()
        self._carry_out(self.scheduler.place(started_at))
        took_s = self._loop.time() - started_at
        self._place_at = started_at + took_s * (1 + PLACE_REST)
        self._metrics.note("place_seconds", took_s, {})

    def _has_stood_still(self) -> bool:
        """Tell whether the process paused for so long that another daemon may have taken over."""
        return self._read_awake() - self._last_tick > PAUSED_S

    def _carry_out(self, effects: list[Effect]) -> None:
        """Carry out effects; each call runs on its own."""
        for effect in effects:
            if self._is_stopped:
                return
            if isinstance(effect, NoteDecision):
                log_event(effect.event, **effect.fields)
                self._metrics.note("decisions", 1, {"event": effect.event})
            elif isinstance(effect, GiveUpOwnership):
                self._on_loss(effect.reason)
            else:
                self._dispatcher.send(effect)

    async def _async_await_tenure(self) -> None:
        """Hold a start back after a pause until the tenure has been checked."""
        while self._has_stood_still():
            await asyncio.sleep(PAUSE_POLL_S)

    def _take_entry(self, key: str, item: Item | None) -> None:
        """Take a change of the list of executors."""
        entry = self._codec.decode_executor(key, item.value) if item is not None else None
        if entry is not None:
            self._reduce(ExecutorListed(entry))
        elif item is None:
            self._reduce(ExecutorUnlisted(self._codec.name_executor(key)))
        else:
            log_event("executor_entry_unreadable", key=key, revision=item.revision)

    async def _async_begin_or_give_up(self) -> None:
        """Begin; where something unexpected prevents it, leave ownership to another try."""
        try:
            await self._async_begin()
        except Exception:
            log_failure("recovery_failed")
            self._on_loss("recovery failed")

    async def _async_begin(self) -> None:
        """Read what is stored, meet the executors, then run the loops."""
        began_at = self._loop.time()
        while not await self._async_recover():
            await asyncio.sleep(RETRY_S)
        self._spawn(async_keep_running("executors", self._follower.async_run))
        self._spawn(async_keep_running("stored jobs", self._jobs_follower.async_run))
        self._spawn(async_keep_running("commits", self._async_commit_loop))
        await self._follower.is_known.wait()
        self.is_recovered = True
        self._metrics.note("recovery_seconds", self._loop.time() - began_at, {})
        log_event("owner_ready", term=self.tenure.term, took_s=self._loop.time() - began_at)
        self._spawn(async_keep_running("ticks", self._async_tick))

    async def _async_recover(self) -> bool:
        """Take what an earlier owner stored; tell whether the store answered."""
        kept = await self._journal.async_read()
        if kept is None:
            return False
        forget_at = self._loop.time() + self._keep_s
        self._forget_at = dict.fromkeys(kept.ended, forget_at)
        stored = [
            StoredJob(job, self._find_accepted(job), revision, progress)
            for job, revision, progress in kept.jobs
        ]
        left_s = self._lease_s * LEASE_TOLERANCE + LEASE_EXPIRY_MARGIN_S
        self._reduce(JobsRecovered(stored, kept.roster, left_s, kept.as_of))
        self._jobs_follower.begin_after(kept.as_of)
        return True

    async def _async_tick(self) -> None:
        """Let time pass for the scheduler."""
        self._last_tick = self._read_awake()
        while True:
            if self._has_stood_still():
                log_event("loop_stood_still", pause_s=self._read_awake() - self._last_tick)
                await self._async_check_tenure()
            self._last_tick = self._read_awake()
            self._reduce(TimePassed())
            now = self._loop.time()
            self._watch_load(now)
            if now >= self._forget_next_at:
                self._forget_next_at = now + FORGET_S
                self._spawn(self._async_forget_jobs())
            if now >= self._summary_at:
                self._summary_at = now + SUMMARY_S
                for row in summarize_queues(self.scheduler.state):
                    log_event("queue_state", **row)
            await asyncio.sleep(TICK_S)

    def _watch_load(self, now: float) -> None:
        """Give up ownership where this process stays late: its machine may have turned slow."""
        if self._lag.value_s < OVERLOAD_LAG_S:
            self._overloaded_since = None
            return
        if self._overloaded_since is None:
            self._overloaded_since = now
        late_for_s = now - self._overloaded_since
        if late_for_s < OVERLOAD_S or now - self._began_at < LEAST_TENURE_S:
            return
        log_event("owner_overloaded", lag_s=round(self._lag.value_s, 3), late_for_s=late_for_s)
        self._began_at = now
        self._on_overload()

    async def _async_check_tenure(self) -> None:
        """Ask the store whether another daemon took over; without an answer, go on."""
        try:
            item = await self._store.async_get(KEY_TERM)
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("tenure_unchecked", error=err)
            return
        if item is None or item.revision > self.tenure.fence:
            self._on_loss("another daemon claimed a term while this one stood still")

    def _take_stored_job(self, key: str, item: Item | None) -> None:
        """Take a stored job that nobody announced."""
        job_id = key.removeprefix(PREFIX_JOB)
        if item is None or job_id in self.scheduler.state.jobs:
            return
        if self.take_record(item.value, item.revision):
            log_event("job_found", job=job_id)

    async def _async_commit_loop(self) -> None:
        """Store changes, one group after the other."""
        self.scheduler.mark_changes_dirty()
        while True:
            await self._commit_wake.wait()
            self._commit_wake.clear()
            changes = self.scheduler.take_changes()
            if changes is None:
                continue
            if await self._journal.async_store(changes):
                self._reduce(Committed())
                self._note_ended(changes)
            else:
                self.scheduler.mark_changes_dirty()
                self._commit_wake.set()
                await asyncio.sleep(RETRY_S)
            self._commit_count += 1
            self._committed.set()
            await asyncio.sleep(COMMIT_PAUSE_S)

    def _note_ended(self, changes: Changes) -> None:
        """Choose when the jobs that are over may be forgotten."""
        forget_at = self._loop.time() + self._keep_s
        for job in changes.jobs:
            if job.shown_phase in FINAL_PHASES:
                self._forget_at.setdefault(job.definition.id, forget_at)

    async def _async_forget_jobs(self) -> None:
        """Remove jobs that were over for so long that nobody may ask for them any more."""
        now = self._loop.time()
        due = [job_id for job_id, at in self._forget_at.items() if at <= now]
        for job_id in await self._journal.async_forget(due):
            del self._forget_at[job_id]
            self.scheduler.state.jobs.pop(job_id, None)

    def find_phase(self, job_id: str) -> str | None:
        """Return the phase that callers may be shown, or None for an unknown job."""
        job = self.scheduler.state.jobs.get(job_id)
        return job.find_phase() if job is not None else None

    def is_storing_end(self, job_id: str) -> bool:
        """Tell whether a job is over, but that is not known to be stored."""
        job = self.scheduler.state.jobs.get(job_id)
        return job is not None and job.is_ended and job.shown_phase not in FINAL_PHASES

    def may_be_shown_as_over(self, job_id: str) -> bool:
        """Tell whether a job's end may be in the store already, as a commit has no answer."""
        return self._journal.is_unanswered and self.is_storing_end(job_id)

    def count_waiting(self) -> dict[str, int]:
        """Return the number of jobs of which no task has started, by queue."""
        return dict(
            Counter(
                job.definition.queue.name
                for job in self.scheduler.state.jobs.values()
                if not job.is_ended and job.find_phase() == PENDING
            )
        )
