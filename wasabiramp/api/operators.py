"""Routes of the operator API: resources with revisions and watches, health and status."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from aiohttp import web

from wasabiramp.api.replies import BadRequestError, async_read_json, reply_error, reply_json
from wasabiramp.core.events import ResourceWritten
from wasabiramp.core.records import encode_json
from wasabiramp.dispatch.load import is_serving
from wasabiramp.membership.rights import get_right_expiry, has_right
from wasabiramp.resource.kinds import API_VERSION, parse_spec
from wasabiramp.resource.state import Resource, ResourceAnswer
from wasabiramp.runtime import Runtime

WRITE_TIMEOUT_S: Final = 12.0
WATCH_POLL_INTERVAL_S: Final = 0.1
KIND_BY_PLURAL: Final = {
    "teams": "Team",
    "services": "Service",
    "policies": "Policy",
    "instances": "Instance",
}


class OperatorRoutes:
    """Request handlers of the operator API."""

    def __init__(self, runtime: Runtime) -> None:
        """Initialise the routes of a daemon's runtime."""
        self._runtime = runtime

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to the application."""
        base = "/apis/wasabiramp/v1/{plural}"
        app.router.add_get(base, self.async_list)
        app.router.add_post(base, self.async_apply)
        app.router.add_get(base + "/{name}", self.async_get)
        app.router.add_put(base + "/{name}", self.async_apply)
        app.router.add_delete(base + "/{name}", self.async_delete)
        app.router.add_get("/readyz", self.async_ready)
        app.router.add_get("/healthz", self.async_health)
        app.router.add_get("/status", self.async_status)
        app.router.add_get("/metrics", self.async_metrics)

    async def async_list(self, request: web.Request) -> web.StreamResponse:
        """List a kind, or with `?watch=true` stream its changes after `resourceVersion`."""
        kind = _parse_kind(request)
        if request.query.get("watch") == "true":
            return await self._async_watch(request, kind)
        intent = self._runtime.reducer.state.intent
        items = [
            describe_resource(item)
            for item in intent.resources.values()
            if item.kind == kind and item.spec is not None
        ]
        items.sort(key=lambda item: item["metadata"]["name"])
        metadata = {"resourceVersion": str(intent.synced_revision)}
        return reply_json({"kind": f"{kind}List", "metadata": metadata, "items": items})

    async def async_get(self, request: web.Request) -> web.StreamResponse:
        """Return one resource."""
        kind, name = _parse_kind(request), request.match_info["name"]
        found = self._runtime.reducer.state.intent.resources.get((kind, name))
        if found is None or found.spec is None:
            return reply_error(404, f"{kind} {name} does not exist")
        return reply_json(self._describe_with_status(found))

    def _describe_with_status(self, resource: Resource) -> dict[str, Any]:
        """Return a resource; the status of an instance is its state on the platform's list."""
        described = describe_resource(resource)
        state = self._runtime.reducer.state
        if resource.kind == "Instance":
            listed = state.membership.instance_states.get(resource.name, "unlisted")
            described["status"] = {"listed": listed}
        return described

    async def async_apply(self, request: web.Request) -> web.StreamResponse:
        """Create or replace a resource."""
        kind = _parse_kind(request)
        raw = await async_read_json(request)
        if not isinstance(raw, dict):
            raise BadRequestError("body: expected an object")
        if raw.get("kind", kind) != kind:
            raise BadRequestError(f"kind: expected {kind!r}")
        if raw.get("apiVersion", API_VERSION) != API_VERSION:
            raise BadRequestError(f"apiVersion: expected {API_VERSION!r}")
        metadata = raw.get("metadata")
        if not isinstance(metadata, dict):
            raise BadRequestError("metadata: expected an object")
        name = metadata.get("name", request.match_info.get("name"))
        if "name" in request.match_info and name != request.match_info["name"]:
            raise BadRequestError("metadata.name: differs from the name in the path")
        if not isinstance(name, str):
            raise BadRequestError("metadata.name: expected a string")
        parsed = parse_spec(kind, name, raw.get("spec"))
        if parsed.is_error():
            raise BadRequestError(parsed.error)
        expected = _parse_revision(metadata.get("resourceVersion"))
        return await self._async_write(kind, name, raw["spec"], expected)

    async def async_delete(self, request: web.Request) -> web.StreamResponse:
        """Delete a resource."""
        kind, name = _parse_kind(request), request.match_info["name"]
        expected = _parse_revision(request.query.get("resourceVersion"))
        return await self._async_write(kind, name, None, expected)

    async def _async_write(
        self, kind: str, name: str, spec: dict[str, Any] | None, expected: int | None
    ) -> web.StreamResponse:
        """Write a validated change and return the resource or an error."""
        request_id = self._runtime.next_request_id()
        event = ResourceWritten(request_id, kind, name, spec, expected)
        try:
            answer: ResourceAnswer = await self._runtime.async_apply_and_wait(
                request_id, event, WRITE_TIMEOUT_S
            )
        except TimeoutError:
            return reply_error(504, "the change may have been accepted; read it back")
        if answer.status != 200 or answer.resource is None:
            return reply_error(answer.status, answer.message)
        return reply_json(describe_resource(answer.resource))

    async def _async_watch(self, request: web.Request, kind: str) -> web.StreamResponse:
        """Stream a line for each change of a kind.

        Changes found at the same time are sent in order of revision.
        """
        intent = self._runtime.reducer.state.intent
        since_revision = _parse_revision(request.query.get("resourceVersion")) or 0
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        sent_revisions: dict[str, int] = {}
        while not self._runtime.stopped.is_set():
            changed = [
                item
                for item in intent.resources.values()
                if item.kind == kind
                and item.revision > max(since_revision, sent_revisions.get(item.name, 0))
            ]
            for item in sorted(changed, key=lambda item: item.revision):
                sent_revisions[item.name] = item.revision
                change = "DELETED" if item.spec is None else "MODIFIED"
                line = encode_json({"type": change, "object": describe_resource(item)})
                await response.write(line.encode() + b"\n")
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)
        return response

    async def async_ready(self, _request: web.Request) -> web.StreamResponse:
        """Answer the load balancer whether this daemon can serve callers."""
        context = self._runtime.reducer.context
        is_ready = self._runtime.is_ready and is_serving(context)
        return reply_json({"ready": is_ready}, 200 if is_ready else 503)

    async def async_health(self, _request: web.Request) -> web.StreamResponse:
        """Answer that the process is alive."""
        return reply_json({"healthy": True})

    async def async_status(self, _request: web.Request) -> web.StreamResponse:
        """Return the status of this daemon."""
        return reply_json(describe_daemon(self._runtime))

    async def async_metrics(self, request: web.Request) -> web.StreamResponse:
        """Update the gauges and return the metrics page."""
        for name, value in collect_gauges(self._runtime).items():
            self._runtime.metrics.set_gauge(name, value)
        page, headers = self._runtime.metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=page, headers=headers)


def _parse_kind(request: web.Request) -> str:
    """Return the resource kind for the plural in the path."""
    plural = request.match_info["plural"]
    kind = KIND_BY_PLURAL.get(plural)
    if kind is None:
        known = ", ".join(sorted(KIND_BY_PLURAL))
        raise BadRequestError(f"kind: unknown kind {plural!r}, expected one of {known}")
    return kind


def _parse_revision(value: Any) -> int | None:
    """Return a revision from a request, or None when it gives none."""
    if value is None or value == "":
        return None
    try:
        return int(value)
    except (TypeError, ValueError) as err:
        raise BadRequestError("metadata.resourceVersion: expected a whole number") from err


def describe_resource(resource: Resource) -> dict[str, Any]:
    """Return a resource in the form of the operator API."""
    return {
        "apiVersion": API_VERSION,
        "kind": resource.kind,
        "metadata": {"name": resource.name, "resourceVersion": str(resource.revision)},
        "spec": resource.spec,
    }


def collect_gauges(runtime: Runtime) -> dict[str, float]:
    """Return the current gauges of a daemon."""
    state = runtime.reducer.state
    return {
        "epoch": state.membership.current.epoch,
        "members": len(state.membership.current.members),
        "requests_waiting": sum(len(queue) for queue in state.dispatch.queues.values()),
        "requests_open": len(state.dispatch.requests),
        "executors_owned": sum(item.is_owned for item in state.dispatch.executors.values()),
        "workers_owned": sum(item.is_owned for item in state.jobs.workers.values()),
        "partitions": len(state.jobs.partitions),
        "peer_bytes_sent": runtime.count_sent_bytes(),
    }


def describe_daemon(runtime: Runtime) -> dict[str, Any]:
    """Return the content of the status page."""
    context = runtime.reducer.context
    state = runtime.reducer.state
    now = context.now
    return {
        "member": state.me.id,
        "zone": state.me.zone,
        "epoch": state.membership.current.epoch,
        "members": [member.id for member in state.membership.current.members],
        "has_right": has_right(context),
        "right_left_s": round(max(0.0, get_right_expiry(context) - now), 3),
        "config_revision": state.intent.synced_revision,
        "executors": {
            name: {
                "owned": item.is_owned,
                "ready": item.is_ready,
                "calls": len(item.calls),
                "foreign": len(item.foreign),
            }
            for name, item in state.dispatch.executors.items()
        },
        "workers": {
            name: {
                "owned": item.is_owned,
                "ready": item.is_ready,
                "tasks": len(item.tasks),
                "used": item.used,
            }
            for name, item in state.jobs.workers.items()
        },
        "partitions": {
            str(number): {
                "status": partition_state.journal.status,
                "jobs": len(partition_state.jobs),
                "active": len(partition_state.active_jobs),
                "keys": len(partition_state.keys),
                "recovering": partition_state.barrier_epoch > 0,
            }
            for number, partition_state in state.jobs.partitions.items()
        },
        "gauges": collect_gauges(runtime),
    }
