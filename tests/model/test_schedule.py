"""Model check of the reducer on random schedules, with every seed that failed before."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

import pytest

from wasabiramp.model.schedule import Outcome, Plan, run_schedule

SMALL_SEEDS = range(1, 301)
"""Seeds of the schedules with the default plan that every test run covers."""

LARGE_SEEDS = range(20_000, 20_100)
"""Seeds of the schedules with the large plan that every test run covers."""
LARGE = Plan(nodes=5, executors=5, workers=6, requests=120, jobs=15, faults=14)
PROCESSES = 5
REGRESSION_SEEDS = (78, 133, 140, 199, 232, 299, 446, 511, 569, 583, 2095, 2136)
LARGE_REGRESSION_SEEDS = (20_481,)


def run_large(seed: int) -> Outcome:
    """Run a schedule with the large plan."""
    return run_schedule(seed, LARGE)


def run_many(run: object, seeds: range, name: str) -> list[tuple[int, list[str]]]:
    """Run schedules in several processes and return the seeds and breaches of those that fail.

    The number of schedules and events is printed.
    """
    with ProcessPoolExecutor(PROCESSES) as pool:
        outcomes = list(pool.map(run, seeds, chunksize=5))
    events = sum(outcome.events for outcome in outcomes)
    print(f"\nmodel check: {len(outcomes)} {name} schedules, {events} events")
    return [(outcome.seed, outcome.breaches) for outcome in outcomes if outcome.breaches]


class TestSchedules:
    """All guarantees hold in every schedule."""

    def test_small_cells(self, capsys: pytest.CaptureFixture[str]) -> None:
        with capsys.disabled():
            assert run_many(run_schedule, SMALL_SEEDS, "small") == []

    def test_large_cells(self, capsys: pytest.CaptureFixture[str]) -> None:
        with capsys.disabled():
            assert run_many(run_large, LARGE_SEEDS, "large") == []

    @pytest.mark.parametrize("seed", REGRESSION_SEEDS)
    def test_regression_seed(self, seed: int) -> None:
        assert run_schedule(seed).breaches == []

    @pytest.mark.parametrize("seed", LARGE_REGRESSION_SEEDS)
    def test_large_regression_seed(self, seed: int) -> None:
        assert run_large(seed).breaches == []

    def test_same_seed_same_events(self) -> None:
        first, second = run_schedule(7), run_schedule(7)
        assert (first.events, first.faults) == (second.events, second.faults)
