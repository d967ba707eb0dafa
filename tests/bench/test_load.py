"""Tests of the pure scheduler under several load profiles, without network."""

from __future__ import annotations

from typing import Any

import pytest

from wasabiramp.bench.load import LoadModel, LoadResult
from wasabiramp.bench.profiles import PROFILES
from wasabiramp.scheduling import placement

ARRIVALS_S = 15.0
"""Simulated time during which jobs arrive."""


def run_load(profile: str, seed: int, load: float = 1.0) -> dict[str, LoadResult]:
    """Simulate a profile at `load` times its rates and return the results by kind of jobs."""
    results = LoadModel(PROFILES[profile], seed).run(ARRIVALS_S, load)
    return {result.kind: result for result in results}


class TestUsualLoad:
    """Nearly all jobs are in time at the usual traffic."""

    @pytest.mark.parametrize("profile", ["small", "grown"])
    def test_all_kinds_are_in_time(self, profile: str) -> None:
        results = run_load(profile, 1)
        assert all(result.jobs > 5 for result in results.values())
        assert results["quotes"].in_time >= 0.97
        assert results["gangs"].in_time >= 0.9
        assert results["batch"].in_time >= 0.97

    def test_quotes_start_within_the_target(self) -> None:
        """The stated target for urgent jobs is a p99 wait of at most 1.5 s."""
        assert run_load("grown", 2)["quotes"].wait_p99_s <= 1.5


class TestWideGangsUnderLoad:
    """Reservations let wide gangs start beside narrow ones at 1.6 times the usual traffic."""

    def test_reservations_shorten_the_longest_waits(self, monkeypatch: pytest.MonkeyPatch) -> None:
        reserved = run_load("grown", 1, 1.6)["gangs"]

        def reserve_nothing(*_options: Any) -> tuple[set[str], float]:
            return set(), 0.0

        monkeypatch.setattr(placement, "find_earliest_start", reserve_nothing)
        unreserved = run_load("grown", 1, 1.6)["gangs"]
        assert reserved.jobs == unreserved.jobs
        assert reserved.in_time >= unreserved.in_time
        assert reserved.wait_p99_s < unreserved.wait_p99_s

    def test_reservations_do_not_delay_urgent_work(self) -> None:
        assert run_load("grown", 1, 1.6)["quotes"].wait_p99_s <= 1.5


class TestRepeat:
    """The same seed gives the same results."""

    def test_same_results(self) -> None:
        assert run_load("small", 3) == run_load("small", 3)
