"""Tests of the job records in the store, to which other writers may write too."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import msgpack
import pytest

from wasabiramp.core.records import DecodeError
from wasabiramp.scheduling.model import (
    RUNNING,
    AdvicePolicy,
    Crash,
    JobDefinition,
    JobProgress,
    Queue,
    Resources,
    Step,
    StepProgress,
)
from wasabiramp.scheduling.records import (
    check_progress,
    decode_definition,
    decode_progress,
    encode_definition,
    encode_progress,
)

QUEUE = Queue("q", "h", "/q/", "s", 1, 3, 1.5, 0.25, 3.0, AdvicePolicy(0.02, 0.001, 2.5))
STEPS = (
    Step(3, Resources(500, 100, 1), 1.5, saves_progress=True, label="a"),
    Step(2, Resources(0, 100, 0), 0.5, (0,), is_gang=True, image="web", target_s=0.25, fills=True),
)
JOB = JobDefinition("a" * 16, QUEUE, "spec", STEPS, 5, 2, 7, 9)
PROGRESS = JobProgress(
    RUNNING,
    {
        (0, 0): StepProgress({0, 2}, {1: {100_001}}, {1: "x"}, {1: [Crash("i-1", 5, 0.5, 0.25)]}),
        (1, 1): StepProgress({0}, {}, {}, {}),
    },
)
ODD_BYTES = [
    b"",
    b"\xc1",
    b"\x91" * 100_000,
    b"\xdd\xff\xff\xff\xff",
    b"\xc7\x01\x05a",
    msgpack.packb(None),
    msgpack.packb(5),
    msgpack.packb("abc"),
    msgpack.packb({0: 1, 1: 2, 2: 3}),
    msgpack.packb([1, 2]),
]
ODD_VALUES = [
    None,
    True,
    -1,
    1.5,
    2**63,
    1e308,
    float("inf"),
    float("nan"),
    "x",
    "1" * 5_000,
    [],
    {},
    [[1]],
    {"a": 1},
    {0: 1},
    b"x",
]


def replace_parts(row: Any, value: Any) -> list[Any]:
    """Return copies of a nested row, each with another part replaced by the value."""
    if isinstance(row, list):
        changed = [
            row[:n] + [part] + row[n + 1 :]
            for n in range(len(row))
            for part in replace_parts(row[n], value)
        ]
    elif isinstance(row, dict):
        changed = [{**row, key: part} for key in row for part in replace_parts(row[key], value)]
    else:
        changed = []
    return [value, *changed]


class TestRoundTrip:
    """A record is unchanged after encoding and decoding."""

    def test_definition(self) -> None:
        assert decode_definition(encode_definition(JOB)) == JOB

    def test_progress(self) -> None:
        progress = decode_progress(encode_progress(PROGRESS))
        assert progress == PROGRESS
        check_progress(JOB, progress)


class TestOddRecords:
    """A record of another form raises DecodeError, and whatever decodes can be used."""

    @pytest.mark.parametrize("data", ODD_BYTES, ids=range(len(ODD_BYTES)))
    def test_odd_bytes_are_refused(self, data: bytes) -> None:
        with pytest.raises(DecodeError):
            decode_definition(data)
        with pytest.raises(DecodeError):
            decode_progress(data)

    # Guards against errors other than DecodeError, which ended each recovery of the owner.
    @pytest.mark.parametrize("value", ODD_VALUES, ids=ascii)
    def test_any_part_of_a_definition_may_be_odd(self, value: Any) -> None:
        rows = replace_parts(msgpack.unpackb(encode_definition(JOB)), value)
        assert len(rows) > 50
        for row in rows:
            try:
                definition = decode_definition(msgpack.packb(row))
            except DecodeError as err:
                assert len(str(err)) < 200
                continue
            assert decode_definition(encode_definition(definition)) == definition

    @pytest.mark.parametrize("value", ODD_VALUES, ids=ascii)
    def test_any_part_of_the_progress_may_be_odd(self, value: Any) -> None:
        rows = replace_parts(
            msgpack.unpackb(encode_progress(PROGRESS), strict_map_key=False), value
        )
        assert len(rows) > 20
        for row in rows:
            try:
                progress = decode_progress(msgpack.packb(row))
            except DecodeError as err:
                assert len(str(err)) < 200
                continue
            assert decode_progress(encode_progress(progress)).phase == progress.phase

    # Guards against a record that uses up the memory of the owner.
    @pytest.mark.parametrize("count", [20_001, 2**40, 2**53 - 1])
    def test_definition_with_too_many_tasks_is_refused(self, count: int) -> None:
        job = JobDefinition("a" * 16, QUEUE, "", (Step(count, Resources(), 1.0),))
        with pytest.raises(DecodeError, match="tasks"):
            decode_definition(encode_definition(job))

    @pytest.mark.parametrize("after", [(0,), (1,), (2**40,)])
    def test_definition_with_unknown_earlier_steps_is_refused(self, after: tuple[int]) -> None:
        job = JobDefinition("a" * 16, QUEUE, "", (Step(1, Resources(), 1.0, after),))
        with pytest.raises(DecodeError, match="after"):
            decode_definition(encode_definition(job))

    # Guards against a job that is shown as done as other tasks than its own are.
    @pytest.mark.parametrize(
        "progress",
        [
            JobProgress(steps={(2, 0): StepProgress({0})}),
            JobProgress(steps={(0, 2): StepProgress({0})}),
            JobProgress(steps={(0, 0): StepProgress({3})}),
            JobProgress(steps={(0, 0): StepProgress(set(), {3: {1}})}),
            JobProgress(steps={(0, 0): StepProgress(set(), {}, {2**40: "x"})}),
        ],
        ids=range(5),
    )
    def test_progress_of_other_tasks_is_refused(self, progress: JobProgress) -> None:
        with pytest.raises(DecodeError, match="unexpected"):
            check_progress(JOB, decode_progress(encode_progress(progress)))

    @given(st.binary(max_size=200))
    def test_any_bytes_decode_or_raise_decode_error(self, data: bytes) -> None:
        for decode in (decode_definition, decode_progress):
            try:
                decode(data)
            except DecodeError as err:
                assert str(err)
