"""Wire format of the users' platform: keys, field names, and decoding into our types."""

from __future__ import annotations

import re
from typing import Any, Final

import orjson

from wasabiramp.core.records import DecodeError
from wasabiramp.scheduling.jobs import MAX_STEPS, MAX_TASKS, validate_steps
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
from wasabiramp.settings.address import parse_address

CONFIG_KEY: Final = "op/config"
EXECUTORS_PREFIX: Final = "servers/"

MAX_SPEC_BYTES: Final = 4_000
"""The platform's limit of a job's `spec`."""


MAX_WHOLE_NUMBER: Final = 2**53 - 1
"""Greatest whole number that all JSON libraries and floating point numbers hold exactly."""

MAX_UNIX_MS: Final = 4_102_444_800_000
"""Latest time that is accepted, in Unix milliseconds: the start of the year 2100."""

MAX_DURATION_MS: Final = 366 * 86_400_000
"""Longest duration that is accepted, in milliseconds: a year."""

MAX_CPU_MILLICORES: Final = 10**9
MAX_MEMORY_MB: Final = 10**9
MAX_GPUS: Final = 10**6
"""Greatest resources of one executor or task: far above those of any machine."""

MAX_ENTRY_BYTES: Final = 65_536
MAX_ENTRY_DEPTH: Final = 16
MAX_ENTRY_TEXT_CHARS: Final = 1_000
MAX_LABELS: Final = 100
"""Limits of an executor's entry: its length, its levels of lists and objects, each of its texts and
the number of its labels."""

MAX_SAVED_CHARS: Final = 65_536
"""Longest saved state of a task, and longest ticket, as they are stored and sent again."""

EXECUTOR_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9._~:@!$&'()*+,;=-]{1,192}")
"""Ids that may be sent in a header and in a URL; the store limits keys to 200 bytes."""

EXECUTOR_STATES: Final = ("ready", "draining")


class InputError(ValueError):
    """A request body that is no valid job; the message names the field."""


def parse_json(data: bytes) -> Any:
    """Parse JSON; raises DecodeError."""
    try:
        return orjson.loads(data)
    except ValueError as err:
        raise DecodeError("the body is not JSON") from err


def decode_config(data: bytes) -> CellConfig:
    """Decode the cell's configuration; raises DecodeError, which names the invalid field."""
    raw = _check_object(parse_json(data), "configuration")
    limits = _check_object(raw.get("limits") or {}, "limits")
    routes = raw.get("routes") or []
    if not isinstance(routes, list):
        raise DecodeError("routes: expected a list")
    return CellConfig(
        _check_whole_number(raw.get("version"), "version"),
        tuple(_decode_queue(row, f"routes[{index}]") for index, row in enumerate(routes)),
        int(_check_number(limits.get("maxBodyBytes", 262_144), "limits.maxBodyBytes")),
        _decode_services(raw.get("services")),
    )


def _decode_services(raw: Any) -> frozenset[str]:
    """Return the names of the services; those of the queues count without being listed."""
    rows = raw if isinstance(raw, list) else []
    names = [row.get("name") for row in rows if isinstance(row, dict)]
    return frozenset(name for name in names if isinstance(name, str))


def _decode_queue(raw: Any, path: str) -> Queue:
    """Decode a queue, which the platform calls a route."""
    _check_object(raw, path)

    def read_number(name: str, maximum: float = MAX_WHOLE_NUMBER) -> float:
        return _check_number(raw.get(name, 0), f"{path}.{name}", maximum)

    advice = raw.get("advice")
    return Queue(
        name=_check_text(raw.get("name"), f"{path}.name"),
        host=_check_text(raw.get("host"), f"{path}.host"),
        prefix=_check_text(raw.get("prefix"), f"{path}.prefix"),
        service=_check_text(raw.get("service", ""), f"{path}.service"),
        priority=int(read_number("priority")),
        max_attempts=int(read_number("maxAttempts")) or 1,
        stretch=float(read_number("stretch")) or 1.0,
        target_s=read_number("targetLatencyMs", MAX_DURATION_MS) / 1000,
        timeout_s=read_number("timeoutMs", MAX_DURATION_MS) / 1000 or 3.0,
        advice=_decode_advice(advice, f"{path}.advice") if advice else None,
    )


def _decode_advice(raw: Any, path: str) -> AdvicePolicy:
    """Decode how long the adviser's decisions take and how long they are valid."""
    _check_object(raw, path)
    names = ("decideMs", "eachMs", "validMs")
    durations = [_check_number(raw.get(n, 0), f"{path}.{n}", MAX_DURATION_MS) for n in names]
    return AdvicePolicy(*(duration_ms / 1000 for duration_ms in durations))


def decode_executor(key: str, data: bytes) -> ExecutorEntry:
    """Decode an executor's entry; raises DecodeError, which names the invalid field.

    The platform calls executors `servers`. Others may write under the prefix too.
    """
    executor_id = key.removeprefix(EXECUTORS_PREFIX)
    if not EXECUTOR_ID_PATTERN.fullmatch(executor_id):
        raise DecodeError("id: expected the characters of a URL path segment")
    if len(data) > MAX_ENTRY_BYTES:
        raise DecodeError(f"entry: expected at most {MAX_ENTRY_BYTES} bytes")
    raw = _check_object(parse_json(data), "entry")
    _check_depth(raw)
    address = raw.get("address")
    if parse_address(address) is None:
        raise DecodeError("address: expected an IP address and a port from 1 to 65535")
    state = raw.get("state")
    if state not in EXECUTOR_STATES:
        raise DecodeError(f"state: expected one of {', '.join(EXECUTOR_STATES)}")
    remaining_ms = raw.get("remainingMs")
    if remaining_ms is not None:
        remaining_ms = _check_number(remaining_ms, "remainingMs", MAX_DURATION_MS)
    return ExecutorEntry(
        id=executor_id,
        address=address,
        service=_check_text(raw.get("service"), "service", min_chars=1),
        zone=_check_text(raw.get("zone", ""), "zone"),
        is_draining=state == "draining",
        capacity=_decode_capacity(raw.get("capacity")),
        labels=_decode_labels(raw.get("labels") or []),
        born_ms=_check_whole_number(raw.get("born"), "born", MAX_UNIX_MS),
        remaining_s=None if remaining_ms is None else int(remaining_ms) / 1000,
    )


def _check_depth(raw: Any) -> None:
    """Refuse an entry with too many levels of lists and objects; raises DecodeError."""
    level = [raw]
    for _ in range(MAX_ENTRY_DEPTH):
        level = [
            value
            for container in level
            for value in (container.values() if isinstance(container, dict) else container)
            if isinstance(value, dict | list)
        ]
        if not level:
            return
    raise DecodeError(f"entry: expected at most {MAX_ENTRY_DEPTH} levels")


def _decode_capacity(raw: Any) -> Resources:
    """Decode the resources of an executor; `cpu` is in thousandths of a core."""
    raw = _check_object(raw, "capacity")
    return Resources(
        int(_check_number(raw.get("cpu", 0), "capacity.cpu", MAX_CPU_MILLICORES)),
        int(_check_number(raw.get("memMb", 0), "capacity.memMb", MAX_MEMORY_MB)),
        int(_check_number(raw.get("gpu", 0), "capacity.gpu", MAX_GPUS)),
    )


def _decode_labels(raw: Any) -> tuple[str, ...]:
    """Decode the labels of an executor."""
    if not isinstance(raw, list) or len(raw) > MAX_LABELS:
        raise DecodeError(f"labels: expected a list of at most {MAX_LABELS} texts")
    return tuple(_check_text(label, "labels") for label in raw)


def _check_object(value: Any, field_path: str) -> dict[str, Any]:
    """Return an object; raises DecodeError, which names the field, for anything else."""
    if not isinstance(value, dict):
        raise DecodeError(f"{field_path}: expected an object")
    return value


def _check_text(
    value: Any, field_path: str, max_chars: int = MAX_ENTRY_TEXT_CHARS, min_chars: int = 0
) -> str:
    """Return a text; raises DecodeError, which names the field, for anything else."""
    if not isinstance(value, str) or not min_chars <= len(value) <= max_chars:
        raise DecodeError(f"{field_path}: expected a text of {min_chars} to {max_chars} characters")
    return value


def _check_number(value: Any, field_path: str, maximum: float = MAX_WHOLE_NUMBER) -> float:
    """Return a number from 0 to a maximum; raises DecodeError, which names the field."""
    if type(value) not in (int, float) or not 0 <= value <= maximum:
        raise DecodeError(f"{field_path}: expected a number from 0 to {maximum}")
    return value


def _check_whole_number(value: Any, field_path: str, maximum: int = MAX_WHOLE_NUMBER) -> int:
    """Return a whole number from 0 to a maximum; raises DecodeError, which names the field."""
    if type(value) is not int or not 0 <= value <= maximum:
        raise DecodeError(f"{field_path}: expected a whole number from 0 to {maximum}")
    return value


def decode_report(data: bytes) -> ExecutorReport:
    """Decode an executor's answer to a hold; raises DecodeError, which names the invalid field.

    A report with an invalid row is refused as a whole: a run that it hides must not count as gone.
    """
    raw = _check_object(parse_json(data), "report")
    running, ended = raw.get("running"), raw.get("ended")
    if not isinstance(running, list) or not isinstance(ended, list):
        raise DecodeError("running, ended: expected lists")
    return ExecutorReport(
        _check_whole_number(raw.get("clockMs"), "clockMs"),
        _check_whole_number(raw.get("born"), "born", MAX_UNIX_MS),
        tuple(map(_decode_run, running)),
        tuple(map(_decode_end, ended)),
    )


def _decode_run(row: Any) -> RunReport:
    """Decode a running task.

    The fifth entry is the response time in ms if the task has a target, else the processors in use.
    """
    if not isinstance(row, list) or len(row) < 3:
        raise DecodeError("running: expected rows of three values at least")
    return RunReport(
        _check_text(row[0], "running.task"),
        _check_whole_number(row[1], "running.run"),
        _check_text(row[2] or "", "running.saved", MAX_SAVED_CHARS),
        float(_check_number(row[3], "running.percent")) if len(row) > 3 else 100.0,
        float(_check_number(row[4] or 0, "running.figure")) if len(row) > 4 else 0.0,
    )


def _decode_end(row: Any) -> EndReport:
    """Decode the end of a run.

    Each row starts with the number of the ended run within the incarnation of the executor; the
    next hold sends the last one received as `lastSeen`. `how` says what ended the run.
    """
    if not isinstance(row, list) or len(row) < 4:
        raise DecodeError("ended: expected rows of four values at least")
    return EndReport(
        _check_whole_number(row[0], "ended.number"),
        _check_text(row[1], "ended.task"),
        _check_whole_number(row[2], "ended.run"),
        _check_text(row[3], "ended.how"),
        _check_text(row[4] or "", "ended.saved", MAX_SAVED_CHARS) if len(row) > 4 else "",
    )


def decode_order_answer(data: bytes) -> tuple[str, int | None]:
    """Return the reason in an answer to an order, if any, and the executor's clock if it is valid.

    The status says whether the order was carried out, so that no body is required.
    """
    try:
        raw = _check_object(parse_json(data), "answer") if data else {}
    except DecodeError:
        return "", None
    reason = raw.get("reason")
    try:
        clock_ms = _check_whole_number(raw.get("clockMs"), "clockMs")
    except DecodeError:
        clock_ms = None
    return reason if isinstance(reason, str) else "", clock_ms


def decode_advice_answer(data: bytes) -> tuple[dict[str, str], float]:
    """Return the tickets in the adviser's answer by executor, and how long they are valid.

    Rows that cannot be read recommend no executor. Raises DecodeError, which names the invalid
    field.
    """
    raw = _check_object(parse_json(data), "answer")
    rows = raw.get("good")
    if not isinstance(rows, list):
        raise DecodeError("good: expected a list")
    valid_s = _check_number(raw.get("validMs"), "validMs", MAX_DURATION_MS) / 1000
    return dict(row[:2] for row in rows if _is_recommendation(row)), valid_s


def _is_recommendation(row: Any) -> bool:
    """Return whether a row of the adviser's answer is the id of an executor and a ticket."""
    if not isinstance(row, list) or len(row) < 2:
        return False
    return all(isinstance(text, str) and len(text) <= MAX_SAVED_CHARS for text in row[:2])


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


def _parse_number_field(
    raw: dict[str, Any], name: str, field_path: str, maximum: int = MAX_WHOLE_NUMBER
) -> int:
    """Return a number field of a request body, 0 if it is missing; raises InputError."""
    try:
        return int(_check_number(raw.get(name, 0) or 0, f"{field_path}.{name}", maximum))
    except DecodeError as err:
        raise InputError(str(err)) from err


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
    cpu = 0 if raw.get("fills") else _parse_number_field(raw, "cpu", field_path, MAX_CPU_MILLICORES)
    return Step(
        count=_parse_number_field(raw, "count", field_path),
        demand=Resources(
            cpu,
            _parse_number_field(raw, "memMb", field_path, MAX_MEMORY_MB),
            _parse_number_field(raw, "gpu", field_path, MAX_GPUS),
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
        """Decode the cell's configuration; raises DecodeError, which names the invalid field."""
        return decode_config(value)

    def decode_executor(self, key: str, value: bytes) -> ExecutorEntry:
        """Decode an executor's entry; raises DecodeError, which names the invalid field."""
        return decode_executor(key, value)

    def parse_executor_id(self, key: str) -> str:
        """Return the id of the executor under a key."""
        return key.removeprefix(EXECUTORS_PREFIX)
