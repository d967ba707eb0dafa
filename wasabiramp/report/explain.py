"""The `explain` command: the history of one id across the logs of several daemons."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
import re
from typing import Annotated

import typer

PAIR_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
CONTEXT_EVENTS = frozenset(
    {
        "ownership_taken",
        "ownership_lost",
        "owner_ready",
        "recovery_complete",
        "loop_stood_still",
        "store_away",
        "store_back",
        "log_lines_dropped",
    }
)
"""Events that affect all work, shown if they lie between the first and last line of an id."""


def read_pairs(line: str) -> dict[str, str]:
    """Return the key=value pairs of a log line."""
    return {key: value.strip('"') for key, value in PAIR_PATTERN.findall(line)}


def read_lines(path: Path) -> Iterator[tuple[str, str, str]]:
    """Yield the time, the source and the text of each line that has a time.

    The source is the file's name without its suffix, or the word before the time in a file that
    holds the lines of several daemons.
    """
    with path.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            start = line.find("time=")
            level = line.find(" level=", start)
            if start < 0 or level < 0:
                continue
            text = line[start:].rstrip()
            source = (line[:start].split() or [path.stem])[-1]
            yield line[start + len("time=") : level], source, text


def names_id(text: str, wanted: str) -> bool:
    """Return whether a line names an id, also as one of the tasks listed for a step."""
    if wanted in text:
        return True
    step, _, index = wanted.rpartition(".")
    if not step or f"step={step} " not in text:
        return False
    return any(row.startswith(f"{index}:") for row in read_pairs(text).get("runs", "").split(","))


def select_lines(rows: Iterable[tuple[str, str, str]], wanted: str) -> list[tuple[str, str, str]]:
    """Return the lines that contain the id, and the CONTEXT_EVENTS in between, sorted by time."""
    ordered = sorted(rows, key=lambda row: row[0])
    matching_indexes = [index for index, row in enumerate(ordered) if names_id(row[2], wanted)]
    if not matching_indexes:
        return []
    return [
        row
        for index, row in enumerate(
            ordered[matching_indexes[0] : matching_indexes[-1] + 1], start=matching_indexes[0]
        )
        if names_id(row[2], wanted) or read_pairs(row[2]).get("event") in CONTEXT_EVENTS
    ]


def explain(
    wanted: Annotated[str, typer.Argument(help="Id of a job, a task, an executor or a member.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files, one per daemon.")],
) -> None:
    """Print the history of one id across the logs of several daemons."""
    rows = select_lines((row for path in logs for row in read_lines(path)), wanted)
    for timestamp, source, text in rows:
        pairs = read_pairs(text)
        pairs.pop("time", None)
        pairs.pop("level", None)
        event = pairs.pop("event", "")
        fields = " ".join(f"{key}={value}" for key, value in pairs.items())
        print(f"{timestamp} {source} {event} {fields}")
    if not rows:
        print(f"{wanted}: no line names it")
        raise typer.Exit(1)
