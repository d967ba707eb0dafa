"""Admission of jobs: the daemon that receives jobs stores them in batches."""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.entry.keys import build_job_key, build_progress_key
from wasabiramp.entry.ports import (
    Store,
    StoreConflictError,
    StoreInvalidError,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from wasabiramp.logs import log_event, log_failure
from wasabiramp.scheduling.model import JobDefinition
from wasabiramp.scheduling.records import encode_definition, encode_void

MAX_JOBS_PER_COMMIT: Final = 10
"""Each job takes three of the 32 entries of a transaction: two conditions and a write."""

STORED: Final = "stored"
REPEATED: Final = "repeated"
VOIDED: Final = "voided"
REFUSED: Final = "refused"
UNSTORABLE: Final = "unstorable"
UNKNOWN: Final = "unknown"
"""Outcomes of a submission.

A job is `REPEATED` if it was stored before, and `VOIDED` if it was cancelled before it was stored
and therefore never runs. The store can never take the record of one that is `UNSTORABLE`. `UNKNOWN`
means that it may or may not be stored."""

CERTAIN_OUTCOMES: Final = frozenset({STORED, REPEATED, VOIDED})
"""Outcomes that no other attempt to store the job can change."""

AdmissionResult = tuple[str, int]
Batch = list[tuple[JobDefinition, asyncio.Future[AdmissionResult]]]


class Admission:
    """Stores jobs; jobs that arrive together share a transaction.

    A job is stored under the condition that neither a definition nor a progress record of its id
    exists, so that a repeated request at any time and any daemon remains one job.
    """

    def __init__(self, store: Store, value_bytes: int) -> None:
        """Store into `store`, which takes values of at most `value_bytes`."""
        self._store = store
        self._value_bytes = value_bytes
        self._waiting: list[tuple[JobDefinition, asyncio.Future[AdmissionResult]]] = []
        self._job_queued = asyncio.Event()

    async def async_store(self, job: JobDefinition) -> AdmissionResult:
        """Store one job; return the outcome and, if it is `STORED`, the revision."""
        length = len(encode_definition(job))
        if length > self._value_bytes:
            log_event("job_not_storable", job=job.id, bytes=length, most=self._value_bytes)
            return UNSTORABLE, 0
        future: asyncio.Future[AdmissionResult] = asyncio.get_running_loop().create_future()
        self._waiting.append((job, future))
        self._job_queued.set()
        return await future

    async def async_run(self) -> None:
        """Store pending jobs, one batch at a time."""
        while True:
            await self._job_queued.wait()
            self._job_queued.clear()
            while self._waiting:
                batch = self._waiting[:MAX_JOBS_PER_COMMIT]
                del self._waiting[:MAX_JOBS_PER_COMMIT]
                await self._async_store_batch_guarded(batch)

    async def _async_store_batch_guarded(self, batch: Batch) -> None:
        """Store a batch; an unexpected error gives its jobs the outcome `UNKNOWN`."""
        try:
            await self._async_store_batch(batch)
        except Exception:
            log_failure("admission_failed")
            _set_outcome(batch, UNKNOWN)

    async def _async_store_batch(self, batch: Batch) -> None:
        """Store a batch in one transaction; on a conflict, new jobs are queued again."""
        unique_jobs = {job.id: job for job, _future in batch}
        transaction = Transaction()
        for job in unique_jobs.values():
            transaction.expected[build_job_key(job.id)] = 0
            transaction.expected[build_progress_key(job.id)] = 0
            transaction.writes[build_job_key(job.id)] = (encode_definition(job), 0)
        try:
            revision = await self._store.async_commit(transaction)
        except StoreConflictError as err:
            self._resolve_conflict(batch, err)
        except StoreInvalidError as err:
            log_event("admission_refused", jobs=len(unique_jobs), error=err)
            if len(unique_jobs) == 1:
                _set_outcome(batch, UNSTORABLE)
                return
            for job_id in unique_jobs:
                await self._async_store_batch([row for row in batch if row[0].id == job_id])
        except StoreRefusedError as err:
            log_event("admission_refused", jobs=len(unique_jobs), error=err)
            _set_outcome(batch, REFUSED)
        except StoreUnknownError as err:
            log_event("admission_unanswered", jobs=len(unique_jobs), error=err)
            _set_outcome(batch, UNKNOWN)
        else:
            _set_outcome(batch, STORED, revision)

    def _resolve_conflict(self, batch: Batch, err: StoreConflictError) -> None:
        """Give existing jobs the outcome `REPEATED` or `VOIDED`, and queue the others again."""
        retried = []
        for job, future in batch:
            progress = err.items.get(build_progress_key(job.id))
            if progress is not None and progress.value == encode_void():
                _set_outcome([(job, future)], VOIDED)
            elif progress is not None or build_job_key(job.id) in err.items:
                _set_outcome([(job, future)], REPEATED)
            else:
                retried.append((job, future))
        self._waiting[:0] = retried
        self._job_queued.set()


def _set_outcome(batch: Batch, outcome: str, revision: int = 0) -> None:
    """Set the outcome of all requests of a batch."""
    for _job, future in batch:
        if not future.done():
            future.set_result((outcome, revision))
