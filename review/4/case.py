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
    cell = Cell(folder, 4, 6, [queue], has_trouble)
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
        # Of equal machines that which joined last claims first.
        next_leader = [n for n in cell.store.list_members() if n != leader][-1]

        def set_cuts(mode: str, cut_from: set[str]) -> None:
            cell.store.set_paths([leader], mode)
            executor.cut_from = cut_from

        cuts = f"{leader} from the store, {executor.id} from {next_leader}"
        await cell.disrupt(f"cut: {cuts}", lambda: set_cuts(SILENT, {next_leader}))
        await asyncio.sleep(CUT_S)
        await cell.disrupt("both cuts heal", lambda: set_cuts(OPEN, set()))
        await asyncio.sleep(8)
        state = (await cell.call(cell.daemons[next_leader], "GET", f"/scan/{JOB}"))[1].get("state")
        if not cell.twice and state != "running":
            raise CannotRun(f"the job is shown as {state or 'nothing'} while its task works")
        return bool(cell.twice)
    finally:
        await cell.stop()


if __name__ == "__main__":
    run_case(case, FOLDER)
