"""A task that crashes each executor that starts it, before the start is answered."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import sys

import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_in_2 import Cell, async_run_case  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEADLY_S = 0
DOWN_S = 2.0
PLAY_S = 80.0
JOB = "00000000000000aa"


def build_job() -> dict[str, object]:
    """Return a job with one task."""
    spec: dict[str, object] = {"work_s": 1.0}
    if HAS_TROUBLE:
        spec["deadly_s"] = DEADLY_S
    step = {
        "count": 1,
        "cpu": 1000,
        "memMb": 1000,
        "estimateMs": 1000,
    }
    return {"spec": orjson.dumps(spec).decode(), "steps": [step]}


async def async_play(cell: Cell) -> list[str]:
    """Play the case until the rule is broken, the job has ended, or the time is over."""
    await cell.start(daemons=4, executors=8, cpu=64_000, down_s=DOWN_S, first_report_s=(0.0, 0.02))
    await cell.submit(JOB, build_job())
    until = cell.record.now() + PLAY_S
    while cell.record.now() < until and not cell.judge.breaches:
        await asyncio.sleep(1.0)
        _status, shown = await cell.call("GET", JOB)
        if shown.get("state") in ("done", "failed"):
            break
    return cell.judge.breaches


if __name__ == "__main__":
    sys.exit(asyncio.run(async_run_case(Path(__file__).resolve().parent, async_play)))
