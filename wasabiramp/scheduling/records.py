"""Encode and decode the job records in the store (msgpack)."""

from __future__ import annotations

from dataclasses import astuple
from typing import Any, Final

import msgpack

from wasabiramp.core.records import DecodeError
from wasabiramp.scheduling.model import (
    VOID,
    AdvicePolicy,
    Crash,
    JobDefinition,
    JobProgress,
    Queue,
    Resources,
    Step,
    StepProgress,
)

FORMAT: Final = 1
"""Format version, the first field of each record; decoding rejects any other version."""


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
        version, job_id, queue_row, spec, steps, times = msgpack.unpackb(data)
        if version != FORMAT:
            raise DecodeError(f"unsupported job record format {version}")
        advice_row = queue_row[9]
        advice = AdvicePolicy(*advice_row) if advice_row is not None else None
        queue = Queue(*queue_row[:9], advice)
        decoded_steps = tuple(
            Step(row[0], Resources(*row[1]), row[2], tuple(row[3]), *row[4:]) for row in steps
        )
        return JobDefinition(job_id, queue, spec, decoded_steps, *times)
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as err:
        raise DecodeError(f"job record cannot be decoded: {err}") from err


def encode_progress(progress: JobProgress) -> bytes:
    """Encode the progress of a job."""
    steps = [
        (occurrence, index, *_encode_step_progress(step))
        for (occurrence, index), step in progress.steps.items()
        if step.done or step.failed or step.saved or step.crashes
    ]
    return msgpack.packb((FORMAT, progress.phase, steps))


def _encode_step_progress(step: StepProgress) -> tuple[Any, ...]:
    """Return the fields of a step's progress; the crashes are left out if there are none."""
    failed = {number: sorted(runs) for number, runs in step.failed.items()}
    fields = (sorted(step.done), failed, step.saved)
    if not step.crashes:
        return fields
    crashes = {
        number: [astuple(crash) for crash in crashes] for number, crashes in step.crashes.items()
    }
    return (*fields, crashes)


def encode_void() -> bytes:
    """Encode the record of an id that was cancelled before its job was stored."""
    return encode_progress(JobProgress(VOID))


def decode_progress(data: bytes) -> JobProgress:
    """Decode the progress of a job; raise DecodeError if the data is invalid."""
    try:
        version, phase, steps = msgpack.unpackb(data, strict_map_key=False)
        if version != FORMAT:
            raise DecodeError(f"unsupported progress record format {version}")
        progress = JobProgress(phase)
        for occurrence, index, done, failed, saved, *rest in steps:
            runs = {number: set(numbers) for number, numbers in failed.items()}
            rows_by_task = rest[0] if rest else {}
            crashes = {n: [Crash(*row) for row in rows] for n, rows in rows_by_task.items()}
            progress.steps[(occurrence, index)] = StepProgress(set(done), runs, saved, crashes)
        return progress
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as err:
        raise DecodeError(f"progress record cannot be decoded: {err}") from err
