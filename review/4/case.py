"""TWICE: one task runs on two executors that are up, each under another leader."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import OPEN, SILENT, CannotRun, Cell, run_case  # noqa: E402

FOLDER = Path(__file__).resolve().parent
JOB = "7e20ac43fb6d58ba"
CUT_S = 5.5


async def case(folder: Path, has_trouble: bool) -> bool:
    """Cut the leader from the store, and one executor from one other machine, for 5.5 s."""
    queue = {"name": "q", "prefix": "/scan/", "priority": 1, "maxAttempts": 4, "stretch": 2.0}
    cell = Cell(folder, 4, 6, [queue])
    try:
        await cell.start()
        await asyncio.sleep(3)
        leader = cell.store.find_owner()
        step = {"count": 1, "cpu": 4000, "memMb": 2048, "estimateMs": 20000}
        body = {"spec": "ms=20000", "steps": [step]}
        await cell.submit(cell.daemons[leader], f"/scan/{JOB}", body)
        start = await cell.wait_for_start(JOB)
        if start is None:
            raise CannotRun("the task was not started")
        if start[4] != leader:
            raise CannotRun("the machine that made a connection could not be found")
        executor = cell.find_executor(start[3])
        await asyncio.sleep(3)
        if has_trouble:
            # Of equal machines that which joined last claims first.
            next_leader = [n for n in cell.store.list_members() if n != leader][-1]
            cell.record.add(f"cut: {leader} from the store, {executor.id} from {next_leader}")
            cell.store.path_mode[leader] = SILENT
            executor.cut_from = {next_leader}
            await asyncio.sleep(CUT_S)
            cell.store.path_mode[leader] = OPEN
            executor.cut_from = set()
            cell.record.add("both cuts heal")
        await asyncio.sleep(8)
        return bool(cell.twice)
    finally:
        await cell.stop()


if __name__ == "__main__":
    run_case(case, FOLDER)
