"""The desk for callers: every daemon takes jobs, shows them and cancels them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from wasabiramp.entry import admission as stored
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
from wasabiramp.entry.counts import Counts, WaitingCounts
from wasabiramp.entry.health import MonitoredStore
from wasabiramp.entry.keys import key_job, key_progress
from wasabiramp.entry.membership import Membership
from wasabiramp.entry.owner import Owner
from wasabiramp.entry.peers import (
    ENDING,
    FAILED,
    NOT_OWNER,
    OK,
    UNCONFIRMED,
    UNKNOWN_JOB,
    AnnounceJobs,
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
from wasabiramp.entry.reach import OwnerReach
from wasabiramp.logs import log_event
from wasabiramp.metrics import Metrics
from wasabiramp.scheduling.events import CancelAsked
from wasabiramp.scheduling.model import CANCELLED as PHASE_CANCELLED
from wasabiramp.scheduling.model import (
    FINAL_PHASES,
    PENDING,
    JobDefinition,
    Queue,
)
from wasabiramp.scheduling.records import (
    decode_definition,
    decode_progress,
    encode_definition,
)

PEER_CALL_S: Final = 0.4
"""Time for a short call to another daemon; many times a round trip."""

END_WAIT_S: Final = 0.2
"""Longest wait for a job's end to be stored: several commits, and half a call's time."""

CANCEL_CALL_S: Final = 1.2
"""Time for a cancel at the owner, which waits for the store."""

RETRY_S: Final = 0.08
"""Pause before a call is tried again, so that a takeover is noticed soon."""

ANSWER_RESERVE_S: Final = 0.25
"""Kept of a caller's time for the answer's way back."""

RETRY_AFTER_S: Final = 1.0
"""Told to callers who find the store or the owner away: about the time of a takeover."""

OUTAGE_RETRY_S: Final = 2.0
"""Told to callers at first while the store is away: outages last for seconds, and callers come
back a few times only."""

RETRY_AFTER_LIMIT_S: Final = 4.0
"""Longest time told to callers: somewhat below the time of the outages that the users saw."""

ANNOUNCED_AT_ONCE: Final = 50
ANNOUNCE_S: Final = 3.0
"""Jobs are announced in groups, and for this long: the owner also follows what is stored."""

PEERS_TRIED: Final = 2
"""Daemons that are asked to store a job when this one cannot."""


class Desk:
    """Carries out calls of callers at this daemon, and of other daemons at the owner."""

    def __init__(
        self,
        store: MonitoredStore,
        membership: Membership,
        peers: Peers,
        find_owner: Callable[[], Owner | None],
        metrics: Metrics,
        read_wall: Callable[[], float],
    ) -> None:
        """Use the owner in this process where there is one."""
        self._store = store
        self._membership = membership
        self._peers = peers
        self._find_owner = find_owner
        self._metrics = metrics
        self._read_wall = read_wall
        self.admission = Admission(store)
        self._unannounced: dict[str, tuple[JobDefinition, int, float]] = {}
        self._announce_wake = asyncio.Event()
        self._reach = OwnerReach(membership.name)
        self._counts = WaitingCounts(self._async_ask_counts)

    async def async_submit(self, job: JobDefinition, patience_s: float) -> Answer:
        """Store a job and announce it to the owner."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        give_up_at = started_at + max(0.1, patience_s - ANSWER_RESERVE_S)
        may_be_stored = False
        while True:
            outcome = await self._async_store(job, give_up_at - loop.time())
            if outcome in (stored.STORED, stored.REPEATED):
                self._metrics.record_value("submit_seconds", loop.time() - started_at, {})
                took_s = round(loop.time() - started_at, 4)
                log_event("job_stored", job=job.id, queue=job.queue.name, how=outcome, s=took_s)
                return Answer(ACCEPTED)
            may_be_stored = may_be_stored or outcome == stored.UNKNOWN
            if self._store.is_away() and not may_be_stored:
                break
            if loop.time() + RETRY_S >= give_up_at:
                break
            await asyncio.sleep(RETRY_S)
        outcome = MAY_HAVE_RUN if may_be_stored else NOT_RUN
        log_event("job_not_stored", job=job.id, queue=job.queue.name, outcome=outcome)
        # An outage that has lasted for a while is likely to last as long again.
        retry_after_s = min(RETRY_AFTER_LIMIT_S, max(OUTAGE_RETRY_S, self._store.find_silence()))
        return Answer(outcome, reason="the store does not answer", retry_after_s=retry_after_s)

    async def _async_store(self, job: JobDefinition, time_left_s: float) -> str:
        """Store a job here, or through another daemon where the store turns this one away."""
        outcome = stored.REFUSED
        if not self._store.is_away():
            try:
                async with asyncio.timeout(max(0.05, time_left_s)):
                    outcome, revision = await self.admission.async_store(job)
            except TimeoutError:
                return stored.UNKNOWN
            if outcome == stored.STORED:
                self._announce(job, revision)
            if outcome in (stored.STORED, stored.REPEATED):
                return outcome
        message = StoreJobs([encode_definition(job)])
        for address in self._list_peers()[:PEERS_TRIED]:
            try:
                answer = await self._peers.async_call(address, message, 2 * PEER_CALL_S)
            except NoAnswerError:
                outcome = stored.UNKNOWN
                continue
            if answer.value in (stored.STORED, stored.REPEATED):
                return answer.value
            if answer.value != stored.REFUSED:
                outcome = stored.UNKNOWN
        return outcome

    def _list_peers(self) -> list[str]:
        """Return the addresses of the other daemons, the owner's first."""
        members = self._membership
        others = [a for name, a in sorted(members.addresses.items()) if name != members.name]
        return sorted(others, key=lambda address: address != members.owner_address)

    def _announce(self, job: JobDefinition, revision: int) -> None:
        """Tell the owner of a stored job, sooner than it would find it in the store."""
        owner = self._find_owner()
        if owner is not None and owner.is_recovered:
            owner.take_job(job, revision)
            return
        self._unannounced[job.id] = (job, revision, asyncio.get_running_loop().time())
        self._announce_wake.set()

    async def async_run_announcer(self) -> None:
        """Announce jobs to the owner, whoever that is by then.

        Groups start at a single job after a failure and double with each answer, so that little
        is sent in vain.
        """
        size = ANNOUNCED_AT_ONCE
        while True:
            await self._announce_wake.wait()
            self._announce_wake.clear()
            while self._unannounced:
                batch = list(self._unannounced.items())[:size]
                rows = [(encode_definition(job), rev) for _id, (job, rev, _at) in batch]
                answer = await self.async_ask_owner(AnnounceJobs(rows), PEER_CALL_S)
                if answer.outcome != OK:
                    size = 1
                    await asyncio.sleep(RETRY_S)
                    self._drop_old_announcements()
                    continue
                size = min(ANNOUNCED_AT_ONCE, 2 * size)
                for job_id, _row in batch:
                    self._unannounced.pop(job_id, None)

    def _drop_old_announcements(self) -> None:
        """Leave jobs that no owner could be told of to the one that finds them in the store."""
        oldest = asyncio.get_running_loop().time() - ANNOUNCE_S
        for job_id, (_job, _revision, since) in list(self._unannounced.items()):
            if since < oldest:
                log_event("announcement_dropped", job=job_id)
                del self._unannounced[job_id]

    async def async_ask_owner(self, message: Any, timeout_s: float) -> PeerAnswer:
        """Return the owner's answer, `NOT_OWNER` where no owner answers."""
        if self._find_owner() is not None:
            return await self.async_serve(message)
        address = self._membership.owner_address
        loop = asyncio.get_running_loop()
        if not address or not self._reach.may_call(address, loop.time()):
            return PeerAnswer(NOT_OWNER)
        answer = PeerAnswer(NOT_OWNER)
        try:
            answer = await self._async_call_owner(address, message, timeout_s)
        finally:
            # A call that ends in any other way counts as a failure, or no other would follow it.
            if answer.outcome == NOT_OWNER:
                self._reach.note_failure(address, loop.time())
            else:
                self._reach.note_answer(address)
        return answer

    async def _async_call_owner(self, address: str, message: Any, timeout_s: float) -> PeerAnswer:
        """Return the answer of the owner at an address."""
        try:
            return await self._peers.async_call(address, message, timeout_s)
        except PeerGoneError as err:
            log_event("owner_process_gone", address=address, error=err)
            self._membership.replace_owner(address)
        except NoAnswerError as err:
            log_event("owner_silent", address=address, error=err)
        return PeerAnswer(NOT_OWNER)

    async def async_serve(self, message: Any) -> PeerAnswer:
        """Answer a call that is meant for the owner, or for any daemon that reaches the store."""
        if isinstance(message, StoreJobs):
            return await self._async_store_for_peer(message)
        owner = self._find_owner()
        if owner is None or not owner.is_recovered:
            return PeerAnswer(NOT_OWNER)
        if isinstance(message, AnnounceJobs):
            for data, revision in message.jobs:
                owner.take_record(data, revision)
            return PeerAnswer(OK)
        if isinstance(message, CountWaiting):
            return PeerAnswer(OK, owner.count_waiting())
        if not isinstance(message, ShowJob | CancelJob):
            return PeerAnswer(FAILED, f"unknown call {type(message).__name__}")
        phase = owner.find_phase(message.job)
        if phase is None:
            return PeerAnswer(UNKNOWN_JOB)
        if isinstance(message, ShowJob):
            phase = await self._async_await_end(owner, message.job, phase)
            if owner.may_be_shown_as_over(message.job):
                return PeerAnswer(ENDING)
            is_certain = self._membership.is_confirmed() and not owner.is_storing_end(message.job)
            return PeerAnswer(OK if is_certain else UNCONFIRMED, phase)
        if isinstance(message, CancelJob) and phase not in FINAL_PHASES:
            owner.take_event(CancelAsked(message.job))
            await owner.async_wait_stored()
            phase = owner.find_phase(message.job)
        return PeerAnswer(OK, phase)

    async def _async_await_end(self, owner: Owner, job_id: str, phase: str) -> str:
        """Return a job's phase, after a moment where its end is just being stored.

        Callers often ask right after the last task ended; the store itself would tell them only
        what was true before.
        """
        if not owner.is_storing_end(job_id) or not self._membership.is_confirmed():
            return phase
        try:
            async with asyncio.timeout(END_WAIT_S):
                await owner.async_wait_stored()
        except TimeoutError:
            log_event("end_not_stored_yet", job=job_id)
        return owner.find_phase(job_id) or phase

    async def _async_store_for_peer(self, message: StoreJobs) -> PeerAnswer:
        """Store jobs of a daemon that the store turns away."""
        outcome = stored.REFUSED
        if self._store.is_away():
            return PeerAnswer(OK, outcome)
        for data in message.definitions:
            job = decode_definition(data)
            outcome, revision = await self.admission.async_store(job)
            if outcome == stored.STORED:
                self._announce(job, revision)
        return PeerAnswer(OK, outcome)

    async def async_show(self, job_id: str, patience_s: float) -> Answer:
        """Show a job's phase: from its owner, or from the store where no owner answers."""
        answer = await self.async_ask_owner(ShowJob(job_id), min(PEER_CALL_S, patience_s / 2))
        if answer.outcome == OK:
            return Answer(SHOWN, answer.value)
        shown = await self._async_show_stored(job_id)
        if answer.outcome == UNCONFIRMED and shown.phase not in FINAL_PHASES:
            return Answer(SHOWN, answer.value)
        return shown

    async def _async_show_stored(self, job_id: str) -> Answer:
        """Show what the store knows of a job.

        The definition is read first: it goes away only together with a final progress record.
        """
        try:
            item = await self._store.async_get(key_job(job_id))
            record = await self._store.async_get(key_progress(job_id))
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("job_not_shown", job=job_id, error=err)
            return Answer(NOT_READY, reason="the store is away", retry_after_s=RETRY_AFTER_S)
        if record is not None:
            phase = decode_progress(record.value).phase
            if phase in FINAL_PHASES:
                return Answer(SHOWN, phase)
        if item is None and record is None:
            log_event("job_unknown", job=job_id)
            return Answer(NO_SUCH_JOB)
        return Answer(SHOWN, PENDING)

    async def async_cancel(self, job_id: str, patience_s: float) -> Answer:
        """Cancel a job at its owner; it is cancelled once that is stored."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + max(0.1, patience_s - ANSWER_RESERVE_S)
        while True:
            answer = await self.async_ask_owner(CancelJob(job_id), CANCEL_CALL_S)
            if answer.outcome == OK and answer.value in FINAL_PHASES:
                log_event("cancel_answered", job=job_id, phase=answer.value)
                return Answer(CANCELLED, answer.value)
            if answer.outcome == UNKNOWN_JOB:
                shown = await self._async_show_stored(job_id)
                if shown.outcome == NO_SUCH_JOB or shown.phase == PHASE_CANCELLED:
                    return shown
                if shown.phase in FINAL_PHASES:
                    return Answer(CANCELLED, shown.phase)
            if loop.time() + RETRY_S >= give_up_at:
                log_event("cancel_unanswered", job=job_id, outcome=answer.outcome)
                reason = "the owner does not answer"
                return Answer(MAY_HAVE_RUN, reason=reason, retry_after_s=RETRY_AFTER_S)
            await asyncio.sleep(RETRY_S)

    async def async_count_waiting(self, queue: Queue, patience_s: float) -> Answer:
        """Return how many jobs of a queue have not begun."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + max(0.1, patience_s - ANSWER_RESERVE_S)
        while True:
            waiting = await self._counts.async_get(queue.name)
            if waiting is not None:
                return Answer(SHOWN, waiting=waiting)
            if loop.time() + RETRY_S >= give_up_at:
                return Answer(NOT_READY, reason="no owner", retry_after_s=RETRY_AFTER_S)
            await asyncio.sleep(RETRY_S)

    async def _async_ask_counts(self) -> Counts | None:
        """Return the owner's counts of waiting jobs, or None where no owner answers."""
        answer = await self.async_ask_owner(CountWaiting(), PEER_CALL_S)
        return answer.value if answer.outcome == OK else None

    def read_wall_ms(self) -> int:
        """Return Unix time in milliseconds."""
        return int(self._read_wall() * 1000)
