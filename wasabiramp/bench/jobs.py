"""Benchmark of jobs on a running cell: task rate, waits of urgent jobs and store writes."""

from __future__ import annotations

import asyncio
from typing import Any, Final

import aiohttp

from wasabiramp.core.records import record

BATCH_JOBS: Final = 1000
URGENT_JOBS: Final = 60
GANG_JOBS: Final = 20
JOBS_PER_CALL: Final = 100
TIMEOUT_S: Final = 90.0
"""Time limit for the start of an urgent job and for the whole run."""


@record
class JobsResult:
    """Result of a run of jobs, beside its targets."""

    jobs: int
    tasks: int
    seconds: float
    tasks_per_second: float
    urgent_p99_s: float
    urgent_target_s: float
    writes: int
    writes_per_100_jobs: float
    writes_target: float


def _build_job(kind: str, index: int, spec: dict[str, Any]) -> dict[str, Any]:
    """Return a job of one of two teams, which alternate."""
    team = "rims" if index % 2 else "gala"
    return {"metadata": {"name": f"{kind}-{index}", "team": team}, "spec": spec}


async def _async_submit(
    session: aiohttp.ClientSession, daemon: str, jobs: list[dict[str, Any]]
) -> None:
    """Submit jobs in one call; raises RuntimeError if the call is refused."""
    async with session.post(f"http://{daemon}/v1/jobs", json={"items": jobs}) as answer:
        if answer.status not in (200, 202):
            raise RuntimeError(await answer.text())


async def _async_count_unfinished(session: aiohttp.ClientSession, daemon: str) -> int:
    """Return the number of jobs of both teams that have not ended."""
    count = 0
    for team in ("rims", "gala"):
        async with session.get(f"http://{daemon}/v1/teams/{team}/jobs") as answer:
            items = (await answer.json())["items"]
        count += sum(item["status"]["phase"] in ("Pending", "Running") for item in items)
    return count


async def _async_count_writes(session: aiohttp.ClientSession, store: str) -> int:
    """Return the number of writes that the store has received."""
    async with session.get(f"http://{store}/calls") as answer:
        return (await answer.json()).get("write", 0)


async def _async_time_urgent(session: aiohttp.ClientSession, daemon: str, index: int) -> float:
    """Submit an urgent job and return the seconds until it starts, at most TIMEOUT_S."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    job = _build_job("urgent", index, {"work_class": "urgent", "payload": {"run_s": 0.05}})
    await _async_submit(session, daemon, [job])
    team, name = job["metadata"]["team"], job["metadata"]["name"]
    while loop.time() < start + TIMEOUT_S:
        async with session.get(f"http://{daemon}/v1/teams/{team}/jobs/{name}") as answer:
            phase = (await answer.json())["status"]["phase"] if answer.status == 200 else ""
        if phase not in ("", "Pending"):
            return loop.time() - start
        await asyncio.sleep(0.02)
    return TIMEOUT_S


async def async_run_jobs(daemons: list[str], store: str, seed: int) -> list[JobsResult]:
    """Submit short batch jobs and gang jobs, then urgent jobs one by one while those run."""
    loop = asyncio.get_running_loop()
    batch = {"cores": 1, "memory_mb": 1024, "payload": {"run_s": 0.5}}
    gang = {"tasks": 8, "cores": 2, "memory_mb": 2048, "gang": True, "work_class": "gang"}
    async with aiohttp.ClientSession() as session:
        writes_before = await _async_count_writes(session, store)
        start = loop.time()
        jobs = [_build_job("batch", index, batch) for index in range(BATCH_JOBS)]
        jobs += [_build_job("gang", index, gang) for index in range(GANG_JOBS)]
        for first in range(0, len(jobs), JOBS_PER_CALL):
            daemon = daemons[(first // JOBS_PER_CALL + seed) % len(daemons)]
            await _async_submit(session, daemon, jobs[first : first + JOBS_PER_CALL])
        waits_s = [
            await _async_time_urgent(session, daemons[index % len(daemons)], index)
            for index in range(URGENT_JOBS)
        ]
        while (
            await _async_count_unfinished(session, daemons[0]) and loop.time() < start + TIMEOUT_S
        ):
            await asyncio.sleep(0.1)
        seconds = loop.time() - start
        writes = await _async_count_writes(session, store) - writes_before
    count = BATCH_JOBS + GANG_JOBS + URGENT_JOBS
    tasks = BATCH_JOBS + GANG_JOBS * gang["tasks"] + URGENT_JOBS
    ordered = sorted(waits_s)
    return [
        JobsResult(
            count,
            tasks,
            round(seconds, 2),
            round(tasks / seconds, 1),
            round(ordered[int(len(ordered) * 0.99)], 3),
            1.5,
            writes,
            round(100 * writes / count, 2),
            2.0,
        )
    ]
