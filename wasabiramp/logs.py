"""Logs: one line of key=value pairs for each event, written by absl."""

from __future__ import annotations

import logging as standard_logging
from typing import Any

from absl import logging


class PairFormatter(standard_logging.Formatter):
    """Puts the time and the level in front of the pairs."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line."""
        level = record.levelname.lower()
        line = f"time={self.formatTime(record)} level={level} {record.getMessage()}"
        if record.exc_info:
            line += f" error={format_value(self.formatException(record.exc_info))}"
        return line


def format_value(value: Any) -> str:
    """Return a value, quoted where it would not read as one word."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not any(mark in text for mark in ' "=\n'):
        return text
    quoted = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{quoted}"'


def set_up_logs() -> None:
    """Write to standard error from the level INFO on."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().setFormatter(PairFormatter())
    # The stream library reports each ended stream; the daemon logs its own event for that.
    standard_logging.getLogger("grpclib").setLevel(standard_logging.WARNING)


def log_event(event: str, **fields: Any) -> None:
    """Write one event."""
    pairs = " ".join(f"{name}={format_value(value)}" for name, value in fields.items())
    logging.info("event=%s %s", event, pairs)


def log_failure(event: str) -> None:
    """Write the exception that is being handled as one event."""
    logging.exception("event=%s", event)
