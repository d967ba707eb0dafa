"""HTTP applications of the stand-ins.

Each serves `POST /faults`, which sets its faults.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

from aiohttp import web
import orjson

from stand_ins.executor import Executor
from stand_ins.instances import InstanceList
from stand_ins.store import MAX_VALUE_BYTES, Store, describe_item
from stand_ins.worker import Worker

MAX_REQUEST_BYTES = 4_000_000
"""Largest body of a request to the store, an executor or a worker; above `MAX_VALUE_BYTES`."""


def _reply(value: Any, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(body=orjson.dumps(value), status=status, content_type="application/json")


async def _read_json(request: web.Request) -> Any:
    """Return the parsed JSON body of a request."""
    return orjson.loads(await request.read())


def _get_clock_s() -> float:
    """Return the time of the stand-in's clock, in seconds."""
    return asyncio.get_running_loop().time()


def _abort_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request, so that the response returned is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


def _add_faults_route(app: web.Application, faults: Any) -> None:
    """Add the route `POST /faults`, which sets the named fields of the faults."""

    async def async_set_faults(request: web.Request) -> web.Response:
        for name, value in (await _read_json(request)).items():
            if not hasattr(faults, name):
                return _reply({"error": f"unknown fault {name}"}, 400)
            setattr(faults, name, value)
        return _reply({})

    app.router.add_post("/faults", async_set_faults)


def make_store_app(store: Store, seed: int = 1) -> web.Application:
    """Return the application of the key-value store; `seed` decides which answers are lost."""
    random = Random(seed)
    changed = asyncio.Event()

    async def async_check_call(kind: str) -> web.Response | None:
        """Count and delay a call, and return the refusal if the store is down or over its limit."""
        if store.faults.down:
            return _reply({"error": "the service is down"}, 503)
        if not store.count_call(kind, _get_clock_s()):
            return _reply({"error": "over the rate limit"}, 429)
        if store.faults.delay_s:
            await asyncio.sleep(store.faults.delay_s)
        return None

    async def async_list(request: web.Request) -> web.Response:
        body = await _read_json(request)
        refusal = await async_check_call("read")
        if refusal is not None:
            return refusal
        items, revision = store.list_items(_get_clock_s(), body["prefix"], body.get("after", 0))
        return _reply({"items": [describe_item(item) for item in items], "revision": revision})

    async def async_swap(request: web.Request) -> web.Response:
        body = await _read_json(request)
        refusal = await async_check_call("write")
        if refusal is not None:
            return refusal
        value = body["value"]
        if value is not None and len(value) > MAX_VALUE_BYTES:
            return _reply({"error": "the value is over a megabyte"}, 413)
        is_written, item = store.swap(
            _get_clock_s(), body["key"], value, body["expect"], body.get("lease", "")
        )
        if is_written:
            changed.set()
        if random.random() < store.faults.lose_answers:
            return _abort_connection(request)
        return _reply({"ok": is_written, **describe_item(item)})

    async def async_watch(request: web.Request) -> web.Response:
        body = await _read_json(request)
        refusal = await async_check_call("watch")
        if refusal is not None:
            return refusal
        deadline = _get_clock_s() + min(60.0, body["timeout_s"])
        while True:
            changes = store.list_changes(body["prefix"], body["after"])
            if store.faults.down:
                return _reply({"error": "the service is down"}, 503)
            if (changes and not store.faults.watch_stalled) or _get_clock_s() >= deadline:
                if store.faults.watch_stalled:
                    changes = []
                revision = store.revision if not store.faults.watch_stalled else body["after"]
                items = [describe_item(item) for item in changes]
                return _reply({"items": items, "revision": revision})
            changed.clear()
            try:
                # Poll every 0.25 s or sooner: faults and expired leases do not set the event.
                await asyncio.wait_for(
                    changed.wait(), max(0.001, min(0.25, deadline - _get_clock_s()))
                )
            except TimeoutError:
                continue

    async def async_grant_lease(request: web.Request) -> web.Response:
        body = await _read_json(request)
        refusal = await async_check_call("write")
        if refusal is not None:
            return refusal
        store.grant_lease(_get_clock_s(), body["lease"], body["ttl_s"])
        return _reply({})

    async def async_get_calls(_request: web.Request) -> web.Response:
        return _reply(store.calls)

    app = web.Application(client_max_size=MAX_REQUEST_BYTES)
    app.router.add_post("/list", async_list)
    app.router.add_post("/swap", async_swap)
    app.router.add_post("/watch", async_watch)
    app.router.add_post("/lease", async_grant_lease)
    app.router.add_get("/calls", async_get_calls)
    _add_faults_route(app, store.faults)
    return app


def make_instances_app(instances: InstanceList) -> web.Application:
    """Return the application of the instance list."""

    async def async_list(_request: web.Request) -> web.Response:
        if instances.down:
            return _reply({"error": "the list is down"}, 503)
        listed = instances.read(_get_clock_s())
        return _reply([{"name": name, "state": state} for name, state in listed.items()])

    async def async_set_state(request: web.Request) -> web.Response:
        body = await _read_json(request)
        instances.set_state(_get_clock_s(), body["name"], body["state"])
        return _reply({})

    app = web.Application()
    app.router.add_get("/instances", async_list)
    app.router.add_post("/instances", async_set_state)
    _add_faults_route(app, instances)
    return app


def make_executor_app(executor: Executor, seed: int = 1) -> web.Application:
    """Return the application of an executor; `seed` decides which requests fail."""
    random = Random(seed)

    async def async_run(request: web.Request) -> web.Response:
        body = await request.read()
        call_id = request.headers.get("X-Call-Id", "")
        start_by_s = float(request.headers.get("X-Start-By", "0"))
        faults = executor.faults
        if faults.down:
            return _abort_connection(request)
        if random.random() < faults.refuse:
            return _reply({"error": "refused"}, 503)
        if not executor.start(_get_clock_s(), call_id, body, start_by_s):
            return _reply({"error": "too late to start"}, 409)
        try:
            await asyncio.sleep(executor.draw_service_s(body) + faults.late_s)
        finally:
            executor.finish(call_id)
        if random.random() < faults.truncate:
            return _abort_connection(request)
        returned_call_id = call_id if random.random() >= faults.swap_ids else "another-call"
        headers = {"X-Call-Id": returned_call_id, "X-Clock": repr(_get_clock_s())}
        return web.Response(body=b"done:" + body, headers=headers)

    async def async_get_status(_request: web.Request) -> web.Response:
        if executor.faults.down:
            return _abort_connection(_request)
        return _reply(
            {
                "clock_s": _get_clock_s(),
                "running": list(executor.running),
                "connections": executor.connections,
            }
        )

    async def async_get_log(_request: web.Request) -> web.Response:
        return _reply(
            {
                "log": executor.log,
                "peak": executor.peak,
                "peak_connections": executor.peak_connections,
                "refused_late": executor.refused_late,
            }
        )

    app = web.Application(client_max_size=MAX_REQUEST_BYTES)
    app.router.add_post("/run", async_run)
    app.router.add_get("/status", async_get_status)
    app.router.add_get("/log", async_get_log)
    _add_faults_route(app, executor.faults)
    return app


def make_worker_app(worker: Worker, seed: int = 1) -> web.Application:
    """Return the application of a worker; `seed` decides which answers are lost."""
    random = Random(seed)
    changed = asyncio.Event()

    async def async_sync(request: web.Request) -> web.Response:
        body = await _read_json(request)
        if worker.faults.down:
            return _abort_connection(request)
        if worker.faults.delay_s:
            await asyncio.sleep(worker.faults.delay_s)
        answer = worker.sync(_get_clock_s(), body)
        changed.set()
        if random.random() < worker.faults.lose_answers:
            return _abort_connection(request)
        return _reply(answer)

    async def async_watch(request: web.Request) -> web.Response:
        body = await _read_json(request)
        if worker.faults.down:
            return _abort_connection(request)
        deadline = _get_clock_s() + min(60.0, body["timeout_s"])
        while True:
            worker.advance(_get_clock_s())
            if worker.sequence != body["sequence"] or _get_clock_s() >= deadline:
                return _reply(worker.report(_get_clock_s()))
            changed.clear()
            next_change_s = worker.get_next_change_s()
            wait_s = (
                deadline - _get_clock_s()
                if next_change_s is None
                else min(deadline, next_change_s) - _get_clock_s()
            )
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, wait_s))
            except TimeoutError:
                continue

    async def async_get_log(_request: web.Request) -> web.Response:
        worker.advance(_get_clock_s())
        return _reply({"log": worker.log, "peak": worker.peak, "incarnation": worker.incarnation})

    async def async_apply_action(request: web.Request) -> web.Response:
        body = await _read_json(request)
        action = request.match_info["action"]
        # "checkpoint" is acknowledged but has no effect.
        for task in worker.tasks.values():
            if task.task != body["task"] or task.state != "running":
                continue
            if action == "throttle":
                worker.throttled[task.task] = float(body["cores"])
                task.ends_at += float(body.get("delay_s", 0.0))
        return _reply({"action": action})

    app = web.Application(client_max_size=MAX_REQUEST_BYTES)
    app.router.add_post("/sync", async_sync)
    app.router.add_post("/watch", async_watch)
    app.router.add_get("/log", async_get_log)
    app.router.add_post("/tasks/{action:throttle|checkpoint}", async_apply_action)
    _add_faults_route(app, worker.faults)
    return app
