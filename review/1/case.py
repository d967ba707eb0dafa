"""TWICE: after an outage of the store, a new leader starts again what a cut-off executor runs."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import OPEN, CannotRun, Cell, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
JOB = "5c0e7a21d94b36f8"
DOWN_S = 4.5
LEADER_DOWN_S = 5.5
"""The store refuses all machines for 4.5 s, and the one that led for 1 s more."""

CUT_AFTER_S = 4.2
CUT_S = 3.5


async def case(folder: Path, has_trouble: bool) -> bool:
    """Let the store be down, and cut one of eight executors off for 3.5 s at the end of that."""
    queue = {"name": "q", "prefix": "/scan/", "priority": 1, "maxAttempts": 4, "stretch": 2.0}
    cell = Cell(folder, 4, 8, [queue], has_trouble)
    try:
        await cell.start()
        await asyncio.sleep(3)
        leader = cell.store.find_owner()
        daemon = next(d for d in cell.daemons.values() if d.name != leader)
        step = {"count": 1, "cpu": 4000, "memMb": 2048, "estimateMs": 20000}
        await cell.submit(daemon, f"/scan/{JOB}", {"spec": "ms=20000", "steps": [step]})
        start = await cell.wait_for_start(JOB)
        if start is None:
            raise CannotRun("the task was not started")
        executor = cell.find_executor(start[3])
        # The outage begins 0.5 s after a report, so that the first one after it comes 1 s later.
        await asyncio.sleep(1)
        while not 0.5 < time.monotonic() - executor.beaten_at < 0.6:
            await asyncio.sleep(0.01)
        others = [name for name in cell.daemons if name != leader]
        store = cell.store
        await cell.disrupt(f"the store refuses all machines; {leader} leads", store.go_down)
        await asyncio.sleep(CUT_AFTER_S)
        await cell.disrupt(f"{executor.id} is cut off", executor.cut_off)
        await asyncio.sleep(DOWN_S - CUT_AFTER_S)
        text = f"the store serves all machines but {leader}"
        await cell.disrupt(text, lambda: store.come_back(others))
        await asyncio.sleep(LEADER_DOWN_S - DOWN_S)
        await cell.disrupt("the store serves all machines", lambda: store.set_paths([leader], OPEN))
        await asyncio.sleep(CUT_AFTER_S + CUT_S - LEADER_DOWN_S)
        await cell.disrupt(f"the cut of {executor.id} ends", executor.rejoin)
        await asyncio.sleep(5)
        cell.record.add(f"{leader} led; {cell.store.find_owner()} leads")
        state = (await cell.call(daemon, "GET", f"/scan/{JOB}"))[1].get("state", "")
        if not cell.twice and state != "running":
            raise CannotRun(f"the job is shown as {state or 'nothing'} while its task works")
        return bool(cell.twice)
    finally:
        await cell.stop()


if __name__ == "__main__":
    run_case(case, FOLDER)
