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
    FailedEnd,
    JobDefinition,
    JobProgress,
    Queue,
    Resources,
    Step,
    StepProgress,
)
from wasabiramp.scheduling.records import (
    MAX_SAVED_BYTES,
    check_progress,
    decode_definition,
    decode_progress,
    encode_definition,
    encode_progress,
    encode_progress_within,
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
CRASHES = {1: [Crash("i-1", 5, 0.5, 0.25)]}
UNCONFIRMED = {0: [FailedEnd(100_002, "i-1", 5, 7), FailedEnd(100_003, "i-2", 6, 1)], 2: []}
OPEN_PROGRESS = JobProgress(
    RUNNING,
    {
        (0, 0): StepProgress({0, 2}, {1: {100_001}}, {1: "x"}, CRASHES, UNCONFIRMED),
        (1, 1): StepProgress({0}, unconfirmed={0: [FailedEnd(1, "i-1", 5, 1)]}),
    },
)
"""Progress with ends that may count as attempts."""

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


class TestUnconfirmedEnds:
    """Ends that may count as attempts are stored, and may be missing from earlier records."""

    @pytest.mark.parametrize("crashes", [{}, CRASHES], ids=["without", "with"])
    @pytest.mark.parametrize("done", [set(), {0}])
    def test_round_trip_with_and_without_crashes(
        self, done: set[int], crashes: dict[int, list[Crash]]
    ) -> None:
        step = StepProgress(done, {}, {}, crashes, {1: [FailedEnd(100_002, "i-1", 5, 7)]})
        progress = JobProgress(RUNNING, {(0, 0): step})
        decoded = decode_progress(encode_progress(progress))
        assert decoded == progress
        check_progress(JOB, decoded)

    def test_round_trip_of_several_steps(self) -> None:
        progress = decode_progress(encode_progress(OPEN_PROGRESS))
        assert progress == OPEN_PROGRESS
        check_progress(JOB, progress)

    # An earlier build stores crashes or nothing after the saved states.
    @pytest.mark.parametrize("rest", [(), ({1: [["i-1", 5, 0.5, 0.25, True, False, 0.0]]},)])
    def test_record_of_an_earlier_build(self, rest: tuple[Any, ...]) -> None:
        data = msgpack.packb((1, RUNNING, [(0, 0, [0], {1: [100_001]}, {1: "x"}, *rest)]))
        step = decode_progress(data).steps[(0, 0)]
        assert step.unconfirmed == {}
        assert step.crashes == (CRASHES if rest else {})
        assert (step.done, step.failed, step.saved) == ({0}, {1: {100_001}}, {1: "x"})

    def test_record_without_such_ends_has_its_earlier_form(self) -> None:
        rows = msgpack.unpackb(encode_progress(PROGRESS), strict_map_key=False)[2]
        assert [len(row) for row in rows] == [6, 5]

    @pytest.mark.parametrize(
        "rows",
        [
            None,
            5,
            "x",
            [],
            [[1, "i-1", 5, 7]],
            {"a": []},
            {-1: []},
            {1: None},
            {1: 5},
            {1: [5]},
            {1: [[]]},
            {1: [[1, "i-1", 5]]},
            {1: [[1, "i-1", 5, 7, 8]]},
            {1: [["1", "i-1", 5, 7]]},
            {1: [[1, 1, 5, 7]]},
            {1: [[1, "i-1", 5.5, 7]]},
            {1: [[1, "i-1", 5, None]]},
            {1: [[True, "i-1", 5, 7]]},
            {1: [[-1, "i-1", 5, 7]]},
            {1: [[1, "i-1", -5, 7]]},
            {1: [[1, "i-1", 5, 2**53]]},
        ],
        ids=ascii,
    )
    def test_invalid_value_is_refused_by_its_name(self, rows: Any) -> None:
        data = msgpack.packb((1, RUNNING, [(0, 0, [], {}, {}, {}, rows)]))
        with pytest.raises(DecodeError, match="unconfirmed"):
            decode_progress(data)

    @pytest.mark.parametrize("value", ODD_VALUES, ids=ascii)
    def test_any_part_may_be_odd(self, value: Any) -> None:
        row = msgpack.unpackb(encode_progress(OPEN_PROGRESS), strict_map_key=False)
        rows = replace_parts(row, value)
        assert len(rows) > 40
        for changed in rows:
            try:
                progress = decode_progress(msgpack.packb(changed))
            except DecodeError as err:
                assert len(str(err)) < 200
                continue
            assert decode_progress(encode_progress(progress)) == progress

    @pytest.mark.parametrize(("step", "index"), [(0, 3), (1, 2), (0, 2**40)])
    def test_index_out_of_range_is_refused(self, step: int, index: int) -> None:
        ends = {index: [FailedEnd(1, "i-1", 5, 1)]}
        progress = JobProgress(RUNNING, {(0, step): StepProgress(unconfirmed=ends)})
        decoded = decode_progress(encode_progress(progress))
        with pytest.raises(DecodeError, match="unexpected task"):
            check_progress(JOB, decoded)


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


STORE_VALUE_BYTES = 1_048_576
"""Greatest length of a value in the platform's store."""


def make_saved(count: int, length: int) -> dict[int, str]:
    """Return a saved value of this length for each task."""
    return {number: f"{number:08}".ljust(length, "x") for number in range(count)}


class TestSavedValues:
    """Saved values make no record too long; what cannot be earned again is always in it."""

    # Guards against Acks: the record grew beyond what the store takes, and none was stored.
    @pytest.mark.parametrize("text", ["x", "\u00e4", "\U0001f600"])
    def test_record_fits_whatever_the_saved_values_are(self, text: str) -> None:
        saved = {number: text * 2_000 for number in range(2_000)}
        progress = JobProgress(RUNNING, {(0, 0): StepProgress(saved=saved)})
        decoded = decode_progress(encode_progress(progress))
        assert len(encode_progress(progress)) < STORE_VALUE_BYTES
        assert 0 < len(decoded.steps[(0, 0)].saved) < 2_000

    # Guards against a job of the greatest size that loses saved values of the usual length.
    def test_usual_values_of_all_tasks_are_kept(self) -> None:
        progress = JobProgress(RUNNING, {(0, 0): StepProgress(saved=make_saved(20_000, 16))})
        assert decode_progress(encode_progress(progress)) == progress

    def test_longest_values_are_left_out_first(self) -> None:
        long, short = "x" * (MAX_SAVED_BYTES - 100), "x" * 200
        progress = JobProgress(RUNNING, {(0, 0): StepProgress(saved={0: long, 1: short, 2: short})})
        saved = decode_progress(encode_progress(progress)).steps[(0, 0)].saved
        assert saved == {1: short, 2: short}

    # Guards against TWICE and BUDGET: only saved values may be left out, and each one whole.
    def test_all_else_is_kept(self) -> None:
        progress = JobProgress(RUNNING, dict(OPEN_PROGRESS.steps))
        progress.steps[(1, 0)] = StepProgress({1}, {2: {7}}, make_saved(600, 2_000), CRASHES)
        decoded = decode_progress(encode_progress_within(progress, 300_000))
        kept = decoded.steps[(1, 0)].saved
        assert kept.items() < progress.steps[(1, 0)].saved.items()
        decoded.steps[(1, 0)].saved = progress.steps[(1, 0)].saved
        assert decoded == progress

    def test_step_with_nothing_else_is_left_out(self) -> None:
        progress = JobProgress(RUNNING, {(0, 0): StepProgress(saved={0: "x" * MAX_SAVED_BYTES})})
        assert decode_progress(encode_progress(progress)) == JobProgress(RUNNING)

    # Guards against a record that takes a different length than its parts were estimated at.
    @given(
        st.integers(0, 3_000),
        st.lists(st.text(max_size=60), max_size=40),
        st.integers(1_000, 10_000),
    )
    def test_record_fits_if_all_else_does(
        self, done: int, texts: list[str], most_bytes: int
    ) -> None:
        steps = {(0, 0): StepProgress(set(range(done)), saved=dict(enumerate(texts)))}
        record = encode_progress_within(JobProgress(RUNNING, steps), most_bytes)
        bare = encode_progress(JobProgress(RUNNING, steps), 0)
        assert len(record) <= max(most_bytes, len(bare))
        assert decode_progress(bare).steps.get((0, 0), StepProgress()).done == set(range(done))
