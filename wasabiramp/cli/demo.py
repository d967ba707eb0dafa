"""The `demo` command: a cell in one process that runs each kind of work."""

from __future__ import annotations

import asyncio
import signal
from typing import Any

import aiohttp

from wasabiramp.cli.cell import (
    HOST,
    Cell,
    CellPlan,
    LocalCell,
    async_apply,
    async_wait_ready,
)

JOB_TIMEOUT_S = 20.0


async def async_run_demo(serve: bool, port: int) -> bool:
    """Run the demo and return whether each kind of work succeeded."""
    local_cell = LocalCell(Cell(CellPlan()))
    changes = {"api_address": f"{HOST}:{port}"} if port else {}
    await local_cell.async_start(1, **changes)
    address = local_cell.list_addresses()[0]
    async with aiohttp.ClientSession() as session:
        try:
            await async_wait_ready(session, [address], 0)
            resources = local_cell.cell.list_resources()
            await async_apply(session, address, resources)
            await async_wait_ready(session, [address], 5)
            ok = await _async_send_demo_work(session, address)
            if serve:
                print(f"serving on http://{address}, stop with Ctrl-C", flush=True)
                await _async_wait_signal()
            return ok
        finally:
            await local_cell.async_stop()


async def _async_wait_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


async def _async_send_demo_work(session: aiohttp.ClientSession, address: str) -> bool:
    """Send a request, a batch job and an all-or-nothing job, and print their verdicts.

    Return whether all of them succeeded.
    """
    headers = {"X-Team": "rims", "X-Request-Key": "quote-1"}
    url = f"http://{address}/v1/services/quotes/requests"
    async with session.post(url, data=b"rim 4711", headers=headers) as answer:
        verdict = answer.headers["X-Verdict"]
        print(f"request quotes: verdict={verdict} body={(await answer.read()).decode()}")
    batch = {"tasks": 4, "cores": 2, "memory_mb": 512}
    gang = {"tasks": 6, "cores": 16, "memory_mb": 4096, "gang": True, "work_class": "gang"}
    has_succeeded = verdict == "ran"
    for name, spec in (("overnight-scans", batch), ("heat-sheets", gang)):
        phase = await async_run_job(session, address, name, "gala", spec)
        print(f"job {name}: verdict={'ran' if phase == 'Succeeded' else phase} phase={phase}")
        has_succeeded = has_succeeded and phase == "Succeeded"
    return has_succeeded


async def async_run_job(
    session: aiohttp.ClientSession, address: str, name: str, team: str, spec: dict[str, Any]
) -> str:
    """Submit a job and return its last phase within JOB_TIMEOUT_S.

    Raises RuntimeError if the job is refused.
    """
    body = {"metadata": {"name": name, "team": team}, "spec": spec}
    async with session.post(f"http://{address}/v1/jobs", json=body) as answer:
        if answer.status not in (200, 202):
            raise RuntimeError(f"job {name}: {await answer.text()}")
    url = f"http://{address}/v1/teams/{team}/jobs/{name}"
    deadline = asyncio.get_running_loop().time() + JOB_TIMEOUT_S
    phase = "Pending"
    while asyncio.get_running_loop().time() < deadline:
        async with session.get(url) as answer:
            if answer.status == 200:
                phase = (await answer.json())["status"]["phase"]
        if phase in ("Succeeded", "Failed", "Cancelled"):
            break
        await asyncio.sleep(0.05)
    return phase
