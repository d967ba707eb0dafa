"""TWICE: tasks are started again after their runs have ended `done`, as a new leader reads 500."""

from __future__ import annotations

import asyncio
from pathlib import Path
import signal
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import CannotRun, Cell, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
JOB = "5c0e7a21d94b36f8"
TASKS = 4500
WORK_MS = 8000


async def case(folder: Path, has_trouble: bool) -> bool:
    """Kill the leader shortly before the tasks of a wide step end."""
    queue = {"name": "q", "prefix": "/batch/", "priority": 1, "maxAttempts": 4, "stretch": 4.0}
    cell = Cell(folder, 3, 3, [queue])
    try:
        await cell.start()
        await asyncio.sleep(3)
        leader = cell.daemons[cell.store.find_owner()]
        other = next(d for d in cell.daemons.values() if d is not leader)
        step = {"count": TASKS, "cpu": 10, "memMb": 4, "estimateMs": WORK_MS}
        await cell.submit(other, f"/batch/{JOB}", {"spec": f"ms={WORK_MS}", "steps": [step]})
        if await cell.wait_for_start(JOB) is None:
            raise CannotRun("no task was started")
        first_at = cell.starts[0][0]
        while len(cell.starts) < TASKS:
            if cell.record.now > first_at + WORK_MS / 1000 - 0.3:
                raise CannotRun("the tasks are started too slowly")
            await asyncio.sleep(0.05)
        cell.record.add(f"{len(cell.starts)} tasks are started")
        await asyncio.sleep(first_at + WORK_MS / 1000 - 0.2 - cell.record.now)
        if has_trouble:
            cell.record.add(f"{leader.name}, the leader, is killed")
            leader.send_signal(signal.SIGKILL)
            await asyncio.sleep(2.0)
            leader.start()
        state = ""
        deadline = cell.record.now + 40
        while state != "done" and cell.record.now < deadline:
            await asyncio.sleep(1)
            _status, answer = await cell.call(other, "GET", f"/batch/{JOB}")
            state = answer.get("state", "")
        restarts = cell.list_restarts()
        cell.record.add(f"{len(restarts)} tasks started again after an end that was noted")
        for text in restarts[:20]:
            cell.record.add(text)
        return bool(restarts)
    finally:
        await cell.stop()


if __name__ == "__main__":
    run_case(case, FOLDER)
