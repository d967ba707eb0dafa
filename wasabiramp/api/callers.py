"""Routes for callers: requests to services, and jobs."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from aiohttp import web

from wasabiramp.api.replies import (
    BadRequestError,
    async_read_json,
    read_number,
    reply_error,
    reply_json,
)
from wasabiramp.core.events import JobAsked, JobSubmitted, RequestArrived
from wasabiramp.core.records import encode_json
from wasabiramp.core.verdict import MAY_HAVE_RUN, RAN, Verdict
from wasabiramp.jobs.home import JobsReply, JobStatus
from wasabiramp.jobs.schema import parse_job
from wasabiramp.runtime import Runtime

HEADER_TEAM: Final = "X-Team"
HEADER_DEADLINE: Final = "X-Deadline-S"
HEADER_IDEMPOTENT: Final = "X-Idempotent"
HEADER_KEY: Final = "X-Request-Key"
HEADER_VERDICT: Final = "X-Verdict"
MAX_KEY_LENGTH: Final = 200
GRACE_S: Final = 2.0
JOB_DEADLINE_S: Final = 10.0
JOB_WATCH_S: Final = 0.2
MAX_JOBS: Final = 1000


class CallerRoutes:
    """Handlers of the caller API."""

    def __init__(self, runtime: Runtime) -> None:
        """Serve one runtime."""
        self._runtime = runtime

    def add_to(self, app: web.Application) -> None:
        """Add the routes."""
        app.router.add_post("/v1/services/{service}/requests", self.async_request)
        app.router.add_post("/v1/jobs", self.async_submit)
        app.router.add_get("/v1/teams/{team}/jobs", self.async_list)
        app.router.add_get("/v1/teams/{team}/jobs/{name}", self.async_get)
        app.router.add_delete("/v1/teams/{team}/jobs/{name}", self.async_cancel)

    async def async_request(self, request: web.Request) -> web.StreamResponse:
        """Send a request to a service and return its verdict."""
        service = self._runtime.reducer.state.intent.services.get(request.match_info["service"])
        body = await request.read()
        event = RequestArrived(
            self._runtime.next_request_id(),
            request.match_info["service"],
            request.headers.get(HEADER_TEAM, "default"),
            body,
            read_number(
                request, HEADER_DEADLINE, service.deadline_s if service else 5.0, 0.001, 3600
            ),
            _read_idempotent(request),
            _read_key(request),
            service.work_class if service else "interactive",
        )
        try:
            verdict = await self._runtime.async_apply_and_wait(
                event.request_id, event, event.deadline_s + GRACE_S
            )
        except TimeoutError:
            verdict = Verdict.may_have_run("no verdict was reached in time")
        return reply_verdict(verdict)

    async def async_submit(self, request: web.Request) -> web.StreamResponse:
        """Accept one job, or a list of jobs under `items`."""
        raw = await async_read_json(request)
        listed = raw.get("items") if isinstance(raw, dict) and "items" in raw else [raw]
        if not isinstance(listed, list) or not 1 <= len(listed) <= MAX_JOBS:
            raise BadRequestError(f"items: expected a list of 1 to {MAX_JOBS} jobs")
        jobs = []
        for index, item in enumerate(listed):
            parsed = parse_job(item)
            if parsed.is_error():
                where = f"items.{index}." if len(listed) > 1 else ""
                raise BadRequestError(f"{where}{parsed.error}")
            jobs.append(parsed.ok)
        deadline_s = read_number(request, HEADER_DEADLINE, JOB_DEADLINE_S, 0.01, 60)
        request_id = self._runtime.next_request_id()
        reply = await self._async_ask_home(
            request_id, JobSubmitted(request_id, jobs, deadline_s), deadline_s
        )
        body = {"items": reply.items, "message": reply.reason}
        return reply_json(body, reply.status, _retry_headers(reply.status))

    async def async_list(self, request: web.Request) -> web.StreamResponse:
        """List a team's jobs."""
        reply = await self._async_question(request, "list", "")
        if reply.status != 200:
            return reply_error(reply.status, reply.reason)
        items = [describe_job(item) for item in reply.items]
        return reply_json({"kind": "JobList", "items": items})

    async def async_get(self, request: web.Request) -> web.StreamResponse:
        """Return one job, or with `?watch=true` a line for each change until it ends."""
        name = request.match_info["name"]
        if request.query.get("watch") == "true":
            return await self._async_watch(request, name)
        reply = await self._async_question(request, "get", name)
        if reply.status != 200:
            return reply_error(reply.status, reply.reason)
        return reply_json(describe_job(reply.items[0]))

    async def async_cancel(self, request: web.Request) -> web.StreamResponse:
        """Cancel a job."""
        reply = await self._async_question(request, "cancel", request.match_info["name"])
        if reply.status != 200:
            return reply_error(reply.status, reply.reason)
        return reply_json(describe_job(reply.items[0]))

    async def _async_question(self, request: web.Request, action: str, name: str) -> JobsReply:
        """Ask the home of the team's jobs."""
        request_id = self._runtime.next_request_id()
        event = JobAsked(request_id, action, request.match_info["team"], name, JOB_DEADLINE_S)
        return await self._async_ask_home(request_id, event, JOB_DEADLINE_S)

    async def _async_ask_home(self, request_id: str, event: Any, deadline_s: float) -> JobsReply:
        """Wait for the home's answer."""
        try:
            return await self._runtime.async_apply_and_wait(request_id, event, deadline_s + GRACE_S)
        except TimeoutError:
            return JobsReply(504, [], "no answer was reached in time")

    async def _async_watch(self, request: web.Request, name: str) -> web.StreamResponse:
        """Stream a line for each change of a job."""
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        last = ""
        while not self._runtime.stopped.is_set():
            reply = await self._async_question(request, "get", name)
            value: Any = {"kind": "Status", "status": "Failure", "message": reply.reason}
            if reply.status == 200:
                value = describe_job(reply.items[0])
            line = encode_json(value)
            if line != last:
                await response.write(line.encode() + b"\n")
                last = line
            is_over = reply.status == 404 or (
                reply.status == 200
                and value["status"]["phase"] in ("Succeeded", "Failed", "Cancelled")
            )
            if is_over:
                break
            await asyncio.sleep(JOB_WATCH_S)
        await response.write_eof()
        return response


def _read_idempotent(request: web.Request) -> bool:
    """Return whether the caller marked the request as idempotent; the default is no."""
    text = request.headers.get(HEADER_IDEMPOTENT, "false").lower()
    if text not in ("true", "false"):
        raise BadRequestError(f"{HEADER_IDEMPOTENT}: expected true or false")
    return text == "true"


def _read_key(request: web.Request) -> str:
    """Return the caller's request key."""
    key = request.headers.get(HEADER_KEY, "")
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise BadRequestError(
            f"{HEADER_KEY}: expected at most {MAX_KEY_LENGTH} printable characters"
        )
    return key


def _retry_headers(status: int, retry_after_s: float | None = 2.0) -> dict[str, str]:
    """Return the header that tells a caller when to try again."""
    if status != 503 or retry_after_s is None:
        return {}
    return {"Retry-After": f"{retry_after_s:g}"}


def reply_verdict(verdict: Verdict) -> web.Response:
    """Return a verdict: the body of work that ran, or JSON that says what became of it."""
    headers = {HEADER_VERDICT: verdict.outcome}
    if verdict.outcome == RAN:
        if verdict.reason:
            headers["X-Reason"] = verdict.reason
        return web.Response(body=verdict.body, headers=headers)
    status = 503
    if verdict.outcome == MAY_HAVE_RUN:
        status = 504
    elif verdict.reason.startswith("service:"):
        status = 404
    headers.update(_retry_headers(status, verdict.retry_after_s))
    body = {
        "verdict": verdict.outcome,
        "reason": verdict.reason,
        "retry_after_s": verdict.retry_after_s,
    }
    return reply_json(body, status, headers)


def describe_job(status: JobStatus) -> dict[str, Any]:
    """Return a job as a resource, with its status apart from its spec."""
    spec = status.spec
    return {
        "apiVersion": "wasabiramp/v1",
        "kind": "Job",
        "metadata": {"name": spec.name, "team": spec.team},
        "spec": {
            "work_class": spec.work_class,
            "tasks": spec.tasks,
            "cores": spec.cores,
            "memory_mb": spec.memory_mb,
            "accelerators": spec.accelerators,
            "gang": spec.is_gang,
            "idempotent": spec.is_idempotent,
            "max_retries": spec.max_retries,
            "payload": spec.payload,
        },
        "status": {
            "phase": status.phase,
            "reason": status.reason,
            "counts": status.counts,
            "tasks": status.tasks,
        },
    }
