"""Requests of callers, which any daemon serves, and of other daemons to the owner."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from wasabiramp.core.records import DecodeError
from wasabiramp.entry import admission as admission_outcomes
from wasabiramp.entry.admission import Admission
from wasabiramp.entry.answers import (
    ACCEPTED,
    CANCELLED,
    MAY_HAVE_RUN,
    NO_SUCH_JOB,
    NOT_READY,
    NOT_RUN,
    SHOWN,
    Answer,
)
from wasabiramp.entry.circuit_breaker import OwnerCircuitBreaker
from wasabiramp.entry.counts import Counts, WaitingCounts
from wasabiramp.entry.health import MonitoredStore
from wasabiramp.entry.keys import build_job_key, build_progress_key
from wasabiramp.entry.membership import Membership
from wasabiramp.entry.owner import Owner, OwnerStoppedError
from wasabiramp.entry.peers import (
    ENDING,
    FAILED,
    NOT_OWNER,
    OK,
    SILENT,
    UNCONFIRMED,
    UNKNOWN_JOB,
    AnnounceJobs,
    AnnounceNewJobs,
    CancelJob,
    CountWaiting,
    PeerAnswer,
    Peers,
    ShowJob,
    StoreJobs,
)
from wasabiramp.entry.ports import (
    NoAnswerError,
    PeerGoneError,
    StoreRefusedError,
    StoreUnknownError,
)
from wasabiramp.logs import log_event
from wasabiramp.metrics import Metrics
from wasabiramp.policy.switches import do_nothing, switchable
from wasabiramp.scheduling.events import CancelAsked
from wasabiramp.scheduling.model import (
    FINAL_PHASES,
    PENDING,
    VOID,
    JobDefinition,
    Queue,
)
from wasabiramp.scheduling.records import (
    decode_definition,
    decode_progress,
    encode_definition,
)

PEER_CALL_TIMEOUT_S: Final = 0.4
"""Timeout of a short call to another daemon; many times a round trip."""

MAX_END_WAIT_S: Final = 0.2
"""Longest wait for a job's end to be stored: several commits, and half a peer call's timeout."""

CANCEL_CALL_TIMEOUT_S: Final = 1.2
"""Timeout of a cancel at the owner, which waits for the store."""

RETRY_DELAY_S: Final = 0.08
"""Delay before a call is retried; short, so that a takeover is noticed soon."""

ANSWER_MARGIN_S: Final = 0.25
"""Part of a caller's timeout that is reserved for sending the answer."""

MIN_ANSWER_TIME_S: Final = 0.1
"""Shortest time that a request gets, also if its caller's timeout is shorter."""

RETRY_AFTER_S: Final = 1.0
"""Retry-after while the store or the owner is unavailable: about the time of a takeover."""

OUTAGE_RETRY_AFTER_S: Final = 2.0
"""Shortest retry-after of a submission while the store is unavailable.

Outages last for seconds, and callers retry only a few times.
"""

MAX_RETRY_AFTER_S: Final = 4.0
"""Longest retry-after: somewhat below the duration of the outages that users saw."""

MAX_JOBS_PER_ANNOUNCEMENT: Final = 50
ANNOUNCEMENT_LIFETIME_S: Final = 3.0
"""Jobs in one announcement, and the time after which an announcement is dropped.

The owner also watches the stored jobs.
"""

MAX_PEERS_TRIED: Final = 2
"""Number of daemons that are asked to store a job when this one cannot."""


@switchable(
    "outage-retry-after",
    "let Retry-After follow the length of an outage",
    plain=lambda silence_s: RETRY_AFTER_S,
)
def choose_retry_after_s(silence_s: float) -> float:
    """Return the retry-after of a submission while the store has been silent for some time.

    An outage that has lasted for some time is likely to last as long again.
    """
    return min(MAX_RETRY_AFTER_S, max(OUTAGE_RETRY_AFTER_S, silence_s))


class Announcement:
    """A stored job that is to be announced; `may_be_known` is set once an owner may know it."""

    __slots__ = ("job", "may_be_known", "queued_at", "revision")

    def __init__(self, job: JobDefinition, revision: int, queued_at: float) -> None:
        """Create the announcement of a job that no owner was told of."""
        self.job = job
        self.revision = revision
        self.queued_at = queued_at
        self.may_be_known = False


class RequestHandler:
    """Serves callers at this daemon, and calls of other daemons to the owner."""

    def __init__(
        self,
        store: MonitoredStore,
        membership: Membership,
        peers: Peers,
        get_owner: Callable[[], Owner | None],
        metrics: Metrics,
        read_wall: Callable[[], float],
        store_value_bytes: int,
    ) -> None:
        """Create the handler; `get_owner` returns the owner in this process, if any."""
        self._store = store
        self._membership = membership
        self._peers = peers
        self._get_owner = get_owner
        self._metrics = metrics
        self._read_wall = read_wall
        self.admission = Admission(store, store_value_bytes)
        self._unannounced: dict[str, Announcement] = {}
        self._older_owner_address = ""
        self._announcement_ready = asyncio.Event()
        self._owner_breaker = OwnerCircuitBreaker(membership.name)
        self._waiting_counts = WaitingCounts(self._async_ask_counts)

    async def async_submit(self, job: JobDefinition, caller_timeout_s: float) -> Answer:
        """Store a job and announce it to the owner."""
        late = Answer(MAY_HAVE_RUN, reason="the store does not answer", retry_after_s=RETRY_AFTER_S)
        answer_by_s = _compute_answer_time_s(caller_timeout_s)
        return await _async_answer_in_time(self._async_submit(job, answer_by_s), answer_by_s, late)

    async def _async_submit(self, job: JobDefinition, answer_by_s: float) -> Answer:
        """Store a job within a time, and announce it to the owner."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + answer_by_s
        may_be_stored = False
        while True:
            outcome = await self._async_store(job, deadline - loop.time())
            if outcome == admission_outcomes.VOIDED:
                log_event("job_refused", job=job.id, queue=job.queue.name, reason="cancelled")
                return Answer(NOT_RUN, reason="the job was cancelled before it was stored")
            if outcome in admission_outcomes.CERTAIN_OUTCOMES:
                self._metrics.record_value("submit_seconds", loop.time() - started_at, {})
                took_s = round(loop.time() - started_at, 4)
                log_event("job_stored", job=job.id, queue=job.queue.name, how=outcome, s=took_s)
                return Answer(ACCEPTED)
            if outcome == admission_outcomes.UNSTORABLE and not may_be_stored:
                log_event("job_refused", job=job.id, queue=job.queue.name, reason="too long")
                return Answer(NOT_RUN, reason="the store cannot take the job's record")
            may_be_stored = may_be_stored or outcome == admission_outcomes.UNKNOWN
            if self._store.is_unavailable() and not may_be_stored:
                break
            if loop.time() + RETRY_DELAY_S >= deadline:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        outcome = MAY_HAVE_RUN if may_be_stored else NOT_RUN
        log_event("job_not_stored", job=job.id, queue=job.queue.name, outcome=outcome)
        retry_after_s = choose_retry_after_s(self._store.get_silence_s())
        return Answer(outcome, reason="the store does not answer", retry_after_s=retry_after_s)

    async def _async_store(self, job: JobDefinition, time_left_s: float) -> str:
        """Store a job here, or through another daemon if the store is unavailable or refuses."""
        outcome = admission_outcomes.REFUSED
        if not self._store.is_unavailable():
            try:
                async with asyncio.timeout(max(0.05, time_left_s)):
                    outcome, revision = await self.admission.async_store(job)
            except TimeoutError:
                return admission_outcomes.UNKNOWN
            if outcome == admission_outcomes.STORED:
                self._announce(job, revision)
            if outcome in (*admission_outcomes.CERTAIN_OUTCOMES, admission_outcomes.UNSTORABLE):
                return outcome
        message = StoreJobs([encode_definition(job)])
        for address in self._list_peers()[:MAX_PEERS_TRIED]:
            try:
                answer = await self._peers.async_call(address, message, 2 * PEER_CALL_TIMEOUT_S)
            except PeerGoneError:
                # Nothing was sent, so the job is certainly not stored.
                continue
            except NoAnswerError:
                outcome = admission_outcomes.UNKNOWN
                continue
            if answer.value in admission_outcomes.CERTAIN_OUTCOMES:
                return answer.value
            if answer.value not in (admission_outcomes.REFUSED, admission_outcomes.UNSTORABLE):
                outcome = admission_outcomes.UNKNOWN
        return outcome

    def _list_peers(self) -> list[str]:
        """Return the addresses of the other daemons, the owner's first."""
        members = self._membership
        peers = [a for name, a in sorted(members.addresses.items()) if name != members.name]
        return sorted(peers, key=lambda address: address != members.owner_address)

    @switchable("announcements", "tell the owner of stored jobs at once", plain=do_nothing)
    def _announce(self, job: JobDefinition, revision: int) -> None:
        """Announce a stored job to the owner, before the owner finds it in the store."""
        owner = self._get_owner()
        if owner is not None and owner.is_recovered:
            owner.add_stored_job(job, revision, is_first=True)
            return
        queued_at = asyncio.get_running_loop().time()
        self._unannounced.setdefault(job.id, Announcement(job, revision, queued_at))
        self._announcement_ready.set()

    async def async_run_announcer(self) -> None:
        """Announce jobs to the current owner.

        Batches start at one job after a failure and double with each answer, so that little is
        sent to an owner that does not answer.
        """
        size = MAX_JOBS_PER_ANNOUNCEMENT
        while True:
            await self._announcement_ready.wait()
            self._announcement_ready.clear()
            while self._unannounced:
                batch = list(self._unannounced.values())[:size]
                answer = await self._async_announce_batch(batch)
                if answer.outcome != OK:
                    size = 1
                    await asyncio.sleep(RETRY_DELAY_S)
                    self._drop_old_announcements()
                    continue
                size = min(MAX_JOBS_PER_ANNOUNCEMENT, 2 * size)
                for announcement in batch:
                    self._unannounced.pop(announcement.job.id, None)

    async def _async_announce_batch(self, batch: list[Announcement]) -> PeerAnswer:
        """Announce jobs to the current owner, and note whether one may have been told of them."""
        rows = [(encode_definition(item.job), item.revision) for item in batch]
        address = self._membership.owner_address
        are_new = not any(item.may_be_known for item in batch)
        message = AnnounceJobs(rows)
        if are_new and address != self._older_owner_address:
            message = AnnounceNewJobs(rows)
        for item in batch:
            item.may_be_known = True
        answer = await self.async_ask_owner(message, PEER_CALL_TIMEOUT_S)
        if answer.outcome == FAILED:
            self._older_owner_address = address
        if answer.outcome != OK and answer.value != SILENT and are_new:
            for item in batch:
                item.may_be_known = False
        return answer

    def _drop_old_announcements(self) -> None:
        """Drop expired announcements; the next owner finds these jobs in the store."""
        oldest = asyncio.get_running_loop().time() - ANNOUNCEMENT_LIFETIME_S
        for job_id, announcement in list(self._unannounced.items()):
            if announcement.queued_at < oldest:
                log_event("announcement_dropped", job=job_id)
                del self._unannounced[job_id]

    async def async_ask_owner(self, message: Any, timeout_s: float) -> PeerAnswer:
        """Return the owner's answer, or `NOT_OWNER` if no owner answers in time."""
        if self._get_owner() is not None:
            return await self._async_ask_local_owner(message, timeout_s)
        address = self._membership.owner_address
        loop = asyncio.get_running_loop()
        if not address or not self._owner_breaker.can_call(address, loop.time()):
            return PeerAnswer(NOT_OWNER)
        answer = PeerAnswer(NOT_OWNER)
        try:
            answer = await self._async_call_owner(address, message, timeout_s)
        finally:
            # An exception counts as a failure too: otherwise the probe would stay open and no
            # further call would be allowed.
            if answer.outcome == NOT_OWNER:
                self._owner_breaker.record_failure(address, loop.time())
            else:
                self._owner_breaker.record_success(address)
        return answer

    async def _async_ask_local_owner(self, message: Any, timeout_s: float) -> PeerAnswer:
        """Return the answer of the owner in this process, with the timeout of a remote call."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.async_serve(message)
        except TimeoutError:
            log_event("owner_slow", call=type(message).__name__)
            return PeerAnswer(NOT_OWNER)

    async def _async_call_owner(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
        """Return the answer of the owner at an address."""
        try:
            return await self._peers.async_call(address, message, timeout_s)
        except PeerGoneError as err:
            log_event("owner_process_gone", address=address, error=err)
            self._membership.replace_owner(address)
        except NoAnswerError as err:
            log_event("owner_silent", address=address, error=err)
            return PeerAnswer(NOT_OWNER, SILENT)
        return PeerAnswer(NOT_OWNER)

    async def async_serve(self, message: Any) -> PeerAnswer:
        """Answer a call to the owner, or to any daemon that reaches the store."""
        if isinstance(message, StoreJobs):
            return await self._async_store_for_peer(message)
        owner = self._get_owner()
        if owner is None or not owner.is_recovered:
            return PeerAnswer(NOT_OWNER)
        if isinstance(message, AnnounceJobs | AnnounceNewJobs):
            is_first = isinstance(message, AnnounceNewJobs)
            for data, revision in message.jobs:
                owner.add_encoded_job(data, revision, is_first)
            return PeerAnswer(OK)
        if isinstance(message, CountWaiting):
            return PeerAnswer(OK, owner.count_waiting())
        if not isinstance(message, ShowJob | CancelJob):
            return PeerAnswer(FAILED, f"unknown call {type(message).__name__}")
        try:
            return await self._async_serve_job(owner, message)
        except OwnerStoppedError:
            return PeerAnswer(NOT_OWNER)

    async def _async_serve_job(self, owner: Owner, message: ShowJob | CancelJob) -> PeerAnswer:
        """Show or cancel a job as the owner; raise OwnerStoppedError if the owner stops."""
        phase = owner.find_phase(message.job)
        if phase is None and isinstance(message, CancelJob):
            phase = await owner.async_void_job(message.job)
            if not phase:
                return PeerAnswer(FAILED, "the store does not answer")
        if phase is None or phase == VOID:
            return PeerAnswer(UNKNOWN_JOB)
        if isinstance(message, ShowJob):
            phase = await self._async_wait_for_end(owner, message.job, phase)
            if owner.has_unconfirmed_end(message.job):
                return PeerAnswer(ENDING)
            is_certain = self._membership.is_confirmed() and not owner.is_storing_end(message.job)
            return PeerAnswer(OK if is_certain else UNCONFIRMED, phase)
        if isinstance(message, CancelJob) and phase not in FINAL_PHASES:
            owner.apply_event(CancelAsked(message.job))
            await owner.async_wait_stored()
            phase = owner.find_phase(message.job)
        return PeerAnswer(OK, phase)

    async def _async_wait_for_end(self, owner: Owner, job_id: str, phase: str) -> str:
        """Return a job's phase, after a short wait if its end is being stored.

        Callers often ask right after the last task ended, when the store still holds the old
        phase.
        """
        if not owner.is_storing_end(job_id) or not self._membership.is_confirmed():
            return phase
        try:
            async with asyncio.timeout(MAX_END_WAIT_S):
                await owner.async_wait_stored()
        except TimeoutError:
            log_event("end_not_stored_yet", job=job_id)
        return owner.find_phase(job_id) or phase

    async def _async_store_for_peer(self, message: StoreJobs) -> PeerAnswer:
        """Store jobs for a daemon that cannot reach the store."""
        outcome = admission_outcomes.REFUSED
        if self._store.is_unavailable():
            return PeerAnswer(OK, outcome)
        try:
            jobs = [decode_definition(data) for data in message.definitions]
        except DecodeError as err:
            log_event("peer_jobs_unreadable", error=err)
            return PeerAnswer(FAILED, str(err))
        for job in jobs:
            outcome, revision = await self.admission.async_store(job)
            if outcome == admission_outcomes.STORED:
                self._announce(job, revision)
        return PeerAnswer(OK, outcome)

    async def async_show(self, job_id: str, caller_timeout_s: float) -> Answer:
        """Return a job's phase from the owner, or from the store if no owner answers."""
        late = Answer(NOT_READY, reason="the store is away", retry_after_s=RETRY_AFTER_S)
        answer_by_s = _compute_answer_time_s(caller_timeout_s)
        return await _async_answer_in_time(
            self._async_show(job_id, caller_timeout_s), answer_by_s, late
        )

    async def _async_show(self, job_id: str, caller_timeout_s: float) -> Answer:
        """Return a job's phase from the owner, or from the store if no owner answers."""
        answer = await self.async_ask_owner(
            ShowJob(job_id), min(PEER_CALL_TIMEOUT_S, caller_timeout_s / 2)
        )
        if answer.outcome == OK:
            return Answer(SHOWN, answer.value)
        stored_answer = await self._async_show_stored(job_id)
        if answer.outcome == UNCONFIRMED and stored_answer.phase not in FINAL_PHASES:
            return Answer(SHOWN, answer.value)
        return stored_answer

    async def _async_show_stored(self, job_id: str) -> Answer:
        """Return a job's phase from the store.

        The definition is read first: it is removed only together with a final progress record.
        """
        try:
            item = await self._store.async_get(build_job_key(job_id))
            record = await self._store.async_get(build_progress_key(job_id))
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("job_not_shown", job=job_id, error=err)
            return Answer(NOT_READY, reason="the store is away", retry_after_s=RETRY_AFTER_S)
        if record is not None:
            try:
                phase = decode_progress(record.value).phase
            except DecodeError as err:
                log_event("job_not_shown", job=job_id, error=err)
                return Answer(NOT_READY, reason="the job's record is invalid")
            if phase in FINAL_PHASES:
                return Answer(SHOWN, phase)
            if phase == VOID:
                return Answer(NO_SUCH_JOB)
        if item is None and record is None:
            log_event("job_unknown", job=job_id)
            return Answer(NO_SUCH_JOB)
        return Answer(SHOWN, PENDING)

    async def async_cancel(self, job_id: str, caller_timeout_s: float) -> Answer:
        """Cancel a job at the owner, or at the next one; return once that is stored."""
        reason = "the owner does not answer"
        late = Answer(MAY_HAVE_RUN, reason=reason, retry_after_s=RETRY_AFTER_S)
        answer_by_s = _compute_answer_time_s(caller_timeout_s)
        return await _async_answer_in_time(self._async_cancel(job_id), answer_by_s, late)

    async def _async_cancel(self, job_id: str) -> Answer:
        """Ask the current owner to cancel a job until the outcome is known."""
        while True:
            answer = await self.async_ask_owner(CancelJob(job_id), CANCEL_CALL_TIMEOUT_S)
            if answer.outcome == OK and answer.value in FINAL_PHASES:
                log_event("cancel_answered", job=job_id, phase=answer.value)
                return Answer(CANCELLED, answer.value)
            if answer.outcome == UNKNOWN_JOB:
                log_event("cancel_answered", job=job_id, phase=VOID)
                return Answer(NO_SUCH_JOB)
            await asyncio.sleep(RETRY_DELAY_S)

    async def async_count_waiting(self, queue: Queue, caller_timeout_s: float) -> Answer:
        """Return the number of jobs of a queue without a started task."""
        late = Answer(NOT_READY, reason="no owner", retry_after_s=RETRY_AFTER_S)
        answer_by_s = _compute_answer_time_s(caller_timeout_s)
        return await _async_answer_in_time(self._async_count_waiting(queue), answer_by_s, late)

    async def _async_count_waiting(self, queue: Queue) -> Answer:
        """Ask the current owner for its counts until one answers."""
        while True:
            waiting = await self._waiting_counts.async_get(queue.name)
            if waiting is not None:
                return Answer(SHOWN, waiting=waiting)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _async_ask_counts(self) -> Counts | None:
        """Return the owner's counts of waiting jobs, or None if no owner answers."""
        answer = await self.async_ask_owner(CountWaiting(), PEER_CALL_TIMEOUT_S)
        return answer.value if answer.outcome == OK else None

    def read_wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return int(self._read_wall() * 1000)


def _compute_answer_time_s(caller_timeout_s: float) -> float:
    """Return the time within which a caller with this timeout has to be answered."""
    return max(MIN_ANSWER_TIME_S, caller_timeout_s - ANSWER_MARGIN_S)


async def _async_answer_in_time(
    work: Awaitable[Answer], answer_by_s: float, late: Answer
) -> Answer:
    """Return the answer of a request, or the answer `late` if it takes longer than allowed.

    Whatever a request waits for, its caller is answered.
    """
    try:
        async with asyncio.timeout(answer_by_s):
            return await work
    except TimeoutError:
        log_event("request_timed_out", outcome=late.outcome, reason=late.reason)
        return late
