"""Tests of the record encodings."""

from __future__ import annotations

import subprocess
import sys

from hypothesis import given
from hypothesis import strategies as st
import msgpack
import pytest

from wasabiramp.core.records import (
    MAX_JSON_DEPTH,
    MAX_RECORD_DEPTH,
    DecodeError,
    decode_json,
    decode_message,
    encode_json,
    encode_message,
    unpack,
)
from wasabiramp.core.verdict import Verdict
from wasabiramp.peer.messages import PlaceAsked, Placement

VERDICTS = st.builds(
    Verdict,
    st.sampled_from(["ran", "not-run", "may-have-run"]),
    st.text(),
    st.none() | st.floats(0, 1e6),
    st.binary(),
)


class TestCodec:
    """Records are unchanged after encoding and decoding; invalid data raises DecodeError."""

    @given(VERDICTS)
    def test_message_round_trip(self, verdict: Verdict) -> None:
        assert decode_message(encode_message(verdict)) == verdict

    @given(VERDICTS)
    def test_json_round_trip(self, verdict: Verdict) -> None:
        assert decode_json(encode_json(verdict)) == verdict

    def test_nested_records(self) -> None:
        asked = PlaceAsked(3, 1, [Placement("rims/a/0", 1, 1.0, 2.0, 0, 0, {"x": [1]}, [])])
        assert decode_message(encode_message(asked)) == asked

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_decode_or_raise_decode_error(self, data: bytes) -> None:
        try:
            decode_message(data)
        except DecodeError as err:
            assert str(err)

    def test_truncated_message_is_refused(self) -> None:
        data = encode_message(Verdict.not_run("queue full"))
        for cut in range(len(data)):
            with pytest.raises(DecodeError):
                decode_message(data[:cut])

    def test_unknown_record_is_refused(self) -> None:
        with pytest.raises(DecodeError, match="unknown record Nothing"):
            decode_json('{"record": "Nothing"}')


EXT_RECORD = 1


def nest_records(levels: int) -> bytes:
    """Return a message of records within records."""
    data = msgpack.packb(["Verdict"])
    for _ in range(levels):
        data = msgpack.packb(["Verdict", msgpack.ExtType(EXT_RECORD, data)])
    return msgpack.packb(msgpack.ExtType(EXT_RECORD, data))


class TestOddData:
    """Data of other writers decodes or raises DecodeError; it never ends the process."""

    # Guards against a message of about a kilobyte that ended the daemon which received it.
    @pytest.mark.parametrize("levels", [MAX_RECORD_DEPTH, 200, 1_000])
    def test_deeply_nested_records_do_not_end_the_process(self, levels: int) -> None:
        code = (
            "import sys; from wasabiramp.core.records import DecodeError, decode_message\n"
            "try: decode_message(sys.stdin.buffer.read())\n"
            "except DecodeError: print('refused')"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            input=nest_records(levels),
            capture_output=True,
            timeout=20,
            check=False,
        )
        assert (done.returncode, done.stdout) == (0, b"refused\n")

    # Guards against errors that the receivers of messages do not handle.
    @pytest.mark.parametrize(
        "body", [{1: 2}, {}, [], 5, None, "text", [[1]], [{}], ["Verdict"] * 30, [b"Verdict"]]
    )
    def test_record_of_another_form_is_refused(self, body: object) -> None:
        with pytest.raises(DecodeError):
            decode_message(msgpack.packb(msgpack.ExtType(EXT_RECORD, msgpack.packb(body))))

    @pytest.mark.parametrize(
        "data",
        [
            b"\x91" * 100_000,
            b"\x91" * 1_500 + b"\x01",
            b"\xdd\xff\xff\xff\xff",
            b"\xdf\xff\xff\xff\xff",
            b"\xc6\xff\xff\xff\xff",
            b"\x81\x90\x01",
            b"\xa3\xed\xa0\x80",
            b"\xc7\x0c\xff" + b"\xff" * 12,
            b"\xc7\x00\x05",
            b"\xc1",
            b"",
        ],
        ids=range(11),
    )
    def test_odd_msgpack_is_refused(self, data: bytes) -> None:
        with pytest.raises(DecodeError):
            decode_message(data)
        with pytest.raises(DecodeError):
            unpack(data)

    # Guards against a RecursionError, which readers of the store do not handle.
    @pytest.mark.parametrize("levels", [MAX_JSON_DEPTH + 1, 1_000, 100_000])
    @pytest.mark.parametrize(("opening", "closing"), ["[]", ('{"a":', "}")])
    def test_deeply_nested_json_is_refused(self, levels: int, opening: str, closing: str) -> None:
        with pytest.raises(DecodeError):
            decode_json(opening * levels + "1" + closing * levels)

    @given(st.recursive(st.none() | st.integers() | st.text(), st.lists, max_leaves=20))
    def test_any_record_body_decodes_or_raises_decode_error(self, body: object) -> None:
        try:
            data = msgpack.packb(body)
        except OverflowError:
            return
        try:
            decode_message(msgpack.packb(msgpack.ExtType(EXT_RECORD, data)))
        except DecodeError as err:
            assert str(err)
