"""Commands for operators and callers, which call a running daemon."""

from __future__ import annotations

import asyncio
from enum import StrEnum
import json
from pathlib import Path
import sys
from typing import Annotated, Any

import aiohttp
import typer
import yaml

from wasabiramp.resource.kinds import KIND_JOB

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4
"""Exit code of a command whose call got no verdict and may have had an effect."""

TIMEOUT_S = 30.0
API_BASE_PATH = "/apis/wasabiramp/v1"
PLURALS = {"team": "teams", "service": "services", "policy": "policies", "instance": "instances"}
"""Kinds of resources as they are written in paths."""


class Output(StrEnum):
    """Output formats."""

    TABLE = "table"
    YAML = "yaml"
    JSON = "json"


Server = Annotated[str, typer.Option(help="API address of a daemon.", envvar="WASABIRAMP_SERVER")]
Team = Annotated[str, typer.Option(help="The team of a job.")]
OutputOption = Annotated[Output, typer.Option("--output", "-o", help="Output format.")]
DEFAULT_SERVER = "127.0.0.1:7070"


def fail(message: str, code: int = EXIT_FAILED) -> typer.Exit:
    """Print an error and return the exception that ends the command with an exit code."""
    print(f"wasabiramp: {message}", file=sys.stderr)
    return typer.Exit(code)


async def _async_call(method: str, server: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Call a daemon and return the HTTP status and the JSON answer."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(method, f"http://{server}{path}", json=body) as answer,
    ):
        return answer.status, json.loads(await answer.text())


def call_daemon(method: str, server: str, path: str, body: Any = None) -> Any:
    """Call a daemon and return its answer; raises typer.Exit if it refuses or does not answer."""
    try:
        status, answer = asyncio.run(_async_call(method, server, path, body))
    except aiohttp.ClientConnectorError as err:
        raise fail(f"cannot reach {server}: {err}", EXIT_UNREACHABLE) from err
    except (aiohttp.ClientError, TimeoutError, ValueError) as err:
        raise fail(
            f"no answer from {server}: the call may have had an effect", EXIT_UNKNOWN
        ) from err
    if status == 504:
        raise fail(str(answer.get("message", answer)), EXIT_UNKNOWN)
    if status >= 400:
        raise fail(_extract_message(answer))
    return answer


def _extract_message(answer: Any) -> str:
    """Return the message of an error answer, else its items' reasons, else all of it."""
    reasons = [item.get("reason", "") for item in answer.get("items", []) if item]
    return answer.get("message") or "; ".join(filter(None, reasons)) or json.dumps(answer)


def print_value(value: Any, output: Output, rows: list[list[str]]) -> None:
    """Print a value as JSON or YAML, or the rows as a table."""
    if output is Output.JSON:
        print(json.dumps(value, indent=2))
    elif output is Output.YAML:
        print(yaml.safe_dump(value, sort_keys=False), end="")
    else:
        widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
        for row in rows:
            cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
            print("  ".join(cells).rstrip())


def get_plural(kind: str) -> str:
    """Return the plural of a kind, as used in paths; accepts singular, plural and any case.

    Raises typer.Exit if the kind is unknown.
    """
    lowered = kind.lower()
    if lowered in PLURALS:
        return PLURALS[lowered]
    if lowered in PLURALS.values():
        return lowered
    known = ", ".join([*PLURALS, "job"])
    raise fail(f"kind: unknown kind {kind!r}, expected one of {known}", EXIT_USAGE)


def is_job(kind: str) -> bool:
    """Return whether a kind on the command line means jobs."""
    return kind.lower() in ("job", "jobs")


def load_documents(path: Path) -> list[dict[str, Any]]:
    """Read resources from a YAML or JSON file, or from standard input if the path is `-`.

    A document with a list `items` stands for the resources in it. Raises typer.Exit if the file
    cannot be read or if a resource has no kind or name.
    """
    try:
        text = sys.stdin.read() if str(path) == "-" else path.read_text(encoding="utf-8")
        documents = [item for item in yaml.safe_load_all(text) if item is not None]
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as err:
        raise fail(f"{path}: cannot be read: {err}", EXIT_USAGE) from err
    resources: list[dict[str, Any]] = []
    for item in documents:
        if isinstance(item, dict) and isinstance(item.get("items"), list):
            resources.extend(item["items"])
        else:
            resources.append(item)
    for index, item in enumerate(resources):
        if not isinstance(item, dict) or not isinstance(item.get("kind"), str):
            raise fail(f"{path}: document {index + 1}: kind: expected a string", EXIT_USAGE)
        metadata = item.get("metadata")
        if not isinstance(metadata, dict) or not isinstance(metadata.get("name"), str):
            message = f"{path}: document {index + 1}: metadata.name: expected a string"
            raise fail(message, EXIT_USAGE)
    return resources


def apply(
    file: Annotated[
        Path, typer.Option("--file", "-f", help="File with resources; - reads from stdin.")
    ],
    server: Server = DEFAULT_SERVER,
) -> None:
    """Create or replace resources, and submit jobs."""
    for item in load_documents(file):
        name = item["metadata"]["name"]
        if item["kind"] == KIND_JOB:
            call_daemon("POST", server, "/v1/jobs", item)
            print(f"job {name} accepted")
            continue
        path = f"{API_BASE_PATH}/{get_plural(item['kind'])}/{name}"
        answer = call_daemon("PUT", server, path, item)
        version = answer["metadata"]["resourceVersion"]
        print(f"{item['kind'].lower()} {name} applied at revision {version}")


def submit(
    file: Annotated[Path, typer.Option("--file", "-f", help="File with jobs; - reads from stdin.")],
    server: Server = DEFAULT_SERVER,
) -> None:
    """Submit jobs in one call."""
    items = load_documents(file)
    answer = call_daemon("POST", server, "/v1/jobs", {"items": items})
    for item in answer["items"]:
        print(f"job {item['team']}/{item['name']} {item['reason'] or 'accepted'}")


def get(
    kind: str,
    name: Annotated[str | None, typer.Argument()] = None,
    team: Team = "",
    server: Server = DEFAULT_SERVER,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show one resource, or all resources of a kind."""
    if is_job(kind):
        _get_jobs(name, team, server, output)
        return
    path = f"{API_BASE_PATH}/{get_plural(kind)}" + (f"/{name}" if name else "")
    answer = call_daemon("GET", server, path)
    items = answer["items"] if name is None else [answer]
    rows = [["NAME", "REVISION", "SPEC"]]
    for item in items:
        spec = " ".join(f"{key}={value}" for key, value in item["spec"].items())
        rows.append([item["metadata"]["name"], item["metadata"]["resourceVersion"], spec])
    print_value(answer, output, rows)


def _get_jobs(name: str | None, team: str, server: str, output: Output) -> None:
    """Show one job, or all jobs of a team."""
    if not team:
        raise fail("--team: expected the team of the job", EXIT_USAGE)
    answer = call_daemon("GET", server, f"/v1/teams/{team}/jobs" + (f"/{name}" if name else ""))
    items = answer["items"] if name is None else [answer]
    rows = [["NAME", "PHASE", "TASKS", "REASON"]]
    for item in items:
        counts = " ".join(f"{key}={value}" for key, value in item["status"]["counts"].items())
        status = item["status"]
        rows.append([item["metadata"]["name"], status["phase"], counts, status["reason"]])
    print_value(answer, output, rows)


def describe(kind: str, name: str, team: Team = "", server: Server = DEFAULT_SERVER) -> None:
    """Show one resource in full, as YAML."""
    get(kind, name, team, server, Output.YAML)


def watch(
    kind: str,
    name: Annotated[str | None, typer.Argument()] = None,
    team: Team = "",
    server: Server = DEFAULT_SERVER,
    since: Annotated[int, typer.Option(help="Resume after this revision.")] = 0,
) -> None:
    """Print a line for each change; the watch of a job ends when the job does."""
    path = f"/v1/teams/{team}/jobs/{name}?watch=true"
    if not is_job(kind):
        path = f"{API_BASE_PATH}/{get_plural(kind)}?watch=true&resourceVersion={since}"
    elif not team or not name:
        raise fail("a watch of a job needs its name and --team", EXIT_USAGE)
    try:
        asyncio.run(_async_stream(server, path))
    except aiohttp.ClientError as err:
        raise fail(f"the watch ended: {err}", EXIT_UNREACHABLE) from err


async def _async_stream(server: str, path: str) -> None:
    """Print the lines of a streamed answer."""
    timeout = aiohttp.ClientTimeout(total=None)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(f"http://{server}{path}") as answer,
    ):
        async for line in answer.content:
            print(line.decode().rstrip(), flush=True)


def delete(kind: str, name: str, team: Team = "", server: Server = DEFAULT_SERVER) -> None:
    """Delete a resource, or cancel a job."""
    if is_job(kind):
        cancel(name, team, server)
        return
    call_daemon("DELETE", server, f"{API_BASE_PATH}/{get_plural(kind)}/{name}")
    print(f"{kind.lower()} {name} deleted")


def cancel(name: str, team: Team = "", server: Server = DEFAULT_SERVER) -> None:
    """Cancel a job."""
    if not team:
        raise fail("--team: expected the team of the job", EXIT_USAGE)
    call_daemon("DELETE", server, f"/v1/teams/{team}/jobs/{name}")
    print(f"job {team}/{name} cancelling")


def drain(name: str, server: Server = DEFAULT_SERVER) -> None:
    """Drain an instance: it gets no new work, and running work may finish."""
    delete("instance", name, "", server)


def status(server: Server = DEFAULT_SERVER, output: OutputOption = Output.TABLE) -> None:
    """Show the status of a daemon."""
    answer = call_daemon("GET", server, "/status")
    rows = [["FIELD", "VALUE"]]
    for key, value in answer.items():
        if not isinstance(value, dict):
            rows.append([key, ", ".join(value) if isinstance(value, list) else str(value)])
    rows.extend([key, str(value)] for key, value in answer["gauges"].items())
    print_value(answer, output, rows)


def add_commands(cli: typer.Typer) -> None:
    """Add the commands of this module."""
    for command in (apply, submit, get, describe, watch, delete, cancel, drain, status):
        cli.command()(command)
