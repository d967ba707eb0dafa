"""Fuzz tests of the decoders of what other processes write: they raise the declared errors only."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Final

import msgpack
import orjson
import pytest

from tests.platform.test_wire import EXECUTOR_ENTRY, QUEUE
from tests.scheduling.test_records import JOB, PROGRESS
from wasabiramp.core.records import DecodeError, decode_message, encode_message
from wasabiramp.core.verdict import Verdict
from wasabiramp.entry.election import decode_claim, decode_member, parse_term
from wasabiramp.entry.keys import KEY_TERM, PREFIX_MEMBER
from wasabiramp.entry.peers import AnnounceJobs, AskAdviser, PeerAnswer, ShowJob
from wasabiramp.entry.ports import Item
from wasabiramp.platform.items import decode_changes, decode_item, decode_page, parse_lenient_json
from wasabiramp.platform.wire import (
    InputError,
    decode_advice_answer,
    decode_config,
    decode_executor,
    decode_job,
    decode_order_answer,
    decode_report,
)
from wasabiramp.scheduling.records import (
    decode_definition,
    decode_progress,
    encode_definition,
    encode_progress,
)

SEEDS: Final = range(20)
CASES_PER_SEED: Final = 250
ODD_JSON: Final = [
    b"1e308",
    b"-1e308",
    b"1e400",
    b"18446744073709551615",
    b"18446744073709551616",
    b"9223372036854775808",
    b"-1",
    b"0.5",
    b"-0",
    b"1" * 5_000,
    b"NaN",
    b"Infinity",
    b"null",
    b"true",
    b"[]",
    b"{}",
    b'""',
    b'"\\ud800"',
    b'"\\u0000"',
    b'"8\xc2\xb2"',
    b'"10.0.0.1:70000"',
    b'"' + b"x" * 5_000 + b'"',
    b"[" * 500 + b"]" * 500,
    b"[" * 50_000,
    b'{"a":' * 500 + b"1" + b"}" * 500,
    b"\xff",
]
ODD_VALUES: Final = [
    None,
    True,
    -1,
    0.5,
    1e308,
    float("inf"),
    float("nan"),
    2**63,
    -(2**63),
    "",
    "\0",
    "x" * 5_000,
    "²",
    b"\xff",
    [],
    {},
    [[[[1]]]],
    {"a": {"b": 1}},
    {0: 0},
    msgpack.ExtType(1, b"\x90"),
    msgpack.ExtType(1, b"\x81\x00\x01"),
    msgpack.ExtType(5, b""),
]
REPORT: Final = {
    "clockMs": 5,
    "born": 9,
    "running": [["t.0.0.0", 2, "s", 41, 7]],
    "ended": [[58, "t.0.0.1", 1, "done", ""]],
}
ADVICE: Final = {"good": [["e1", "t"], ["e2", "t"]], "validMs": 2_500}
CONFIG: Final = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "prefix": "/p/",
            "service": "s",
            "priority": 1,
            "maxAttempts": 2,
            "stretch": 1.5,
            "timeoutMs": 3_000,
            "targetLatencyMs": 250,
            "advice": {"decideMs": 20, "eachMs": 0.5, "validMs": 2_500},
        }
    ],
    "limits": {"maxBodyBytes": 5},
}
BODY: Final = {
    "spec": "x",
    "steps": [{"count": 2, "cpu": 500, "after": [], "requires": "a", "targetMs": 5, "gang": True}],
    "repeatCount": 2,
    "firstMs": 5,
    "intervalMs": 7,
}
ROW: Final = {"key": "p/a", "value": "eA==", "rev": 5, "created": 1, "lease": 0}
PAGE: Final = {"items": [ROW, ROW], "events": [ROW, ROW], "asOf": 9, "hasMore": False}


def list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all parts of a value; the whole value has the empty path."""
    paths = [path]
    if isinstance(value, dict):
        parts = list(value.items())
    else:
        parts = list(enumerate(value)) if type(value) in (list, tuple) else []
    for key, part in parts:
        paths += list_paths(part, (*path, key))
    return paths


def replace_part(value: Any, path: tuple[Any, ...], part: Any) -> Any:
    """Return a copy of a value with the part at a path replaced."""
    if not path:
        return part
    key, *rest = path
    if isinstance(value, dict):
        return {**value, key: replace_part(value[key], tuple(rest), part)}
    changed = list(value)
    changed[key] = replace_part(changed[key], tuple(rest), part)
    return changed


def cut_bytes(random: Random, data: bytes) -> bytes:
    """Return data with some bytes changed, removed or repeated."""
    changed = bytearray(data)
    for _ in range(random.randrange(1, 4)):
        position = random.randrange(len(changed) + 1)
        kind = random.randrange(3)
        if kind == 0:
            changed[position : position + 1] = bytes([random.randrange(256)])
        elif kind == 1:
            del changed[position : position + random.randrange(1, 9)]
        else:
            changed[position:position] = changed[: random.randrange(20)]
    return bytes(changed)


def draw_json(random: Random, good: Any) -> bytes:
    """Draw a text near a JSON value, with one or two odd parts or changed bytes."""
    value, marks = good, []
    for number in range(random.randrange(1, 3)):
        marks.append(f"odd part {number}")
        value = replace_part(value, random.choice(list_paths(value)), marks[-1])
    data = orjson.dumps(value)
    for mark in marks:
        data = data.replace(orjson.dumps(mark), random.choice(ODD_JSON))
    return cut_bytes(random, data) if random.random() < 0.3 else data


def draw_msgpack(random: Random, good: bytes) -> bytes:
    """Draw bytes near an encoded value, with one or two odd parts or changed bytes."""
    value = msgpack.unpackb(good, strict_map_key=False)
    if isinstance(value, msgpack.ExtType) and random.random() < 0.9:
        return msgpack.packb(msgpack.ExtType(value.code, draw_msgpack(random, value.data)))
    for _ in range(random.randrange(1, 3)):
        value = replace_part(value, random.choice(list_paths(value)), random.choice(ODD_VALUES))
    data = msgpack.packb(value)
    return cut_bytes(random, data) if random.random() < 0.3 else data


def decode_odd_job(data: bytes) -> Any:
    """Decode a job of a caller, whose record must be encodable."""
    job = decode_job(data, "a" * 16, QUEUE, 5)
    return decode_definition(encode_definition(job))


def decode_odd_executor(data: bytes) -> Any:
    """Decode an executor's entry, whose parts must be encodable."""
    entry = decode_executor("servers/i-1", data)
    orjson.dumps([entry.id, entry.address, entry.born_ms, entry.capacity.cpu, entry.labels])
    return msgpack.packb((entry.id, entry.address, entry.born_ms))


def decode_odd_report(data: bytes) -> Any:
    """Decode an executor's report, whose parts must be encodable."""
    report = decode_report(data)
    rows = [(run.task, run.run, run.saved) for run in report.running]
    rows += [(end.task, end.run, end.saved) for end in report.ended]
    return orjson.dumps([report.clock_ms + 6_000, report.born_ms, rows])


class TestJsonDecoders:
    """Each decoder of JSON raises only its declared error, and returns what can be encoded."""

    # Guards against odd entries that end the process or the loop that reads them.
    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(
        ("good", "decode", "errors"),
        [
            (EXECUTOR_ENTRY, decode_odd_executor, DecodeError),
            (CONFIG, decode_config, DecodeError),
            (REPORT, decode_odd_report, DecodeError),
            (REPORT, decode_order_answer, ()),
            (ADVICE, decode_advice_answer, DecodeError),
            (BODY, decode_odd_job, InputError),
        ],
        ids=["executor", "config", "report", "order", "advice", "job"],
    )
    def test_declared_errors_only(
        self, good: Any, decode: Callable[[bytes], Any], errors: Any, seed: int
    ) -> None:
        random = Random(seed)
        for _ in range(CASES_PER_SEED):
            data = draw_json(random, good)
            try:
                decode(data)
            except errors as err:
                assert len(str(err)) < 300

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize("decode", [decode_page, decode_changes])
    def test_answers_of_the_store(self, decode: Callable[[Any], Any], seed: int) -> None:
        """The client handles these errors as a lost answer."""
        random = Random(seed)
        for _ in range(CASES_PER_SEED):
            data = draw_json(random, PAGE)
            try:
                rows, *_rest = decode(parse_lenient_json(data))
            except (KeyError, TypeError, ValueError, AttributeError, RecursionError):
                continue
            for row in rows:
                row.key.encode()
                assert 0 <= row.revision < 2**63

    @pytest.mark.parametrize("seed", SEEDS)
    def test_items(self, seed: int) -> None:
        random = Random(seed)
        for _ in range(CASES_PER_SEED):
            data = draw_json(random, ROW)
            try:
                raw = parse_lenient_json(data)
            except (ValueError, RecursionError):
                continue
            try:
                assert isinstance(decode_item(raw).value, bytes)
            except DecodeError as err:
                assert str(err)


class TestMsgpackDecoders:
    """Each decoder of msgpack raises only its declared error."""

    @pytest.mark.parametrize("seed", SEEDS)
    @pytest.mark.parametrize(
        ("good", "decode"),
        [
            (encode_definition(JOB), decode_definition),
            (encode_progress(PROGRESS), decode_progress),
            (
                msgpack.packb(("a", "10.0.0.1:80", 1.5)),
                lambda data: decode_member(Item(PREFIX_MEMBER + "a", data, 7), "10.0.0.2:80"),
            ),
            (msgpack.packb(("a", 5)), lambda data: decode_claim(Item(KEY_TERM, data, 7))),
            (encode_message(PeerAnswer("ok", [1, {"a": 2}])), decode_message),
            (encode_message(AnnounceJobs([(b"x", 5)])), decode_message),
            (encode_message(AskAdviser("s", ["e"], 0.5)), decode_message),
            (encode_message([ShowJob("a"), Verdict.not_run("full")]), decode_message),
        ],
        ids=["job", "progress", "member", "claim", "answer", "announce", "ask", "list"],
    )
    def test_declared_errors_only(
        self, good: bytes, decode: Callable[[bytes], Any], seed: int
    ) -> None:
        random = Random(seed)
        for _ in range(CASES_PER_SEED):
            data = draw_msgpack(random, good)
            try:
                decode(data)
            except DecodeError as err:
                assert len(str(err)) < 300

    @pytest.mark.parametrize("seed", SEEDS)
    def test_term_is_always_a_number(self, seed: int) -> None:
        random = Random(seed)
        for _ in range(CASES_PER_SEED):
            item = Item(KEY_TERM, draw_msgpack(random, msgpack.packb(("a", 5))), 7)
            assert 1 <= parse_term(item) <= 7
