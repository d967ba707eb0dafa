"""TWICE: tasks are started again after their runs have ended `done`, as a new leader reads 500."""

from __future__ import annotations

import asyncio
from pathlib import Path
import signal
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import CannotRun, Cell, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
JOB = "5c0e7a21d94b36f8"
TASKS = 4500
WORK_S = 15.0
"""The tasks work until the same time of day, this long after the job was sent."""

BOOT_S = 2.0


async def case(folder: Path, has_trouble: bool) -> bool:
    """Kill the leader shortly before the tasks of a wide step end."""
    queue = {"name": "q", "prefix": "/batch/", "priority": 1, "maxAttempts": 4, "stretch": 4.0}
    cell = Cell(folder, 3, 3, [queue], has_trouble)
    try:
        await cell.start()
        await asyncio.sleep(3)
        leader = cell.daemons[cell.store.find_owner()]
        other = next(d for d in cell.daemons.values() if d is not leader)
        step = {"count": TASKS, "cpu": 10, "memMb": 4, "estimateMs": int(WORK_S * 1000)}
        end_at = cell.record.now + WORK_S
        spec = f"until={int((time.time() + WORK_S) * 1000)}"
        await cell.submit(other, f"/batch/{JOB}", {"spec": spec, "steps": [step]})
        while len(cell.starts) < TASKS:
            if cell.record.now > end_at - 1.0:
                raise CannotRun("the tasks are started too slowly")
            await asyncio.sleep(0.05)
        cell.record.add(f"{len(cell.starts)} tasks are started")
        await asyncio.sleep(end_at - 0.3 - cell.record.now)
        await cell.disrupt(
            f"{leader.name}, the leader, is killed", lambda: leader.send_signal(signal.SIGKILL)
        )
        await asyncio.sleep(BOOT_S)
        await cell.disrupt(f"{leader.name} is started again", leader.start)
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
        if not restarts and state != "done":
            raise CannotRun(f"the job is shown as {state or 'nothing'} at the end")
        return bool(restarts)
    finally:
        await cell.stop()


if __name__ == "__main__":
    run_case(case, FOLDER)
