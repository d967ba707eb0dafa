"""Losses: which jobs were late, failed or refused according to the logs, and why."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from statistics import median
from typing import Final

from wasabiramp.report.explain import read_lines, read_pairs

TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S,%f"

USUAL_WAIT_S: Final = 0.25
"""Longest wait between two events of a job that counts as usual."""

OUTAGE_NOTICE_S: Final = 0.9
"""Time from the beginning of an outage of the store until a daemon logs it."""

SLOW_RUN_FACTOR: Final = 1.8
MIN_SLOW_RUN_S: Final = 0.3
"""A run counts as slow if it exceeds the median of its step by this factor and by this time."""

NOT_KNOWN: Final = "not known"
Interval = tuple[float, float]


class LogError(ValueError):
    """A log cannot be read; the message names the file and the line."""


@dataclass(slots=True)
class StepHistory:
    """Events of one step: answers of the adviser, starts, and the ends of its runs.

    `runs` holds the duration in seconds of each successful run, as the owner saw it.
    """

    advised_at: list[float] = field(default_factory=list)
    started_at: list[float] = field(default_factory=list)
    ended_at: float | None = None
    runs: list[float] = field(default_factory=list)
    failures: int = 0
    unanswered: int = 0
    moves: int = 0

    @property
    def longest_sound_run_s(self) -> float:
        """Return the duration of the longest run that was not slow, or 0 without runs."""
        if not self.runs:
            return 0.0
        limit_s = max(SLOW_RUN_FACTOR * median(self.runs), MIN_SLOW_RUN_S)
        return max((run_s for run_s in self.runs if run_s <= limit_s), default=0.0)


@dataclass(slots=True)
class JobHistory:
    """Events of one job, in seconds since the first line of the logs.

    `stretch` and `target_s` are those of its queue, or None if the log does not tell.
    """

    id: str
    queue: str = ""
    refused_at: list[float] = field(default_factory=list)
    stored_at: float | None = None
    taken_at: float | None = None
    ended_at: float | None = None
    shown_at: float | None = None
    phase: str = ""
    stretch: float | None = None
    target_s: float = 0.0
    steps: dict[str, StepHistory] = field(default_factory=dict)

    @property
    def times(self) -> list[float]:
        """Return the times of the lines about the job itself."""
        known = [*self.refused_at, self.stored_at, self.taken_at, self.ended_at]
        return [time for time in known if time is not None]

    @property
    def submitted_at(self) -> float:
        """Return the time of the first line about the job itself."""
        return min(self.times)

    @property
    def lateness_s(self) -> float | None:
        """Return by how much the job missed its objective, or None if the logs do not tell.

        The objective follows the longest run of each step that was not slow; steps count one after
        the other.
        """
        if self.stretch is None or self.ended_at is None:
            return None
        work_s = sum(step.longest_sound_run_s for step in self.steps.values())
        objective_at = self.submitted_at + self.stretch * work_s + self.target_s
        return (self.shown_at or self.ended_at) - objective_at

    @property
    def loss(self) -> str:
        """Return `refused`, `failed` or `late` for a job that was not served in time."""
        if self.phase == "cancelled":
            return ""
        if self.stored_at is None and self.taken_at is None:
            return "refused" if self.refused_at else ""
        if self.phase == "failed":
            return "failed"
        return "late" if self.lateness_s is not None and self.lateness_s > 0 else ""


@dataclass(slots=True)
class CellHistory:
    """Times when the store was away for most daemons, no owner had recovered, or no daemon ran."""

    jobs: dict[str, JobHistory] = field(default_factory=dict)
    outages: list[Interval] = field(default_factory=list)
    takeovers: list[Interval] = field(default_factory=list)
    downtimes: list[Interval] = field(default_factory=list)
    ends_at: float = 0.0


@dataclass(slots=True)
class Cause:
    """A cause of losses; an unavoidable one costs any system as much."""

    name: str
    is_unavoidable: bool
    explains: Callable[[JobHistory, CellHistory], bool]


CAUSES: Final[list[Cause]] = []
"""Causes in the order in which they are tried; the first one that explains a loss counts."""


def cause(name: str, is_unavoidable: bool = False) -> Callable:
    """Register a function that tells whether a cause explains a loss."""

    def register(explains: Callable[[JobHistory, CellHistory], bool]) -> Callable:
        CAUSES.append(Cause(name, is_unavoidable, explains))
        return explains

    return register


def _overlaps(intervals: Iterable[Interval], start: float, end: float) -> bool:
    """Return whether one of the intervals overlaps the time from `start` to `end`."""
    return any(begin <= end and finish >= start for begin, finish in intervals)


def _get_end(job: JobHistory) -> float:
    """Return the last time that matters for a job."""
    return max(job.shown_at or 0.0, job.ended_at or 0.0, *job.refused_at, job.submitted_at)


@cause("no daemon ran", is_unavoidable=True)
def is_without_daemons(job: JobHistory, cell: CellHistory) -> bool:
    """Explain a loss by a time in which no daemon logged anything."""
    return _overlaps(cell.downtimes, job.submitted_at, _get_end(job))


@cause("store away", is_unavoidable=True)
def is_store_away(job: JobHistory, cell: CellHistory) -> bool:
    """Explain a loss by an outage of the store, in which nothing is accepted or shown as done."""
    return _overlaps(cell.outages, job.submitted_at, _get_end(job))


@cause("task failed")
def has_failed(job: JobHistory, cell: CellHistory) -> bool:
    """Explain a failed job, or a late one whose runs failed, by the failures."""
    return job.phase == "failed" or any(step.failures for step in job.steps.values())


@cause("takeover")
def is_taken_over(job: JobHistory, cell: CellHistory) -> bool:
    """Explain a loss by a change of the owner."""
    return _overlaps(cell.takeovers, job.submitted_at, _get_end(job))


@cause("order unanswered")
def is_order_unanswered(job: JobHistory, cell: CellHistory) -> bool:
    """Explain a loss by starts that executors left unanswered."""
    return any(step.unanswered for step in job.steps.values())


@cause("announcement late")
def is_announced_late(job: JobHistory, cell: CellHistory) -> bool:
    """Explain a loss by the time between the storage and the owner's knowledge of a job."""
    if job.stored_at is None or job.taken_at is None:
        return False
    return job.taken_at - job.stored_at > USUAL_WAIT_S


@cause("adviser")
def is_advised_late(job: JobHistory, cell: CellHistory) -> bool:
    """Explain a loss by the wait for the first advice on a step."""
    ready_at = job.taken_at or job.submitted_at
    for step in job.steps.values():
        if step.advised_at and step.advised_at[0] - ready_at > USUAL_WAIT_S:
            return True
        ready_at = step.ended_at or ready_at
    return False


@cause("no room")
def is_without_room(job: JobHistory, cell: CellHistory) -> bool:
    """Explain a loss by the wait for free resources after the first advice on a step."""
    return any(
        step.started_at[-1] - step.advised_at[0] > USUAL_WAIT_S
        for step in job.steps.values()
        if step.advised_at and step.started_at
    )


@cause("slow run or late report")
def has_slow_run(job: JobHistory, cell: CellHistory) -> bool:
    """Explain a loss by a run that took much longer than the others of its step."""
    return any(
        step.moves
        or (
            len(step.runs) > 1
            and max(step.runs) > SLOW_RUN_FACTOR * median(step.runs)
            and max(step.runs) > MIN_SLOW_RUN_S + median(step.runs)
        )
        for step in job.steps.values()
    )


def find_cause(job: JobHistory, cell: CellHistory) -> Cause:
    """Return the first cause that explains a loss."""
    for known in CAUSES:
        if known.explains(job, cell):
            return known
    return Cause(NOT_KNOWN, False, lambda job, cell: True)


@dataclass(slots=True)
class LossRow:
    """Jobs of one queue that were lost in one way for one cause.

    `moments` counts them by the second of their submission, rounded down to the window.
    """

    cause: str
    is_unavoidable: bool
    queue: str
    loss: str
    jobs: int
    moments: dict[int, int]


def summarize_losses(cell: CellHistory, window_s: float) -> list[LossRow]:
    """Return the losses by cause, queue and way, most frequent first."""
    moments: dict[tuple[str, bool, str, str], Counter[int]] = {}
    for job in cell.jobs.values():
        if not job.loss:
            continue
        found = find_cause(job, cell)
        key = (found.name, found.is_unavoidable, job.queue, job.loss)
        window = int(job.submitted_at // window_s * window_s)
        moments.setdefault(key, Counter())[window] += 1
    rows = [LossRow(*key, counts.total(), dict(counts)) for key, counts in moments.items()]
    return sorted(rows, key=lambda row: (-row.jobs, row.cause, row.queue))


def find_common(intervals: list[Interval], daemons: int) -> list[Interval]:
    """Return the times that lie in the intervals of more than half of the daemons.

    A store that turns only some daemons away is no outage, as the others serve their callers.
    """
    edges = sorted([(begin, 1) for begin, _ in intervals] + [(end, -1) for _, end in intervals])
    common, count, begin = [], 0, 0.0
    for time, change in edges:
        was_common = 2 * count > daemons
        count += change
        is_common = 2 * count > daemons
        if is_common and not was_common:
            begin = time
        elif was_common and not is_common:
            common.append((begin, time))
    return common


class LogReader:
    """Builds the history of a cell from the log lines of its daemons."""

    def __init__(self) -> None:
        """Start without lines."""
        self.cell = CellHistory()
        self._first: float | None = None
        self._previous = 0.0
        self._away: dict[str, float] = {}
        self._outages: list[Interval] = []
        self._last_line: dict[str, float] = {}
        self._gap_from: float | None = None

    def read(self, paths: list[Path]) -> CellHistory:
        """Read log files; raise LogError for one that has no valid times."""
        lines = []
        for path in paths:
            read = [(_parse_time(path, row[0]), *row[1:]) for row in read_lines(path)]
            if not read:
                raise LogError(f"{path}: no line with a time")
            lines += read
        lines.sort(key=lambda line: line[0])
        self._first = lines[0][0]
        for time, source, text in lines:
            self._add_line(time - self._first, source, read_pairs(text))
        # A job of which only steps are logged, as others of its lines were dropped, has no times.
        self.cell.jobs = {job.id: job for job in self.cell.jobs.values() if job.times}
        self.cell.ends_at = self._previous
        for source in list(self._away):
            self._end_outage(source)
        self.cell.outages = find_common(self._outages, len(self._last_line))
        return self.cell

    def _add_line(self, time: float, source: str, pairs: dict[str, str]) -> None:
        """Add one line to the history."""
        event = pairs.get("event", "")
        if event == "starting":
            self._add_downtime(time)
            self._end_outage(source)
        self._previous = self._last_line[source] = time
        if event == "store_away":
            self._away.setdefault(source, time - OUTAGE_NOTICE_S)
        elif event == "store_back":
            self._end_outage(source)
        elif event in ("owner_gone", "owner_process_gone", "ownership_lost", "owner_silent"):
            self._gap_from = time if self._gap_from is None else self._gap_from
        elif event == "recovery_complete":
            begin = self._gap_from if self._gap_from is not None else time
            self.cell.takeovers.append((begin - 1.0, time))
            self._gap_from = None
        self._add_job_line(time, event, pairs)

    def _end_outage(self, source: str) -> None:
        """End the outage that a daemon saw at its last line, which it may not have outlived."""
        if source in self._away:
            self._outages.append((self._away.pop(source), self._last_line[source]))

    def _add_downtime(self, time: float) -> None:
        """Add an interval in which no daemon wrote a line."""
        if self._previous and time - self._previous > USUAL_WAIT_S:
            self.cell.downtimes.append((self._previous, time))

    def _add_job_line(self, time: float, event: str, pairs: dict[str, str]) -> None:
        """Add a line on a job, on one of its steps or on one of its tasks."""
        step_name = pairs.get("step") or pairs.get("task", "").rpartition(".")[0]
        job_id = pairs.get("job") or step_name.partition(".")[0]
        if not job_id:
            return
        job = self.cell.jobs.setdefault(job_id, JobHistory(job_id))
        job.queue = job.queue or pairs.get("queue", "")
        if step_name:
            _add_step_line(job.steps.setdefault(step_name, StepHistory()), time, event, pairs)
        elif event == "job_not_stored":
            job.refused_at.append(time)
        elif event == "job_stored":
            job.stored_at = time if job.stored_at is None else job.stored_at
        elif event in ("job_taken", "job_found"):
            job.taken_at = time if job.taken_at is None else job.taken_at
            if "stretch" in pairs:
                job.stretch, job.target_s = float(pairs["stretch"]), float(pairs["target_s"])
        elif event == "job_ended":
            job.ended_at, job.phase = time, pairs.get("phase", "")
        elif event == "job_shown_late":
            job.shown_at = time


def _add_step_line(step: StepHistory, time: float, event: str, pairs: dict[str, str]) -> None:
    """Add a line on a step or on one of its tasks."""
    if event == "advice":
        step.advised_at.append(time)
    elif event == "run_started":
        step.started_at.append(time)
    elif event == "run_moved":
        step.moves += 1
    elif event == "start_refused":
        step.unanswered += pairs.get("why") == "unknown"
    elif event == "run_ended" and pairs.get("how") == "done":
        step.ended_at = time
        rows = [row.split(":") for row in pairs.get("runs", "").split(",") if row]
        step.runs += [float(row[3]) / 1000 for row in rows if len(row) == 4 and row[3]]
    elif event == "run_ended":
        step.failures += pairs.get("how") == "failed"


def _parse_time(path: Path, text: str) -> float:
    """Return a log line's time in seconds; raise LogError if it is malformed."""
    try:
        return datetime.strptime(text, TIME_FORMAT).timestamp()
    except ValueError as err:
        raise LogError(f"{path}: time={text}: expected {TIME_FORMAT}") from err


def read_cell(paths: list[Path]) -> CellHistory:
    """Return the history of a cell from the logs of its daemons; raise LogError."""
    return LogReader().read(paths)


def plot_timeline(cell: CellHistory, path: Path, window_s: float = 1.0) -> None:
    """Write a PNG of submitted and lost jobs over time, with outages, takeovers and downtimes."""
    # Imported here as matplotlib takes 45 MB of memory, which daemons should not spend.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 3.5))
    jobs = list(cell.jobs.values())
    edges = [number * window_s for number in range(int(cell.ends_at / window_s) + 2)]
    axes.hist([job.submitted_at for job in jobs], edges, color="lightgrey", label="submitted")
    for loss, colour in (("late", "orange"), ("failed", "brown"), ("refused", "red")):
        times = [job.submitted_at for job in jobs if job.loss == loss]
        axes.hist(times, edges, color=colour, alpha=0.8, label=loss)
    for name, colour in (("outages", "red"), ("takeovers", "blue"), ("downtimes", "black")):
        for begin, end in getattr(cell, name):
            axes.axvspan(begin, end, color=colour, alpha=0.08)
    axes.set_xlabel("seconds")
    axes.set_ylabel("jobs")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
