"""Encode and decode the job records in the store (msgpack)."""

from __future__ import annotations

from dataclasses import astuple
from typing import Any, Final

import msgpack

from wasabiramp.core.records import DecodeError, unpack
from wasabiramp.scheduling.jobs import MAX_STEPS, MAX_TASKS, validate_steps
from wasabiramp.scheduling.model import (
    FINAL_PHASES,
    PENDING,
    RUNNING,
    VOID,
    AdvicePolicy,
    Crash,
    FailedEnd,
    JobDefinition,
    JobProgress,
    Queue,
    Resources,
    Step,
    StepProgress,
)

FORMAT: Final = 1
"""Format version, the first field of each record; decoding rejects any other version."""

MAX_NUMBER: Final = 2**53 - 1
"""Greatest number in a record."""

MAX_ROWS: Final = 1_000_000
"""Greatest length of a list in the progress of a job."""

MAX_SAVED_BYTES: Final = 524_288
"""Bytes of saved values in the progress of a job, as each change of it writes them all."""

SAVED_OVERHEAD_BYTES: Final = 8
"""Bytes that each saved value takes besides its text."""

SAVED_REDUCTION: Final = 8
"""Factor by which the saved values are reduced until a record fits."""

PHASES: Final = FINAL_PHASES | {PENDING, RUNNING, VOID}


def encode_definition(job: JobDefinition) -> bytes:
    """Encode a job definition."""
    queue = job.queue
    advice = queue.advice
    advice_row = (advice.decide_s, advice.each_s, advice.valid_s) if advice is not None else None
    queue_row = (
        queue.name,
        queue.host,
        queue.prefix,
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_s,
        queue.timeout_s,
        advice_row,
    )
    steps = [_encode_step(step) for step in job.steps]
    times = (job.accepted_ms, job.repeat_count, job.first_ms, job.interval_ms)
    return msgpack.packb((FORMAT, job.id, queue_row, job.spec, steps, times))


def _encode_step(step: Step) -> tuple[Any, ...]:
    """Return the fields of a step as a tuple."""
    demand = step.demand
    return (
        step.count,
        (demand.cpu, demand.memory_mb, demand.gpu),
        step.estimate_s,
        step.after,
        step.is_gang,
        step.wants_one_rack,
        step.label,
        step.rack,
        step.max_per_executor,
        step.may_copy,
        step.is_lasting,
        step.saves_progress,
        step.may_miss,
        step.image,
        step.target_s,
        step.fills,
    )


def decode_definition(data: bytes) -> JobDefinition:
    """Decode a job definition; raise DecodeError if the data is invalid."""
    try:
        version, job_id, queue_row, spec, steps, times = unpack(data)
        _check_version(version)
        definition = JobDefinition(
            _check_text(job_id, "id"),
            _decode_queue(queue_row),
            _check_text(spec, "spec"),
            tuple(_decode_step(row) for row in _check_list(steps, "steps", MAX_STEPS)),
            *(_check_whole_number(value, "times") for value in _check_list(times, "times", 4)),
        )
    except (ValueError, TypeError, IndexError) as err:
        raise DecodeError(f"job record cannot be decoded: {err}") from err
    problem = validate_steps(definition.steps)
    if problem or sum(step.count for step in definition.steps) > MAX_TASKS:
        raise DecodeError(problem or f"steps: expected at most {MAX_TASKS} tasks")
    return definition


def _decode_queue(row: Any) -> Queue:
    """Decode the copy of a job's queue."""
    row = _check_list(row, "queue", QUEUE_FIELDS, QUEUE_FIELDS)
    advice_row = row[9]
    advice = None
    if advice_row is not None:
        advice_row = _check_list(advice_row, "advice", 3, 3)
        advice = AdvicePolicy(*(_check_number(value, "advice") for value in advice_row))
    return Queue(
        *(_check_text(value, "queue") for value in row[:4]),
        *(_check_whole_number(value, "queue") for value in row[4:6]),
        *(_check_number(value, "queue") for value in row[6:9]),
        advice,
    )


def _decode_step(row: Any) -> Step:
    """Decode a step; fields that the record of an earlier version lacks have their defaults."""
    row = _check_list(row, "step", STEP_FIELDS, 4)
    demand = _check_list(row[1], "demand", 3, 3)
    after = _check_list(row[3], "after", MAX_STEPS)
    checked = [check(value, "step") for check, value in zip(STEP_CHECKS, row[4:], strict=False)]
    return Step(
        _check_whole_number(row[0], "count"),
        Resources(*(_check_whole_number(value, "demand") for value in demand)),
        _check_number(row[2], "estimate"),
        tuple(_check_whole_number(value, "after") for value in after),
        *checked,
    )


def _check_version(version: Any) -> None:
    """Refuse a record of another format."""
    if version != FORMAT:
        raise DecodeError(f"unsupported record format {ascii(version)[:20]}")


def _check_list(value: Any, field: str, most: int, least: int = 0) -> list[Any]:
    """Return a list of a limited length; raises DecodeError, which names the field."""
    if not isinstance(value, list) or not least <= len(value) <= most:
        raise DecodeError(f"{field}: expected a list of {least} to {most} values")
    return value


def _check_map(value: Any, field: str) -> dict[int, Any]:
    """Return a map from whole numbers; raises DecodeError, which names the field."""
    if not isinstance(value, dict):
        raise DecodeError(f"{field}: expected a map")
    for key in value:
        _check_whole_number(key, field)
    return value


def _check_text(value: Any, field: str) -> str:
    """Return a text; raises DecodeError, which names the field."""
    if not isinstance(value, str):
        raise DecodeError(f"{field}: expected a text")
    return value


def _check_flag(value: Any, field: str) -> bool:
    """Return a truth value; raises DecodeError, which names the field."""
    if not isinstance(value, bool):
        raise DecodeError(f"{field}: expected true or false")
    return value


def _check_number(value: Any, field: str) -> float:
    """Return a number that is not negative; raises DecodeError, which names the field."""
    if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
        raise DecodeError(f"{field}: expected a number from 0 to {MAX_NUMBER}")
    return value


def _check_whole_number(value: Any, field: str) -> int:
    """Return a whole number that is not negative; raises DecodeError, which names the field."""
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise DecodeError(f"{field}: expected a whole number from 0 to {MAX_NUMBER}")
    return value


STEP_CHECKS: Final = (
    _check_flag,
    _check_flag,
    _check_text,
    _check_text,
    _check_whole_number,
    _check_flag,
    _check_flag,
    _check_flag,
    _check_whole_number,
    _check_text,
    _check_number,
    _check_flag,
)
"""Checks of the fields of a step after the first four, in the order of their encoding."""

STEP_FIELDS: Final = 4 + len(STEP_CHECKS)
QUEUE_FIELDS: Final = 10


def encode_progress(progress: JobProgress, saved_bytes: int = MAX_SAVED_BYTES) -> bytes:
    """Encode the progress of a job; of the saved values, leave out the longest that do not fit.

    Only work is lost with a saved value, and only if the owner changes before its task runs again.
    """
    saved = _select_saved(progress, saved_bytes)
    steps = [
        (occurrence, index, *_encode_step_progress(step, saved.get((occurrence, index), {})))
        for (occurrence, index), step in progress.steps.items()
        if step.done
        or step.failed
        or (occurrence, index) in saved
        or step.crashes
        or step.unconfirmed
    ]
    return msgpack.packb((FORMAT, progress.phase, steps))


def encode_progress_within(progress: JobProgress, most_bytes: int) -> bytes:
    """Encode the progress of a job with as many saved values as fit into a length.

    The record is longer if it does not fit even without them, as nothing else may be left out.
    """
    saved_bytes = min(MAX_SAVED_BYTES, most_bytes)
    record = encode_progress(progress, saved_bytes)
    while len(record) > most_bytes and saved_bytes:
        saved_bytes //= SAVED_REDUCTION
        record = encode_progress(progress, saved_bytes)
    return record


def _select_saved(progress: JobProgress, most_bytes: int) -> dict[tuple[int, int], dict[int, str]]:
    """Return the saved values by step: all, or the shortest ones if they are too long."""
    saved = {key: step.saved for key, step in progress.steps.items() if step.saved}
    texts = [text for by_task in saved.values() for text in by_task.values()]
    # The number of characters, which is known, is the least length.
    least_bytes = sum(map(len, texts)) + SAVED_OVERHEAD_BYTES * len(texts)
    if least_bytes <= most_bytes and _measure_texts(texts) <= most_bytes:
        return saved
    rows = [
        (_measure_texts([text]), key, number)
        for key, by_task in saved.items()
        for number, text in by_task.items()
    ]
    selected: dict[tuple[int, int], dict[int, str]] = {}
    left_bytes = most_bytes
    for size, key, number in sorted(rows):
        left_bytes -= size
        if left_bytes < 0:
            break
        selected.setdefault(key, {})[number] = saved[key][number]
    return selected


def _measure_texts(texts: list[str]) -> int:
    """Return the bytes that saved values take in a record."""
    return len("".join(texts).encode()) + SAVED_OVERHEAD_BYTES * len(texts)


def _encode_step_progress(step: StepProgress, saved: dict[int, str]) -> tuple[Any, ...]:
    """Return the fields of a step's progress; the last ones are left out if they are empty."""
    failed = {number: sorted(runs) for number, runs in step.failed.items()}
    fields = (sorted(step.done), failed, saved)
    if not step.crashes and not step.unconfirmed:
        return fields
    crashes = {
        number: [_encode_crash(crash) for crash in crashes]
        for number, crashes in step.crashes.items()
    }
    if not step.unconfirmed:
        return (*fields, crashes)
    unconfirmed = {
        number: [astuple(end) for end in ends] for number, ends in step.unconfirmed.items()
    }
    return (*fields, crashes, unconfirmed)


def _encode_crash(crash: Crash) -> tuple[Any, ...]:
    """Return the fields of a crash; the last ones are left out if they are not set."""
    fields = astuple(crash)
    if crash.is_inferred:
        return fields
    return fields[:-1] if crash.is_witnessed else fields[:-2]


def encode_void() -> bytes:
    """Encode the record of an id that was cancelled before its job was stored."""
    return encode_progress(JobProgress(VOID))


def decode_progress(data: bytes) -> JobProgress:
    """Decode the progress of a job; raise DecodeError if the data is invalid."""
    try:
        version, phase, steps = unpack(data)
        _check_version(version)
        if phase not in PHASES:
            raise DecodeError("phase: expected a phase of a job")
        progress = JobProgress(phase)
        for occurrence, index, done, failed, saved, *rest in steps:
            key = (
                _check_whole_number(occurrence, "occurrence"),
                _check_whole_number(index, "step"),
            )
            crashes, unconfirmed = (*rest[:2], *({},) * (2 - len(rest[:2])))
            progress.steps[key] = _decode_step_progress(done, failed, saved, crashes, unconfirmed)
        return progress
    except (ValueError, TypeError) as err:
        raise DecodeError(f"progress record cannot be decoded: {err}") from err


def _decode_step_progress(
    done: Any, failed: Any, saved: Any, crashes: Any, unconfirmed: Any
) -> StepProgress:
    """Decode the progress of one step."""
    return StepProgress(
        _decode_numbers(done, "done"),
        {
            number: _decode_numbers(runs, "failed")
            for number, runs in _check_map(failed, "failed").items()
        },
        {number: _check_text(text, "saved") for number, text in _check_map(saved, "saved").items()},
        {
            number: [_decode_crash(row) for row in _check_list(rows, "crashes", MAX_ROWS)]
            for number, rows in _check_map(crashes, "crashes").items()
        },
        {
            number: [_decode_failed_end(row) for row in _check_list(rows, "unconfirmed", MAX_ROWS)]
            for number, rows in _check_map(unconfirmed, "unconfirmed").items()
        },
    )


def _decode_numbers(value: Any, field: str) -> set[int]:
    """Decode a set of whole numbers."""
    return {_check_whole_number(number, field) for number in _check_list(value, field, MAX_ROWS)}


def _decode_crash(row: Any) -> Crash:
    """Decode a crash of an executor under a task."""
    executor, born_ms, age_s, blame, *more = _check_list(row, "crash", 9, 4)
    crash = Crash(
        _check_text(executor, "crash"),
        _check_whole_number(born_ms, "crash"),
        _check_number(age_s, "crash"),
        _check_number(blame, "crash"),
        *(_check_flag(flag, "crash") for flag in more[:2]),
    )
    if len(more) > 2:
        crash.survived_s = _check_number(more[2], "crash")
    if len(more) > 3:
        crash.is_witnessed = _check_flag(more[3], "crash")
    if len(more) > 4:
        crash.is_inferred = _check_flag(more[4], "crash")
    return crash


def _decode_failed_end(row: Any) -> FailedEnd:
    """Decode the end of a failed run that may count as an attempt."""
    run, executor, born_ms, number = _check_list(row, "unconfirmed", 4, 4)
    return FailedEnd(
        _check_whole_number(run, "unconfirmed"),
        _check_text(executor, "unconfirmed"),
        _check_whole_number(born_ms, "unconfirmed"),
        _check_whole_number(number, "unconfirmed"),
    )


def check_progress(definition: JobDefinition, progress: JobProgress) -> None:
    """Raise DecodeError if the progress names steps or tasks that the job does not have."""
    occurrences = max(1, definition.repeat_count)
    for (occurrence, index), step in progress.steps.items():
        if occurrence >= occurrences or index >= len(definition.steps):
            raise DecodeError("progress: unexpected step")
        count = definition.steps[index].count
        by_task = (step.done, step.failed, step.saved, step.crashes, step.unconfirmed)
        if any(number >= count for numbers in by_task for number in numbers):
            raise DecodeError("progress: unexpected task")
