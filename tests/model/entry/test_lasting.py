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
