"""LOST: accepted jobs are shown as failed, though no run of them has ended `failed`."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import CannotRun, Cell, Daemon, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
BATCH_JOB = "5c0e7a21d94b36f8"
LASTING_JOB = "6d1f8b32ea5c47a9"
FINAL = ("done", "failed", "cancelled")
WARM_UP_S = 20.0
CRASH_AFTER_S = 1.0
DOWN_S = 2.0
"""Each crashed executor is back after this time, under its id and at its address."""

MOST_CRASHES = 3
WATCH_S = 10.0


async def watch_job(cell: Cell, daemon: Daemon, job: str, crashes: int) -> str:
    """Crash the executor of a job's only task, one of 24, one crash after the other."""
    seen, state = 0.0, ""
    for _ in range(crashes):
        start = await cell.wait_for_start(job, seen, 12.0)
        if start is None:
            break
        seen = start[0]
        await asyncio.sleep(CRASH_AFTER_S)
        executor = cell.find_executor(start[3])
        await executor.crash()
        await asyncio.sleep(DOWN_S)
        await executor.boot()
        await asyncio.sleep(0.5)
        state = (await cell.call(daemon, "GET", f"/scan/{job}"))[1].get("state", "")
        if state in FINAL:
            return state
    deadline = cell.record.now + WATCH_S
    while cell.record.now < deadline and state not in FINAL:
        await asyncio.sleep(1)
        state = (await cell.call(daemon, "GET", f"/scan/{job}"))[1].get("state", "")
    return state


async def case(folder: Path, has_trouble: bool) -> bool:
    """Crash the executor of a sound batch job, then that of a sound lasting job."""
    queue = {"name": "q", "prefix": "/scan/", "priority": 1, "maxAttempts": 4, "stretch": 2.0}
    cell = Cell(folder, 3, 24, [queue])
    try:
        await cell.start()
        await asyncio.sleep(WARM_UP_S)
        daemon = next(iter(cell.daemons.values()))
        crashes = MOST_CRASHES if has_trouble else 0
        shape = {"count": 1, "cpu": 4000, "memMb": 2048}
        batch = {"spec": "ms=6000", "steps": [{**shape, "estimateMs": 6000}]}
        await cell.submit(daemon, f"/scan/{BATCH_JOB}", batch)
        states = {BATCH_JOB: await watch_job(cell, daemon, BATCH_JOB, crashes)}
        lasting = {"spec": "lasts", "steps": [{**shape, "longRunning": True, "estimateMs": 500}]}
        await cell.submit(daemon, f"/scan/{LASTING_JOB}", lasting)
        states[LASTING_JOB] = await watch_job(cell, daemon, LASTING_JOB, crashes)
        for job, state in states.items():
            ends = [end[4] for end in cell.ends if end[1].startswith(job)]
            cell.record.add(f"job {job} is shown as {state}; its runs ended: {ends}")
        if not all(states.values()):
            raise CannotRun("a job's state could not be read")
        return "failed" in states.values() and not any(end[4] == "failed" for end in cell.ends)
    finally:
        await cell.stop()


if __name__ == "__main__":
    run_case(case, FOLDER)
