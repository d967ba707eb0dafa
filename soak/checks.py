"""Checks of the soak test after the last fault, when all is calm.

They report LOST and UNASKED as the history checker does, and ACKS for late confirmations.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final

from soak.callers import Caller, get_prefixes
from soak.cell import Cell
from wasabiramp.model.entry.checker import HistoryChecker, JobRecord

FINISH_S: Final = 14.0
"""Time after the last fault within which lasting tasks are at work again (`finish_s`)."""

STOPPED_S: Final = 3.4
"""Time after which no task of a cancelled job runs (`cancel_ms` and `stopMs`)."""

CONFIRM_S: Final = 4.0
MIN_LATE_CANCELS: Final = 3
MAX_LATE_SHARE: Final = 0.1
"""Time within which a cancel is confirmed in a calm cell (`ackMs`), and how many may be late."""

CANCEL_ATTEMPTS: Final = 20
"""Calls that cancel a job at the end, each at any daemon."""

POLL_S: Final = 0.1


def list_lasting_jobs(checker: HistoryChecker) -> dict[str, JobRecord]:
    """Return the accepted jobs with lasting tasks whose cancel nobody has confirmed."""
    return {
        job_id: record
        for job_id, record in checker.jobs.items()
        if record.accepted_at is not None
        and record.cancel_acked_at is None
        and any(step.is_lasting for step in record.definition.steps)
    }


def _list_idle_tasks(checker: HistoryChecker) -> list[str]:
    """Return the lasting tasks that should be at work and have no run."""
    return [
        f"{job_id}.0.{number}.{index}"
        for job_id, record in list_lasting_jobs(checker).items()
        for number, step in enumerate(record.definition.steps)
        for index in range(step.count)
        if step.is_lasting
        and record.cancel_asked_at is None
        and not checker.running.get(f"{job_id}.0.{number}.{index}")
    ]


async def async_check_lasting_tasks(checker: HistoryChecker) -> None:
    """Wait until all lasting tasks are at work, and report those that are not in time."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + FINISH_S
    while (idle := _list_idle_tasks(checker)) and loop.time() < deadline:
        await asyncio.sleep(POLL_S)
    for task in idle:
        checker.report(f"LOST {task}: not at work {FINISH_S:.0f} s after the last fault")


async def async_cancel_lasting_jobs(cell: Cell, checker: HistoryChecker, random: Random) -> None:
    """Cancel the jobs that otherwise go on, and check how soon that is confirmed."""
    prefixes = get_prefixes(checker)
    jobs = list_lasting_jobs(checker)
    began_at = asyncio.get_running_loop().time()

    async def async_cancel(job_id: str, record: JobRecord) -> None:
        caller = Caller(cell, checker, random)
        await caller.async_cancel(prefixes[job_id] + job_id, record, CANCEL_ATTEMPTS)
        await caller.async_close()

    await asyncio.gather(*(async_cancel(job_id, record) for job_id, record in jobs.items()))
    check_confirmations(checker, list(jobs.values()), began_at)


def check_confirmations(checker: HistoryChecker, records: list[JobRecord], began_at: float) -> None:
    """Report cancels in a calm cell that were not confirmed, or too many that were late."""
    late = 0
    for record in records:
        if record.cancel_acked_at is None:
            checker.report(f"LOST {record.definition.id}: its cancel is not confirmed")
        late += record.cancel_acked_at is None or record.cancel_acked_at > began_at + CONFIRM_S
    if late >= MIN_LATE_CANCELS and late > len(records) * MAX_LATE_SHARE:
        checker.report(f"ACKS {late} of {len(records)} cancels took over {CONFIRM_S:.0f} s")


async def async_check_cancelled_jobs(checker: HistoryChecker) -> None:
    """Report the tasks of cancelled jobs that still run after the time in which they stop."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + STOPPED_S
    while (left := _list_cancelled_runs(checker)) and loop.time() < deadline:
        await asyncio.sleep(POLL_S)
    for task in left:
        checker.report(f"UNASKED {task}: runs on after its job was cancelled")


def _list_cancelled_runs(checker: HistoryChecker) -> list[str]:
    """Return the tasks of cancelled jobs that run."""
    return [
        task
        for task, runs in checker.running.items()
        if runs and checker.jobs[task.partition(".")[0]].cancel_acked_at is not None
    ]


async def async_check_open_calls(cell: Cell) -> None:
    """Report the calls that have no answer although their daemon's process lives."""
    for call in cell.open_calls:
        if call.is_forgotten:
            cell.platform.checker.report(f"LOST {call.name}: no answer from a daemon that runs")
        await call.async_close()
