"""Journal of the domain: the state that its owner stores, in one chain of commits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import msgpack

from wasabiramp.core.records import DecodeError, unpack
from wasabiramp.entry.keys import (
    KEY_COMMITS,
    KEY_ROSTER,
    KEY_TERM,
    PREFIX_JOB,
    PREFIX_PROGRESS,
    build_job_key,
    build_progress_key,
)
from wasabiramp.entry.membership import Tenure
from wasabiramp.entry.ports import (
    Item,
    PartialList,
    Store,
    StoreConflictError,
    StoreInvalidError,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from wasabiramp.entry.shards import UNSHARDED, ShardedRead
from wasabiramp.logs import log_event
from wasabiramp.scheduling.model import FINAL_PHASES, JobDefinition, JobProgress
from wasabiramp.scheduling.records import (
    check_progress,
    decode_definition,
    decode_progress,
    encode_progress,
    encode_progress_within,
    encode_void,
)
from wasabiramp.scheduling.scheduler import Changes
from wasabiramp.scheduling.state import JobRun

MAX_ENTRIES_PER_COMMIT: Final = 32
"""Entries that the store accepts in one transaction."""

CONDITION_ENTRIES: Final = 3
"""Entries that each transaction needs: conditions on the term and the commits key, and the write
of the latter."""

MAX_BYTES_PER_COMMIT: Final = 524_288
"""Bytes of records in one transaction, unless a single record is longer."""

MAX_REMOVALS_PER_COMMIT: Final = 30
"""Keys removed by one transaction; with its condition it stays below the store's 32 entries."""

RETRY_DELAY_S: Final = 0.05
"""Delay before a commit without an answer is sent again; the call has timed out by then."""


@dataclass(slots=True)
class Kept:
    """Stored state as of a revision of the store.

    `roster` holds the ids and addresses of executors; `is_roster_complete` is False if some of it
    could not be read. `jobs` are the jobs that have not ended, with the revisions of their
    definitions and their progress, and `ended` the ids of ended jobs. Those of jobs with records
    that cannot be read are in `unreadable`.
    """

    as_of: int
    roster: list[tuple[str, str]]
    is_roster_complete: bool = True
    jobs: list[tuple[JobDefinition, int, JobProgress | None]] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Entry:
    """A record to write, and keys to remove with it; `job_id` is empty for the roster."""

    job_id: str
    key: str
    value: bytes
    removed: tuple[str, ...] = ()


class Journal:
    """Stores the changes of one owner, on condition that its term is still current."""

    def __init__(
        self,
        store: Store,
        tenure: Tenure,
        on_tenure_lost: Callable[[str], None],
        value_bytes: int,
        shards: tuple[str, ...] = UNSHARDED,
    ) -> None:
        """Call `on_tenure_lost` when the store holds another term; read in the parts `shards`.

        The store takes values of at most `value_bytes`. `has_unanswered_commit` is True while the
        outcome of a commit is not known.
        """
        self._store = store
        self._on_tenure_lost = on_tenure_lost
        self._value_bytes = value_bytes
        self.tenure = tenure
        self._jobs_read = ShardedRead(store, PREFIX_JOB, shards)
        self._progress_read = ShardedRead(store, PREFIX_PROGRESS, shards)
        self._commit_number = 0
        self._commits_revision = 0
        self._is_stopped = False
        self.has_unanswered_commit = False

    def stop(self) -> None:
        """Send no further commits."""
        self._is_stopped = True

    async def async_read(self) -> Kept | None:
        """Return jobs, progress and roster, or None if the store does not answer."""
        try:
            (jobs, as_of), (progress, _), roster, commits = await asyncio.gather(
                self._jobs_read.async_read(),
                self._progress_read.async_read(),
                self._store.async_get(KEY_ROSTER),
                self._store.async_get(KEY_COMMITS),
            )
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("recovery_read_failed", error=err)
            return None
        if isinstance(jobs, PartialList) or isinstance(progress, PartialList):
            log_event("recovery_read_partial", jobs=len(jobs), progress=len(progress))
            return None
        self._commits_revision = commits.revision if commits is not None else 0
        stored_state = Kept(as_of, *_decode_roster(roster))
        progress_items = {item.key.removeprefix(PREFIX_PROGRESS): item for item in progress}
        for item in jobs:
            _add_job(stored_state, item, progress_items)
        # The commit of a job's end removes its definition. Unreadable jobs have not ended.
        defined_ids = {item.key.removeprefix(PREFIX_JOB) for item in jobs}
        stored_state.ended = [job_id for job_id in progress_items if job_id not in defined_ids]
        return stored_state

    async def async_store(self, changes: Changes) -> bool:
        """Write changes in successive transactions; return whether all are stored.

        Jobs with records that the store cannot take are noted in `changes.left_out`.
        """
        changes.left_out.clear()
        for batch in _build_batches(self._encode_changes(changes)):
            if not await self._async_store_batch(batch, changes):
                return False
        return True

    def _encode_changes(self, changes: Changes) -> list[Entry]:
        """Return the records to write; those of jobs that are too long are left out."""
        entries = []
        if changes.roster is not None:
            entries.append(Entry("", KEY_ROSTER, msgpack.packb(changes.roster)))
        for job in changes.jobs:
            entry = _encode_job(job, self._value_bytes)
            if len(entry.value) <= self._value_bytes:
                entries.append(entry)
                continue
            changes.left_out[entry.job_id] = f"{len(entry.value)} of {self._value_bytes} bytes"
        return entries

    async def _async_store_batch(self, batch: list[Entry], changes: Changes) -> bool:
        """Write records in one transaction, or each by itself if the store cannot take them all."""
        try:
            return await self._async_commit(_build_transaction(batch))
        except StoreInvalidError as err:
            if len(batch) == 1:
                return _leave_out(batch[0], changes, str(err))
        for entry in batch:
            if not await self._async_store_batch([entry], changes):
                return False
        return True

    async def _async_commit(self, transaction: Transaction) -> bool:
        """Commit one transaction while the term is this owner's.

        Each commit also replaces the commits key (compare-and-swap), so that a commit whose answer
        was lost cannot take effect after a later one.

        Raise StoreInvalidError if the store cannot take the transaction.
        """
        self._commit_number += 1
        commit_id = f"{self.tenure.fencing_token}.{self._commit_number}".encode()
        transaction.expected[KEY_TERM] = self.tenure.fencing_token
        transaction.expected[KEY_COMMITS] = self._commits_revision
        transaction.writes[KEY_COMMITS] = (commit_id, 0)
        was_unanswered = self.has_unanswered_commit
        while not self._is_stopped:
            try:
                self.has_unanswered_commit = True
                self._commits_revision = await self._store.async_commit(transaction)
                self.has_unanswered_commit = False
                return True
            except StoreConflictError as err:
                self.has_unanswered_commit = False
                return self._resolve_conflict(err, commit_id)
            except StoreRefusedError as err:
                self.has_unanswered_commit = was_unanswered
                log_event("commit_refused", entries=transaction.size, error=err)
                if isinstance(err, StoreInvalidError):
                    raise
                return False
            except StoreUnknownError as err:
                log_event("commit_unanswered", entries=transaction.size, error=err)
                was_unanswered = True
                await asyncio.sleep(RETRY_DELAY_S)
        return False

    def _resolve_conflict(self, err: StoreConflictError, commit_id: bytes) -> bool:
        """Return whether a conflicting commit was applied earlier, when its answer was lost."""
        last_commit, term = err.items.get(KEY_COMMITS), err.items.get(KEY_TERM)
        if last_commit is not None and last_commit.value == commit_id:
            self._commits_revision = last_commit.revision
            return True
        if term is None or term.revision != self.tenure.fencing_token:
            self._on_tenure_lost("the store holds another term")
            return False
        self._commits_revision = last_commit.revision if last_commit is not None else 0
        log_event("commit_conflict", revision=self._commits_revision)
        return False

    async def async_void(self, job_id: str) -> dict[str, Item]:
        """Keep a job from being stored; return what is stored of it, if that prevents this.

        Like the daemons that store jobs, it writes on condition that neither a definition nor a
        progress record exists, so that only one of the two succeeds. The condition on the term
        leaves the removal of the record to this owner or a later one.

        Raise StoreRefusedError or StoreUnknownError if the outcome is unknown.
        """
        job_key, progress_key = build_job_key(job_id), build_progress_key(job_id)
        transaction = Transaction(
            expected={KEY_TERM: self.tenure.fencing_token, job_key: 0, progress_key: 0},
            writes={progress_key: (encode_void(), 0)},
        )
        try:
            await self._store.async_commit(transaction)
        except StoreConflictError as err:
            if job_key not in err.items and progress_key not in err.items:
                raise StoreRefusedError("the store holds another term") from err
            return err.items
        return {}

    async def async_remove_records(self, job_ids: list[str]) -> list[str]:
        """Remove the records of ended jobs; return the ids of the removed ones."""
        removed_ids: list[str] = []
        for start in range(0, len(job_ids), MAX_REMOVALS_PER_COMMIT):
            batch = job_ids[start : start + MAX_REMOVALS_PER_COMMIT]
            removed = [build_progress_key(job_id) for job_id in batch]
            transaction = Transaction(
                expected={KEY_TERM: self.tenure.fencing_token}, removed=removed
            )
            try:
                await self._store.async_commit(transaction)
            except (StoreConflictError, StoreRefusedError, StoreUnknownError) as err:
                log_event("job_removal_failed", jobs=len(batch), error=err)
                return removed_ids
            log_event("jobs_removed", jobs=len(batch))
            removed_ids += batch
        return removed_ids


def _decode_roster(item: Item | None) -> tuple[list[tuple[str, str]], bool]:
    """Return the ids and addresses of the executors, and whether all of them could be read."""
    if item is None:
        return [], True
    try:
        rows = unpack(item.value)
    except DecodeError as err:
        log_event("roster_unreadable", revision=item.revision, error=err)
        return [], False
    rows = rows if isinstance(rows, list) else [None]
    roster = [(row[0], row[1]) for row in rows if _is_roster_row(row)]
    if len(roster) < len(rows):
        log_event("roster_incomplete", revision=item.revision, rows=len(rows), read=len(roster))
    return roster, len(roster) == len(rows)


def _is_roster_row(row: Any) -> bool:
    """Return whether a row of the roster is the id and the address of an executor."""
    is_pair = isinstance(row, list) and len(row) == 2
    return is_pair and all(isinstance(text, str) and text for text in row)


def _add_job(stored_state: Kept, item: Item, progress_items: dict[str, Item]) -> None:
    """Add a job that has not ended; an unreadable one is logged and left in the store."""
    try:
        definition = decode_definition(item.value)
        progress_item = progress_items.get(definition.id)
        progress = decode_progress(progress_item.value) if progress_item is not None else None
        if definition.id != item.key.removeprefix(PREFIX_JOB):
            raise DecodeError("id: expected that of the key")
        if progress is not None:
            check_progress(definition, progress)
    except DecodeError as err:
        log_event("job_unreadable", key=item.key, error=err)
        stored_state.unreadable.append(item.key.removeprefix(PREFIX_JOB))
        return
    if progress is None or progress.phase not in FINAL_PHASES:
        stored_state.jobs.append((definition, item.revision, progress))


def _encode_job(job: JobRun, most_bytes: int) -> Entry:
    """Return the record of a job; that of an ended one has its phase only, as no more is read."""
    job_id, phase = job.definition.id, job.progress.phase
    key = build_progress_key(job_id)
    if phase in FINAL_PHASES:
        return Entry(job_id, key, encode_progress(JobProgress(phase)), (build_job_key(job_id),))
    return Entry(job_id, key, encode_progress_within(job.progress, most_bytes))


def _leave_out(entry: Entry, changes: Changes, reason: str) -> bool:
    """Note a job whose record the store cannot take; return False for the roster."""
    if not entry.job_id:
        return False
    changes.left_out[entry.job_id] = reason
    return True


def _build_batches(entries: list[Entry]) -> list[list[Entry]]:
    """Return the entries in parts that each fit into one transaction."""
    batches: list[list[Entry]] = []
    count, length = 0, 0
    for entry in entries:
        count += 1 + len(entry.removed)
        length += len(entry.value)
        is_full = count > MAX_ENTRIES_PER_COMMIT - CONDITION_ENTRIES
        if not batches or is_full or length > MAX_BYTES_PER_COMMIT:
            batches.append([])
            count, length = 1 + len(entry.removed), len(entry.value)
        batches[-1].append(entry)
    return batches


def _build_transaction(batch: list[Entry]) -> Transaction:
    """Return the transaction that writes entries, without its conditions."""
    return Transaction(
        writes={entry.key: (entry.value, 0) for entry in batch},
        removed=[key for entry in batch for key in entry.removed],
    )
