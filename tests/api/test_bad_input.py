"""Tests of the HTTP API: invalid requests, and answers of faulty or slow executors.

An invalid request gets an error that names its fault, and the daemon keeps serving.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import uvloop

from wasabiramp.cli.cell import Cell, CellPlan, LocalCell, async_apply, async_wait_ready

BASE = "/apis/wasabiramp/v1"
BAD_REQUESTS: list[tuple[str, str, Any, int, str]] = [
    ("POST", "/v1/jobs", b'{"metadata": {"name": "a"', 400, "body"),
    ("POST", "/v1/jobs", b'{"metadata": {}, "metadata": {}}', 400, "metadata"),
    ("POST", "/v1/jobs", b'{"spec": NaN}', 400, "body"),
    ("POST", "/v1/jobs", b"[]", 400, "body"),
    ("POST", "/v1/jobs", b"\xff\xfe", 400, "body"),
    ("POST", "/v1/jobs", b"x" * 10_000_000, 413, "body"),
    ("POST", "/v1/jobs", {"metadata": {"name": "../x", "team": "rims"}}, 400, "metadata.name"),
    ("POST", "/v1/jobs", {"metadata": {"name": "a"}}, 400, "metadata.team"),
    ("POST", "/v1/jobs", {"kind": "Pod", "metadata": {}}, 400, "kind"),
    ("POST", "/v1/jobs", {"items": []}, 400, "items"),
    (
        "POST",
        "/v1/jobs",
        {"metadata": {"name": "a", "team": "rims"}, "spec": {"cores": -1}},
        400,
        "spec.cores",
    ),
    (
        "POST",
        "/v1/jobs",
        {"metadata": {"name": "a", "team": "rims"}, "spec": {"tasks": "many"}},
        400,
        "spec.tasks",
    ),
    (
        "POST",
        "/v1/jobs",
        {"metadata": {"name": "a", "team": "rims"}, "spec": {"cores": 65}},
        422,
        "trusted workers",
    ),
    (
        "POST",
        "/v1/jobs",
        {"metadata": {"name": "a", "team": "nobody"}},
        422,
        "spec.team",
    ),
    ("PUT", f"{BASE}/teams/rims", {"metadata": {"name": "gala"}, "spec": {}}, 400, "metadata.name"),
    (
        "PUT",
        f"{BASE}/teams/rims",
        {"metadata": {"name": "rims"}, "spec": {"cores": True}},
        400,
        "spec.cores",
    ),
    (
        "PUT",
        f"{BASE}/teams/rims",
        {"metadata": {"name": "rims"}, "spec": {"colour": 1}},
        400,
        "spec.colour",
    ),
    (
        "PUT",
        f"{BASE}/teams/rims",
        {"metadata": {"name": "rims", "resourceVersion": "x"}, "spec": {}},
        400,
        "metadata.resourceVersion",
    ),
    (
        "PUT",
        f"{BASE}/teams/rims",
        {"metadata": {"name": "rims", "resourceVersion": "1"}, "spec": {}},
        409,
        "metadata.resourceVersion",
    ),
    ("PUT", f"{BASE}/pods/a", {}, 400, "kind"),
    ("GET", f"{BASE}/teams/..%2f..%2fetc", None, 404, "does not exist"),
    ("DELETE", f"{BASE}/teams/none", None, 404, "does not exist"),
    ("GET", "/v1/teams/rims/jobs/none", None, 404, "not found"),
    ("POST", "/v1/services/none/requests", b"x", 404, "unknown"),
    ("GET", "/nothing", None, 404, "Not Found"),
]


def run_check_in_cell(
    check_cell: Callable[[LocalCell, aiohttp.ClientSession, str], Awaitable[None]],
) -> None:
    """Run a check against one daemon and its stand-ins on a single event loop."""

    async def async_main() -> None:
        local_cell = LocalCell(Cell(CellPlan(executors=1, workers=2)))
        await local_cell.async_start(1)
        address = local_cell.list_addresses()[0]
        async with aiohttp.ClientSession() as session:
            try:
                await async_wait_ready(session, [address], 0)
                await async_apply(session, address, local_cell.cell.list_resources())
                await async_wait_ready(session, [address], 3)
                await check_cell(local_cell, session, f"http://{address}")
            finally:
                await local_cell.async_stop()

    uvloop.run(async_main())


class TestBadInput:
    """Every route refuses an invalid request, names its fault and changes no state."""

    def test_bad_requests_are_refused(self) -> None:
        async def async_check(local_cell: LocalCell, session: Any, url: str) -> None:
            resources_before = dict(local_cell.daemons[0].runtime.reducer.state.intent.resources)
            for method, path, body, status, expected_text in BAD_REQUESTS:
                data = {"data": body} if isinstance(body, bytes) else {"json": body}
                target = aiohttp.client.URL(url + path, encoded=True)
                async with session.request(method, target, **data) as response:
                    text = await response.text()
                    assert response.status == status, (method, path, str(body)[:80], text)
                    assert expected_text in text, (method, path, text)
                    assert "Traceback" not in text
            state = local_cell.daemons[0].runtime.reducer.state
            assert state.intent.resources == resources_before
            assert not any(
                partition_state.jobs for partition_state in state.jobs.partitions.values()
            )

        run_check_in_cell(async_check)

    def test_bad_headers_are_refused(self) -> None:
        async def async_check(_local_cell: LocalCell, session: Any, url: str) -> None:
            path = f"{url}/v1/services/quotes/requests"
            for name, value in (
                ("X-Deadline-S", "soon"),
                ("X-Deadline-S", "nan"),
                ("X-Deadline-S", "-1"),
                ("X-Idempotent", "maybe"),
                ("X-Request-Key", "k" * 201),
            ):
                async with session.post(path, data=b"x", headers={name: value}) as response:
                    assert response.status == 400
                    assert name in await response.text()

        run_check_in_cell(async_check)


class TestAnswers:
    """Callers get the complete answer to their own request, or a may-have-run verdict."""

    def test_swapped_or_truncated_answer_gives_may_have_run(self) -> None:
        async def async_check(local_cell: LocalCell, session: Any, url: str) -> None:
            executor = local_cell.cell.executors["executor-1"]
            path = f"{url}/v1/services/quotes/requests"
            for fault in ("swap_ids", "truncate"):
                setattr(executor.faults, fault, 1.0)
                async with session.post(path, data=b"mine") as response:
                    assert response.headers["X-Verdict"] == "may-have-run", fault
                setattr(executor.faults, fault, 0.0)
                await asyncio.sleep(3.0)

        run_check_in_cell(async_check)

    def test_answers_out_of_order_reach_their_callers(self) -> None:
        async def async_check(local_cell: LocalCell, session: Any, url: str) -> None:
            path = f"{url}/v1/services/quotes/requests"

            async def async_send(index: int) -> None:
                async with session.post(path, data=f"body-{index}".encode()) as response:
                    assert await response.read() == f"done:body-{index}".encode()

            local_cell.cell.executors["executor-1"].variation = 1.5
            await asyncio.gather(*(async_send(index) for index in range(60)))

        run_check_in_cell(async_check)
