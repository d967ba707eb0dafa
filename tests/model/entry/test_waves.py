"""Random schedules with waves of crashes and deadly tasks at once."""

from __future__ import annotations

import pytest

from wasabiramp.model.entry.waves import Verdicts, run_wave_schedule

SEEDS = (*range(1, 9), 24, 25, 26, 39, 42, 46, 52)
"""The landing before issue 38 gave up sound jobs with seeds 2, 24 to 26, 39, 42, 46 and 52."""

REGRESSION_SEEDS = {
    260: "starts that a crashed executor never got counted against their tasks",
    507: "a run of an earlier process counted at each later silence, at ages that it never had",
    815: "given up beside a deadly gang, as both were tried on one executor five times",
    845: "given up after two crashes by others; a start that never arrived counted as a third",
}
"""Seeds that failed before, each with its cause."""


class TestCrashWaves:
    """No sound job is given up when executors crash by themselves, and deadly ones are."""

    @pytest.mark.parametrize("seed", [*SEEDS, *REGRESSION_SEEDS])
    def test_seed(self, seed: int) -> None:
        world = run_wave_schedule(seed)
        assert Verdicts(world).sound_given_up == []
        assert world.checker.breaches == []

    def test_waves_and_deadly_tasks_crash_executors(self) -> None:
        """The other tests say nothing if no executor crashes in their schedules."""
        checker = run_wave_schedule(2).checker
        assert sum(checker.crashes.values()) >= 2
        assert sum(checker.crashes_around.values()) > sum(checker.crashes.values())
