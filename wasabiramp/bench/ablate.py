"""Ablation: the load model with each mechanism switched off, on several seeds."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict, dataclass
import json
from pathlib import Path
from statistics import mean, pstdev
from typing import Final

from wasabiramp.bench.load import LoadModel
from wasabiramp.bench.profiles import PROFILES
from wasabiramp.policy.switches import set_switched_off

ALL_ON: Final = ""
"""Name of the row with all mechanisms on."""

NO_FAULT: Final = ""

MODEL_MECHANISMS: Final = (
    "advice-refresh",
    "backfill",
    "ends-batch",
    "failure-cooldown",
    "further-questions",
    "latest-start",
    "moves",
    "recovery-retry",
    "reservations",
    "short-holds",
    "slowness",
    "start-resends",
)
"""Mechanisms of the pure scheduler, which the load model plays; the others need daemons."""

ARRIVALS_S: Final = 12.0
FAULT_AT_S: Final = 3.0
FAULT_S: Final = 6.0
"""Simulated time of arrivals, and when a fault begins and how long it lasts."""


@dataclass(slots=True, frozen=True)
class Trial:
    """One simulation: the mechanism that is off, the profile and its load, fault and seed."""

    mechanism: str
    profile: str
    load: float
    fault: str
    seed: int

    @property
    def key(self) -> str:
        """Return a text that identifies the trial in a file of results."""
        return "/".join((self.mechanism, self.profile, str(self.load), self.fault, str(self.seed)))


def run_trial(trial: Trial) -> float:
    """Return the share of jobs in time over all kinds of jobs."""
    set_switched_off([trial.mechanism] if trial.mechanism else [])
    faults = [(trial.fault, FAULT_AT_S, FAULT_S)] if trial.fault else []
    results = LoadModel(PROFILES[trial.profile], trial.seed).run(ARRIVALS_S, trial.load, faults)
    return mean(result.in_time for result in results)


def list_trials(
    mechanisms: list[str], cases: list[tuple[str, float, str]], seeds: int
) -> Iterator[Trial]:
    """Iterate over the trials of each case, with all mechanisms on and with each one off."""
    for mechanism in (ALL_ON, *mechanisms):
        for profile, load, fault in cases:
            for seed in range(1, seeds + 1):
                yield Trial(mechanism, profile, load, fault, seed)


class TrialStore:
    """Results of trials in a JSON file, so that a stopped ablation continues."""

    def __init__(self, path: Path) -> None:
        """Read the results of an earlier run; raise ValueError if the file is no such file."""
        self._path = path
        self.shares: dict[str, float] = {}
        if path.exists():
            shares = json.loads(path.read_text(encoding="utf-8"))
            if not isinstance(shares, dict):
                raise ValueError(f"{path}: expected an object of trials")
            self.shares = shares

    def add(self, trial: Trial, share: float) -> None:
        """Add a result and write the file."""
        self.shares[trial.key] = share
        self._path.write_text(json.dumps(self.shares, indent=1, sort_keys=True), encoding="utf-8")


def run_trials(
    trials: list[Trial], store: TrialStore, workers: int, on_done: Callable[[], None]
) -> None:
    """Run the trials that have no result yet, in parallel processes."""
    missing = [trial for trial in trials if trial.key not in store.shares]
    for _known in range(len(trials) - len(missing)):
        on_done()
    with ProcessPoolExecutor(workers) as pool:
        running = {pool.submit(run_trial, trial): trial for trial in missing}
        for done in as_completed(running):
            store.add(running[done], done.result())
            on_done()


@dataclass(slots=True, frozen=True)
class AblationRow:
    """What a mechanism is worth in one case: the share of jobs in time with it, less without it.

    `spread` is the standard deviation of the paired differences over the seeds.
    """

    mechanism: str
    case: str
    with_it: float
    without_it: float
    worth: float
    spread: float


def summarize(trials: list[Trial], store: TrialStore) -> list[AblationRow]:
    """Return a row for each mechanism and case, those that are worth most first."""
    pairs: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for trial in trials:
        if trial.mechanism == ALL_ON:
            continue
        base = Trial(ALL_ON, trial.profile, trial.load, trial.fault, trial.seed)
        case = f"{trial.profile} x{trial.load:g} {trial.fault or 'no fault'}"
        shares = (store.shares[base.key], store.shares[trial.key])
        pairs.setdefault((trial.mechanism, case), []).append(shares)
    rows = []
    for (mechanism, case), shares in pairs.items():
        differences = [with_it - without_it for with_it, without_it in shares]
        rows.append(
            AblationRow(
                mechanism,
                case,
                round(mean(share for share, _ in shares), 3),
                round(mean(share for _, share in shares), 3),
                round(mean(differences), 3),
                round(pstdev(differences), 3),
            )
        )
    return sorted(rows, key=lambda row: (-row.worth, row.mechanism, row.case))


def render_markdown(rows: list[AblationRow]) -> str:
    """Return a Markdown table of the rows."""
    lines = ["| mechanism | case | with | without | worth | spread |", "|---|---|---|---|---|---|"]
    lines += [
        "| " + " | ".join(str(value) for value in asdict(row).values()) + " |" for row in rows
    ]
    return "\n".join(lines) + "\n"


def plot_rows(rows: list[AblationRow], path: Path) -> None:
    """Write a PNG of what each mechanism is worth, with the spread over the seeds."""
    # Imported here as matplotlib takes 45 MB of memory, which daemons should not spend.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 0.28 * len(rows) + 1))
    names = [f"{row.mechanism}, {row.case}" for row in rows]
    axes.barh(names, [row.worth for row in rows], xerr=[row.spread for row in rows])
    axes.invert_yaxis()
    axes.axvline(0.0, color="black", linewidth=0.8)
    axes.set_xlabel("share of jobs in time that the mechanism is worth")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
