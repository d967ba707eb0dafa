"""Tests of the record encodings."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest

from wasabiramp.core.records import (
    DecodeError,
    decode_json,
    decode_message,
    encode_json,
    encode_message,
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
