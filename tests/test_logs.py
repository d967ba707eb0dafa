"""Tests of the rate-limited log output and of the format of values."""

from __future__ import annotations

import os

from wasabiramp.logs import (
    MAX_DETAIL_LINES_PER_S,
    MAX_LINES_PER_S,
    EventLog,
    RateLimitedOutput,
    format_value,
)


class TestRateLimitedOutput:
    """Output never blocks, limits its lines per second, and reports the number of dropped lines."""

    def test_lines_beyond_the_limit_are_counted(self, monkeypatch) -> None:
        reader, writer = os.pipe()
        now = [10.0]
        monkeypatch.setattr("wasabiramp.logs.time.monotonic", lambda: now[0])
        output = RateLimitedOutput(writer, 3)
        for number in range(8):
            output.write(f"line {number}\n")
        now[0] = 11.0
        output.write("later\n")
        text = os.read(reader, 65_536).decode()
        assert text.count("line ") == 3
        assert "event=log_lines_dropped count=5" in text
        assert text.endswith("later\n")

    def test_refused_lines_are_counted_without_writing(self, monkeypatch) -> None:
        reader, writer = os.pipe()
        now = [10.0]
        monkeypatch.setattr("wasabiramp.logs.time.monotonic", lambda: now[0])
        output = RateLimitedOutput(writer, 2)
        for number in range(5):
            if output.has_room():
                output.write(f"line {number}\n")
        now[0] = 11.0
        output.write("later\n")
        text = os.read(reader, 65_536).decode()
        assert text.count("line ") == 2
        assert "event=log_lines_dropped count=3" in text

    def test_details_leave_room_for_requests(self, monkeypatch) -> None:
        """Guards against a busy owner that logs runs and loses the lines on its callers' jobs."""
        reader, writer = os.pipe()
        monkeypatch.setattr("wasabiramp.logs.time.monotonic", lambda: 10.0)
        output = RateLimitedOutput(writer, MAX_LINES_PER_S)
        for _ in range(MAX_LINES_PER_S):
            if output.has_room(is_detail=True):
                output.write("detail\n")
        for _ in range(MAX_LINES_PER_S):
            if output.has_room():
                output.write("request\n")
        text = os.read(reader, 65_536).decode()
        assert text.count("detail\n") == MAX_DETAIL_LINES_PER_S
        assert text.count("request\n") == MAX_LINES_PER_S - MAX_DETAIL_LINES_PER_S

    def test_bytes_are_limited(self, monkeypatch) -> None:
        reader, writer = os.pipe()
        monkeypatch.setattr("wasabiramp.logs.time.monotonic", lambda: 10.0)
        output = RateLimitedOutput(writer, MAX_LINES_PER_S, 1_000)
        for _ in range(20):
            output.write("x" * 99 + "\n")
        assert len(os.read(reader, 65_536)) == 1_000

    def test_dropped_events_are_counted_by_name(self, monkeypatch) -> None:
        _reader, writer = os.pipe()
        monkeypatch.setattr("wasabiramp.logs.time.monotonic", lambda: 10.0)
        log, dropped = EventLog(), []
        log.set_output(RateLimitedOutput(writer, 0))
        log.set_on_drop(dropped.append)
        log.write("run_started", {})
        assert dropped == ["run_started"]

    def test_slow_reader_does_not_block(self) -> None:
        _reader, writer = os.pipe()
        output = RateLimitedOutput(writer, 1_000_000, 1_000_000_000)
        for _ in range(200):
            output.write("x" * 1_000 + "\n")


class TestValues:
    """Values with spaces or quotes are quoted, and floats are shortened."""

    def test_quoted_values_and_floats(self) -> None:
        assert format_value("a b") == '"a b"'
        assert format_value('a"b') == '"a\\"b"'
        assert format_value(0.25) == "0.25"


class TestOddText:
    """A text of another process that cannot be encoded is written in another form."""

    # Guards against a UnicodeEncodeError in the code that logs.
    def test_single_surrogate(self) -> None:
        reader, writer = os.pipe()
        RateLimitedOutput(writer, 10).write("key=a\ud800b\n")
        assert os.read(reader, 100) == b"key=a\\ud800b\n"
        os.close(reader)
        os.close(writer)
