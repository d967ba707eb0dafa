"""Logging: one line of key=value pairs per event, written by absl."""

from __future__ import annotations

from collections.abc import Callable
import logging as standard_logging
import os
import sys
import time
from typing import Any, Final

from absl import flags, logging

MAX_LINES_PER_S: Final = 400
MAX_BYTES_PER_S: Final = 60_000
"""Limits of one daemon."""

MAX_DETAIL_LINES_PER_S: Final = 300
MAX_DETAIL_BYTES_PER_S: Final = 45_000
"""Limits from which lines with details of runs are dropped, which leaves the rest of the limits to
lines on requests, ownership and the store."""

DETAIL_EVENTS: Final = frozenset(
    {
        "advice",
        "advice_lost",
        "end_dropped",
        "end_ignored",
        "end_unattributed",
        "executor_silent",
        "executor_answers",
        "run_adopted",
        "run_ended",
        "run_foreign",
        "run_paced",
        "run_started",
        "run_unattributed",
        "start_refused",
        "start_repeated",
    }
)
"""Events of single steps, runs and executors, of which there may be hundreds a second."""


class RateLimitedOutput:
    """Output stream that never blocks and limits lines and bytes per second.

    Lines beyond the limits, and lines that do not fit into the pipe because the reader is too slow,
    are dropped and counted; the count is written with the next line.
    """

    def __init__(
        self, descriptor: int, max_lines_per_s: int, max_bytes_per_s: int = MAX_BYTES_PER_S
    ) -> None:
        """Write to a file descriptor, which is made non-blocking."""
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._max_bytes_per_s = max_bytes_per_s
        self._current_second = 0
        self._lines_this_second = 0
        self._bytes_this_second = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def has_room(self, is_detail: bool = False) -> bool:
        """Return whether a line may be written now; if not, count it as dropped."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = self._bytes_this_second = 0
        max_lines, max_bytes = self._max_lines_per_s, self._max_bytes_per_s
        if is_detail:
            max_lines = min(max_lines, MAX_DETAIL_LINES_PER_S)
            max_bytes = min(max_bytes, MAX_DETAIL_BYTES_PER_S)
        if self._lines_this_second < max_lines and self._bytes_this_second < max_bytes:
            return True
        self._dropped += 1
        return False

    def write(self, text: str) -> None:
        """Write a line, or count it as dropped."""
        if not self.has_room():
            return
        if self._dropped:
            text = f"level=warning event=log_lines_dropped count={self._dropped}\n{text}"
        data = text.encode(errors="backslashreplace")
        self._lines_this_second += 1
        self._bytes_this_second += len(data)
        try:
            os.write(self._descriptor, data)
        except BlockingIOError:
            self._dropped += 1
            return
        self._dropped = 0

    def flush(self) -> None:
        """Do nothing: each line is written at once."""

    def close(self) -> None:
        """Do nothing: the descriptor belongs to the process."""


class KeyValueFormatter(standard_logging.Formatter):
    """Formats a log record as pairs, starting with its time and level."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line."""
        level = record.levelname.lower()
        line = f"time={self.formatTime(record)} level={level} {record.getMessage()}"
        if record.exc_info:
            line += f" error={format_value(self.formatException(record.exc_info))}"
        return line


def format_value(value: Any) -> str:
    """Return a value as text, quoted if it is empty or has spaces, quotes, `=` or line ends.

    Floats are rounded to six significant digits.
    """
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not any(character in text for character in ' "=\n'):
        return text
    quoted = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{quoted}"'


class EventLog:
    """Writes events, up to the rate limit of the output."""

    def __init__(self) -> None:
        """Write without a rate limit until `set_output`."""
        self._output: RateLimitedOutput | None = None
        self._on_drop: Callable[[str], None] = lambda event: None

    def set_output(self, output: RateLimitedOutput) -> None:
        """Check the limit of this output before formatting, so that dropped lines cost little."""
        self._output = output

    def set_on_drop(self, on_drop: Callable[[str], None]) -> None:
        """Call a function with the name of each event whose line is dropped."""
        self._on_drop = on_drop

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Write one event."""
        if self._output is not None and not self._output.has_room(event in DETAIL_EVENTS):
            self._on_drop(event)
            return
        pairs = " ".join(f"{name}={format_value(value)}" for name, value in fields.items())
        logging.info("event=%s %s", event, pairs)


_LOG: Final = EventLog()


def set_up_logs() -> None:
    """Log to standard output, at level INFO and above."""
    flags.FLAGS.mark_as_parsed()
    flags.FLAGS.stderrthreshold = "fatal"
    logging.use_absl_handler()
    output = RateLimitedOutput(sys.stdout.fileno(), MAX_LINES_PER_S)
    logging.get_absl_handler().python_handler.stream = output
    _LOG.set_output(output)
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().setFormatter(KeyValueFormatter())
    # grpclib logs each ended stream, for which the daemon logs an event of its own.
    standard_logging.getLogger("grpclib").setLevel(standard_logging.WARNING)


def set_on_drop(on_drop: Callable[[str], None]) -> None:
    """Call a function with the name of each event whose line is dropped."""
    _LOG.set_on_drop(on_drop)


def log_event(event: str, **fields: Any) -> None:
    """Write one event."""
    _LOG.write(event, fields)


def log_failure(event: str) -> None:
    """Write one event with the exception that is being handled."""
    logging.exception("event=%s", event)
