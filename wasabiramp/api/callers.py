"""Routes of the caller API: requests to services, and jobs."""

from __future__ import annotations

import asyncio
from typing import Any, Final

from aiohttp import web

from wasabiramp.api.replies import (
    BadRequestError,
    async_read_json,
    parse_number_header,
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
MAX_KEY_CHARS: Final = 200

ANSWER_GRACE_S: Final = 2.0
"""Time after a deadline in which a route still waits for the answer of the reducer."""

JOB_REQUEST_DEADLINE_S: Final = 10.0
"""Deadline of requests about jobs, and the default for submissions."""

JOB_WATCH_INTERVAL_S: Final = 0.2
"""Interval at which a watch reads its job."""

MAX_JOBS_PER_REQUEST: Final = 1000


class CallerRoutes:
    """Request handlers of the caller API."""

    def __init__(self, runtime: Runtime) -> None:
        """Initialise the routes of a daemon's runtime."""
        self._runtime = runtime

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to the application."""
        app.router.add_post("/v1/services/{service}/requests", self.async_request)
        app.router.add_post("/v1/jobs", self.async_submit)
        app.router.add_get("/v1/teams/{team}/jobs", self.async_list)
        app.router.add_get("/v1/teams/{team}/jobs/{name}", self.async_get)
        app.router.add_delete("/v1/teams/{team}/jobs/{name}", self.async_cancel)

    async def async_request(self, request: web.Request) -> web.StreamResponse:
        """Run a request to a service and return its verdict."""
        service = self._runtime.reducer.state.intent.services.get(request.match_info["service"])
        body = await request.read()
        event = RequestArrived(
            self._runtime.next_request_id(),
            request.match_info["service"],
            request.headers.get(HEADER_TEAM, "default"),
            body,
            parse_number_header(
                request, HEADER_DEADLINE, service.deadline_s if service else 5.0, 0.001, 3600
            ),
            _parse_idempotent(request),
            _parse_request_key(request),
            service.work_class if service else "interactive",
        )
        try:
            verdict = await self._runtime.async_apply_and_wait(
                event.request_id, event, event.deadline_s + ANSWER_GRACE_S
            )
        except TimeoutError:
            verdict = Verdict.may_have_run("no verdict was reached in time")
        return reply_verdict(verdict)

    async def async_submit(self, request: web.Request) -> web.StreamResponse:
        """Submit one job, or a list of jobs under `items`."""
        raw = await async_read_json(request)
        item_list = raw.get("items") if isinstance(raw, dict) and "items" in raw else [raw]
        if not isinstance(item_list, list) or not 1 <= len(item_list) <= MAX_JOBS_PER_REQUEST:
            raise BadRequestError(f"items: expected a list of 1 to {MAX_JOBS_PER_REQUEST} jobs")
        jobs = []
        for index, item in enumerate(item_list):
            parsed = parse_job(item)
            if parsed.is_error():
                where = f"items.{index}." if len(item_list) > 1 else ""
                raise BadRequestError(f"{where}{parsed.error}")
            jobs.append(parsed.ok)
        deadline_s = parse_number_header(request, HEADER_DEADLINE, JOB_REQUEST_DEADLINE_S, 0.01, 60)
        request_id = self._runtime.next_request_id()
        reply = await self._async_wait_for_jobs(
            request_id, JobSubmitted(request_id, jobs, deadline_s), deadline_s
        )
        body = {"items": reply.items, "message": reply.reason}
        return reply_json(body, reply.status, _retry_headers(reply.status))

    async def async_list(self, request: web.Request) -> web.StreamResponse:
        """List a team's jobs."""
        reply = await self._async_send_job_action(request, "list", "")
        if reply.status != 200:
            return reply_error(reply.status, reply.reason)
        items = [describe_job(item) for item in reply.items]
        return reply_json({"kind": "JobList", "items": items})

    async def async_get(self, request: web.Request) -> web.StreamResponse:
        """Return one job, or with `?watch=true` stream a line for each change until it ends."""
        name = request.match_info["name"]
        if request.query.get("watch") == "true":
            return await self._async_watch(request, name)
        reply = await self._async_send_job_action(request, "get", name)
        if reply.status != 200:
            return reply_error(reply.status, reply.reason)
        return reply_json(describe_job(reply.items[0]))

    async def async_cancel(self, request: web.Request) -> web.StreamResponse:
        """Cancel a job."""
        reply = await self._async_send_job_action(request, "cancel", request.match_info["name"])
        if reply.status != 200:
            return reply_error(reply.status, reply.reason)
        return reply_json(describe_job(reply.items[0]))

    async def _async_send_job_action(
        self, request: web.Request, action: str, name: str
    ) -> JobsReply:
        """Apply an action on the team's jobs, "get", "list" or "cancel", and return the reply."""
        request_id = self._runtime.next_request_id()
        event = JobAsked(
            request_id, action, request.match_info["team"], name, JOB_REQUEST_DEADLINE_S
        )
        return await self._async_wait_for_jobs(request_id, event, JOB_REQUEST_DEADLINE_S)

    async def _async_wait_for_jobs(
        self, request_id: str, event: Any, deadline_s: float
    ) -> JobsReply:
        """Apply an event about jobs and wait for the reply, which has status 504 on a timeout."""
        try:
            return await self._runtime.async_apply_and_wait(
                request_id, event, deadline_s + ANSWER_GRACE_S
            )
        except TimeoutError:
            return JobsReply(504, [], "no answer was reached in time")

    async def _async_watch(self, request: web.Request, name: str) -> web.StreamResponse:
        """Stream a line for each change of a job until it ends or does not exist."""
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        last_line = ""
        while not self._runtime.stopped.is_set():
            reply = await self._async_send_job_action(request, "get", name)
            value: Any = {"kind": "Status", "status": "Failure", "message": reply.reason}
            if reply.status == 200:
                value = describe_job(reply.items[0])
            line = encode_json(value)
            if line != last_line:
                await response.write(line.encode() + b"\n")
                last_line = line
            has_ended = reply.status == 404 or (
                reply.status == 200
                and value["status"]["phase"] in ("Succeeded", "Failed", "Cancelled")
            )
            if has_ended:
                break
            await asyncio.sleep(JOB_WATCH_INTERVAL_S)
        await response.write_eof()
        return response


def _parse_idempotent(request: web.Request) -> bool:
    """Return whether the caller marked the request as idempotent; false by default."""
    text = request.headers.get(HEADER_IDEMPOTENT, "false").lower()
    if text not in ("true", "false"):
        raise BadRequestError(f"{HEADER_IDEMPOTENT}: expected true or false")
    return text == "true"


def _parse_request_key(request: web.Request) -> str:
    """Return the caller's request key, or an empty string."""
    key = request.headers.get(HEADER_KEY, "")
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        raise BadRequestError(
            f"{HEADER_KEY}: expected at most {MAX_KEY_CHARS} printable characters"
        )
    return key


def _retry_headers(status: int, retry_after_s: float | None = 2.0) -> dict[str, str]:
    """Return the Retry-After header of a 503 response, if there is one."""
    if status != 503 or retry_after_s is None:
        return {}
    return {"Retry-After": f"{retry_after_s:g}"}


def reply_verdict(verdict: Verdict) -> web.Response:
    """Return the response for a verdict.

    It is the body of a request that ran, or else JSON with the outcome and the reason.
    """
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
    """Return a job in resource form, with separate spec and status."""
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
