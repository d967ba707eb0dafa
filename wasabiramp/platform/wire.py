"""Wire format of the users' platform: keys, field names, and decoding into our types."""

from __future__ import annotations

from typing import Any, Final

import orjson

from wasabiramp.core.records import DecodeError
from wasabiramp.scheduling.jobs import validate_steps
from wasabiramp.scheduling.model import (
    AdvicePolicy,
    CellConfig,
    EndReport,
    ExecutorEntry,
    ExecutorReport,
    JobDefinition,
    Queue,
    Resources,
    RunReport,
    Step,
)

CONFIG_KEY: Final = "op/config"
EXECUTORS_PREFIX: Final = "servers/"

MAX_SPEC_BYTES: Final = 4_000
"""The platform's limit of a job's `spec`."""

MAX_STEPS: Final = 200
MAX_TASKS: Final = 20_000
"""Our limits of one job, which keep its record well below the store's limit of a value."""


class InputError(ValueError):
    """A request body that is no valid job; the message names the field."""


def parse_json(data: bytes) -> Any:
    """Parse JSON; raises DecodeError."""
    try:
        return orjson.loads(data)
    except ValueError as err:
        raise DecodeError("the body is not JSON") from err


def decode_config(data: bytes) -> CellConfig:
    """Decode the cell's configuration; raises DecodeError."""
    raw = parse_json(data)
    try:
        limits = raw.get("limits") or {}
        queues = tuple(_decode_queue(row) for row in raw.get("routes") or [])
        return CellConfig(int(raw["version"]), queues, int(limits.get("maxBodyBytes", 262_144)))
    except (KeyError, TypeError, ValueError, AttributeError) as err:
        raise DecodeError(f"configuration cannot be read: {err}") from err


def _decode_queue(raw: dict[str, Any]) -> Queue:
    """Decode a queue, which the platform calls a route."""
    advice = raw.get("advice")
    return Queue(
        name=raw["name"],
        host=raw["host"],
        prefix=raw["prefix"],
        service=raw.get("service", ""),
        priority=int(raw.get("priority", 0)),
        max_attempts=int(raw.get("maxAttempts", 0)) or 1,
        stretch=float(raw.get("stretch", 0)) or 1.0,
        target_s=float(raw.get("targetLatencyMs", 0)) / 1000,
        timeout_s=float(raw.get("timeoutMs", 0)) / 1000 or 3.0,
        advice=_decode_advice(advice) if advice else None,
    )


def _decode_advice(raw: dict[str, Any]) -> AdvicePolicy:
    """Decode how long the adviser's decisions take and how long they are valid."""
    return AdvicePolicy(
        float(raw.get("decideMs", 0)) / 1000,
        float(raw.get("eachMs", 0)) / 1000,
        float(raw.get("validMs", 0)) / 1000,
    )


def decode_executor(key: str, data: bytes) -> ExecutorEntry | None:
    """Decode an executor's entry; None if it is malformed, as others may write under the prefix.

    The platform calls executors `servers`.
    """
    executor_id = key.removeprefix(EXECUTORS_PREFIX)
    try:
        raw = parse_json(data)
        service, address, state = raw["service"], raw["address"], raw["state"]
        labels = raw.get("labels") or []
        texts = [service, address, state, raw.get("zone", ""), *labels]
        if not all(isinstance(text, str) for text in texts) or not executor_id:
            return None
        host, _, port = address.rpartition(":")
        if state not in ("ready", "draining") or not host or not port.isdigit():
            return None
        remaining = raw.get("remainingMs")
        return ExecutorEntry(
            id=executor_id,
            address=address,
            service=service,
            zone=raw.get("zone", ""),
            is_draining=state == "draining",
            capacity=_decode_resources(raw["capacity"]),
            labels=tuple(labels),
            born_ms=_parse_number(raw.get("born", 0)),
            remaining_s=None if remaining is None else _parse_number(remaining) / 1000,
        )
    except (DecodeError, KeyError, TypeError, ValueError, AttributeError):
        return None


def _decode_resources(raw: dict[str, Any]) -> Resources:
    """Decode an amount of resources; `cpu` is in thousandths of a core."""
    return Resources(
        _parse_number(raw.get("cpu", 0)),
        _parse_number(raw.get("memMb", 0)),
        _parse_number(raw.get("gpu", 0)),
    )


def _parse_number(value: Any) -> int:
    """Return a non-negative number as an integer; raises ValueError for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"expected a non-negative number, got {type(value).__name__}")
    return int(value)


def decode_report(data: bytes) -> ExecutorReport:
    """Decode an executor's answer to a hold; raises DecodeError."""
    raw = parse_json(data)
    try:
        running = tuple(_decode_run(row) for row in raw.get("running") or [])
        # Each row starts with the number of the ended run within the incarnation of the executor;
        # the next hold sends the last one received as `lastSeen`. `how` says what ended the run.
        ended = tuple(
            EndReport(int(row[0]), row[1], int(row[2]), row[3], row[4] if len(row) > 4 else "")
            for row in raw.get("ended") or []
        )
        return ExecutorReport(int(raw["clockMs"]), int(raw.get("born", 0)), running, ended)
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as err:
        raise DecodeError(f"report cannot be read: {err}") from err


def _decode_run(row: list[Any]) -> RunReport:
    """Decode a running task.

    The fifth entry is the response time in ms if the task has a target, else the processors in use.
    """
    percent = float(row[3]) if len(row) > 3 else 100.0
    figure = float(row[4]) if len(row) > 4 and row[4] is not None else 0.0
    return RunReport(row[0], int(row[1]), row[2] or "", percent, figure)


def decode_job(data: bytes, job_id: str, queue: Queue, accepted_ms: int) -> JobDefinition:
    """Decode a submitted job; raises InputError, which names the invalid field."""
    try:
        raw = orjson.loads(data)
    except ValueError as err:
        raise InputError("body: expected JSON") from err
    if not isinstance(raw, dict):
        raise InputError("body: expected an object")
    spec = raw.get("spec", "")
    if not isinstance(spec, str) or len(spec.encode()) > MAX_SPEC_BYTES:
        raise InputError(f"spec: expected a text of at most {MAX_SPEC_BYTES} bytes")
    raw_steps = raw.get("steps")
    if not isinstance(raw_steps, list) or len(raw_steps) > MAX_STEPS:
        raise InputError(f"steps: expected a list of at most {MAX_STEPS} steps")
    steps = tuple(_decode_step(row, index) for index, row in enumerate(raw_steps))
    problem = validate_steps(steps)
    if problem:
        raise InputError(problem)
    if sum(step.count for step in steps) > MAX_TASKS:
        raise InputError(f"steps: expected at most {MAX_TASKS} tasks")
    return JobDefinition(
        id=job_id,
        queue=queue,
        spec=spec,
        steps=steps,
        accepted_ms=accepted_ms,
        repeat_count=_parse_number_field(raw, "repeatCount", "body"),
        first_ms=_parse_number_field(raw, "firstMs", "body"),
        interval_ms=_parse_number_field(raw, "intervalMs", "body"),
    )


def _parse_number_field(raw: dict[str, Any], name: str, field_path: str) -> int:
    """Return a number field of a request body, 0 if it is missing; raises InputError."""
    try:
        return _parse_number(raw.get(name, 0) or 0)
    except ValueError as err:
        raise InputError(f"{field_path}.{name}: expected a number that is not negative") from err


def _parse_text_field(raw: dict[str, Any], name: str, field_path: str) -> str:
    """Return a text field of a request body, empty if it is missing; raises InputError."""
    value = raw.get(name) or ""
    if not isinstance(value, str):
        raise InputError(f"{field_path}.{name}: expected a text")
    return value


def _decode_step(raw: Any, index: int) -> Step:
    """Decode a step of a job; raises InputError."""
    field_path = f"steps[{index}]"
    if not isinstance(raw, dict):
        raise InputError(f"{field_path}: expected an object")
    after = raw.get("after") or []
    if not isinstance(after, list) or not all(type(number) is int for number in after):
        raise InputError(f"{field_path}.after: expected a list of numbers")
    # `fills` marks a step that uses only idle processors, so it reserves none.
    cpu = 0 if raw.get("fills") else _parse_number_field(raw, "cpu", field_path)
    return Step(
        count=_parse_number_field(raw, "count", field_path),
        demand=Resources(
            cpu,
            _parse_number_field(raw, "memMb", field_path),
            _parse_number_field(raw, "gpu", field_path),
        ),
        estimate_s=_parse_number_field(raw, "estimateMs", field_path) / 1000,
        after=tuple(after),
        is_gang=bool(raw.get("gang")),
        wants_one_rack=bool(raw.get("sameRack")),
        label=_parse_text_field(raw, "requires", field_path),
        rack=_parse_text_field(raw, "affinity", field_path),
        max_per_executor=_parse_number_field(raw, "antiAffinity", field_path),
        may_copy=bool(raw.get("speculative")),
        is_lasting=bool(raw.get("longRunning")),
        saves_progress=bool(raw.get("checkpoints")),
        may_miss=_parse_number_field(raw, "mayMiss", field_path),
        image=_parse_text_field(raw, "image", field_path),
        target_s=_parse_number_field(raw, "targetMs", field_path) / 1000,
        fills=bool(raw.get("fills")),
    )


class PlatformCodec:
    """Decodes the entries that the platform keeps in its store."""

    config_key = CONFIG_KEY
    executors_prefix = EXECUTORS_PREFIX

    def decode_config(self, value: bytes) -> CellConfig:
        """Decode the cell's configuration; raises DecodeError."""
        return decode_config(value)

    def decode_executor(self, key: str, value: bytes) -> ExecutorEntry | None:
        """Decode an executor's entry, or return None if it is malformed."""
        return decode_executor(key, value)

    def parse_executor_id(self, key: str) -> str:
        """Return the id of the executor under a key."""
        return key.removeprefix(EXECUTORS_PREFIX)
