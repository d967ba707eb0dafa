"""Burn rates: how fast each class of work uses up its error budget."""

from __future__ import annotations

from collections import deque
from pathlib import Path
from typing import Final

from wasabiramp.core.records import record

SHORT_WINDOW_S: Final = 300.0
LONG_WINDOW_S: Final = 3600.0


@record
class Sample:
    """Cumulative counts of a class at a time in seconds: work started, and work started in time."""

    at: float
    total: float
    good: float


@record
class Burn:
    """The burn rates of one class; a rate of 1.0 uses up exactly the budget of the window."""

    work_class: str
    objective: float
    short_burn: float
    long_burn: float
    budget_left: float


class BurnHistory:
    """Samples of one class of work within the long window."""

    __slots__ = ("work_class", "objective", "_samples")

    def __init__(self, work_class: str, objective: float) -> None:
        """Start without samples; `objective` is the share of work that must be in time."""
        self.work_class = work_class
        self.objective = objective
        self._samples: deque[Sample] = deque()

    def add(self, sample: Sample) -> None:
        """Add the latest sample and drop those older than the long window."""
        self._samples.append(sample)
        oldest = sample.at - LONG_WINDOW_S
        while len(self._samples) > 2 and self._samples[1].at <= oldest:
            self._samples.popleft()

    def compute_burn_rate(self, window_s: float) -> float:
        """Return the share of late work in the window, divided by the share that is allowed."""
        if len(self._samples) < 2:
            return 0.0
        last = self._samples[-1]
        first = self._samples[0]
        for sample in self._samples:
            if sample.at > last.at - window_s:
                break
            first = sample
        total = last.total - first.total
        if total <= 0:
            return 0.0
        bad = total - (last.good - first.good)
        return bad / total / (1 - self.objective)

    def build_burn(self) -> Burn:
        """Return the burn rates over both windows, and the budget left in the long one."""
        long_burn = self.compute_burn_rate(LONG_WINDOW_S)
        return Burn(
            self.work_class,
            self.objective,
            round(self.compute_burn_rate(SHORT_WINDOW_S), 3),
            round(long_burn, 3),
            round(max(0.0, 1 - long_burn), 3),
        )


def parse_wait_counts(page: str, limits: dict[str, float]) -> dict[str, tuple[float, float]]:
    """Return the number of requests of each class, and of those in time, from a metrics page.

    `limits` maps a class to the wait in seconds that its objective allows. Requests up to the
    smallest bucket that reaches this limit count as in time. A class without a limit may wait for
    1.5 s.
    """
    buckets: dict[str, list[tuple[float, float]]] = {}
    for line in page.splitlines():
        if not line.startswith("wasabiramp_request_wait_seconds_bucket{"):
            continue
        labels, value = line.rsplit(" ", 1)
        pairs = labels.partition("{")[2].rstrip("}").split(",")
        fields = dict(pair.replace('"', "").split("=", 1) for pair in pairs)
        limit = float(fields["le"])
        buckets.setdefault(fields["work_class"], []).append((limit, float(value)))
    counts_by_class = {}
    for work_class, counts in buckets.items():
        counts.sort()
        allowed = limits.get(work_class, 1.5)
        good = next((count for limit, count in counts if limit >= allowed), counts[-1][1])
        counts_by_class[work_class] = (counts[-1][1], good)
    return counts_by_class


def plot_burns(burns: list[Burn], path: Path) -> None:
    """Write a PNG with the burn rates of each class over both windows."""
    # Imported here as matplotlib takes 45 MB of memory, which daemons should not spend.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    positions = range(len(burns))
    axes.bar(
        [position - 0.2 for position in positions],
        [item.short_burn for item in burns],
        0.4,
        label="5 min",
    )
    axes.bar(
        [position + 0.2 for position in positions],
        [item.long_burn for item in burns],
        0.4,
        label="1 h",
    )
    axes.axhline(1.0, color="red", linewidth=1, label="budget")
    axes.set_xticks(list(positions), [burn.work_class for burn in burns])
    axes.set_ylabel("burn rate")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
