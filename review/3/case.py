"""TWICE: a new leader drops `done` ends of a repeated job, and starts those tasks again."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import OPEN, SILENT, CannotRun, Cell, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
JOB = "9a42ce651d8f70dc"
CUT_S = 5.0
INTERVAL_MS = 150
TIMES = 100
WORK_MS = 100


async def case(folder: Path, has_trouble: bool) -> bool:
    """Cut the leader from the store for 5 s while a job is due each 0.15 s."""
    queue = {"name": "q", "prefix": "/stock/", "priority": 1, "maxAttempts": 4, "stretch": 4.0}
    cell = Cell(folder, 4, 6, [queue], has_trouble)
    try:
        await cell.start()
        await asyncio.sleep(3)
        leader = cell.store.find_owner()
        daemon = next(d for d in cell.daemons.values() if d.name != leader)
        step = {"count": 4, "cpu": 500, "memMb": 256, "estimateMs": WORK_MS, "antiAffinity": 1}
        body = {
            "spec": f"ms={WORK_MS}",
            "steps": [step],
            "repeatCount": TIMES,
            "firstMs": int(time.time() * 1000) + 500,
            "intervalMs": INTERVAL_MS,
        }
        await cell.submit(daemon, f"/stock/{JOB}", body)
        await asyncio.sleep(4)
        path = f"the path of {leader} to the store"
        await cell.disrupt(f"{path} is cut", lambda: cell.store.set_paths([leader], SILENT))
        await asyncio.sleep(CUT_S)
        await cell.disrupt(f"{path} is back", lambda: cell.store.set_paths([leader], OPEN))
        state, deadline = "", cell.record.now + 40
        while state != "done" and cell.record.now < deadline:
            await asyncio.sleep(1)
            state = (await cell.call(daemon, "GET", f"/stock/{JOB}"))[1].get("state", "")
        restarts = cell.list_restarts()
        cell.record.add(f"{len(restarts)} tasks started again after an end that was noted")
        for text in restarts[:20]:
            cell.record.add(text)
        is_broken = bool(restarts or cell.twice)
        if not is_broken and state != "done":
            raise CannotRun(f"the job is shown as {state or 'nothing'} at the end")
        return is_broken
    finally:
        await cell.stop()


if __name__ == "__main__":
    run_case(case, FOLDER)
