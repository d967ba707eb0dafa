"""Random schedules of lasting tasks while owners are replaced and executors leave."""

from __future__ import annotations

import pytest

from wasabiramp.model.entry.lasting import run_lasting_schedule

SEEDS = range(1, 25)
"""Seeds that every test run covers."""


class TestLeavingExecutorsDuringTakeovers:
    """Each lasting task runs again within 6 s of the end of all disturbances, and runs once."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_seed(self, seed: int) -> None:
        assert run_lasting_schedule(seed).checker.breaches == []

    # Guards against TWICE: a late order that was meant for an executor's process before a restart.
    # Seed 126 broke the rule in an earlier schedule.
    @pytest.mark.parametrize("seed", [*range(1, 9), 126])
    def test_late_orders_and_crashes(self, seed: int) -> None:
        assert run_lasting_schedule(seed, 8, has_all_faults=True).checker.breaches == []
