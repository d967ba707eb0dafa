"""Tests of what recorded crashes tell about a task."""

from __future__ import annotations

import pytest

from wasabiramp.scheduling.model import Crash
from wasabiramp.scheduling.suspicion import (
    BASE_SUSPICION,
    calculate_blame,
    is_convicting,
    measure_mass,
    measure_suspicion,
    widen_window,
)

LONE_CRASH_RATE = 0.01
"""Rate of crashes for no known reason, per executor and second."""


def make_crash(executor: str, survived_s: float, age_s: float, chance: float = 0.0) -> Crash:
    """Return a witnessed crash; `chance` is that of a cause shared with other executors."""
    low, high = widen_window(survived_s, age_s)
    blame = calculate_blame(measure_mass(low, high), LONE_CRASH_RATE * (high - low) + chance)
    return Crash(
        executor, 1, age_s, blame, is_proven=True, survived_s=survived_s, is_witnessed=True
    )


class TestSuspicion:
    """Suspicion follows Bayes' rule over the ages at which a task may crash its executors."""

    def test_task_without_crashes_has_the_base_suspicion(self) -> None:
        assert measure_suspicion([]) == BASE_SUSPICION

    def test_suspicion_of_one_crash_is_its_blame(self) -> None:
        crash = make_crash("a", 0.0, 0.012)
        assert measure_suspicion([crash]) == pytest.approx(crash.blame, abs=0.02)

    def test_crashes_at_one_age_add_up(self) -> None:
        crashes = [make_crash(name, 0.0, 0.015) for name in "ab"]
        assert measure_suspicion(crashes) > 0.999

    def test_longer_run_clears_a_task_of_an_earlier_crash(self) -> None:
        young, old = make_crash("a", 0.0, 0.003), make_crash("b", 2.7, 2.8)
        assert measure_suspicion([young, old]) < measure_suspicion([young])

    def test_crashes_with_a_common_cause_hardly_count(self) -> None:
        crashes = [make_crash(name, 0.3, 0.4, chance=0.25) for name in "ab"]
        assert measure_suspicion(crashes) < 0.05

    @pytest.mark.parametrize("blame", [0.0, 1.0])
    def test_extreme_records_are_bounded(self, blame: float) -> None:
        suspicion = measure_suspicion([Crash("a", 1, 1e9, blame, survived_s=-1e9)] * 50)
        assert 0.0 <= suspicion <= 1.0


class TestConviction:
    """A task is given up only for crashes of several executors that were witnessed."""

    def test_two_executors_convict(self) -> None:
        assert is_convicting([make_crash(name, 0.0, 0.015) for name in "ab"])

    def test_one_executor_does_not(self) -> None:
        assert not is_convicting([make_crash("a", 0.0, 0.015) for _ in range(2)])

    def test_one_executor_that_crashes_again_and_again_convicts(self) -> None:
        """Guards against endless crashes of the only executor that may run a task."""
        assert is_convicting([make_crash("a", 0.0, 0.015) for _ in range(3)])

    def test_crashes_that_are_not_proven_do_not(self) -> None:
        crashes = [make_crash(name, 0.0, 0.015) for name in "abc"]
        for crash in crashes:
            crash.is_proven = False
        assert not is_convicting(crashes)

    def test_losses_that_no_answer_witnessed_do_not(self) -> None:
        """Guards against LOST: a job was given up though its runs had lapsed before the crashes."""
        crashes = [make_crash(str(number), 0.0, 0.015) for number in range(50)]
        for crash in crashes[1:]:
            crash.is_witnessed = False
        assert measure_suspicion(crashes) > 0.999
        assert not is_convicting(crashes)

    # Guards against BUDGET: an overflow made the suspicion no number, and so no suspicion.
    @pytest.mark.parametrize("count", [80, 150, 1000])
    @pytest.mark.parametrize(("survived_s", "age_s"), [(0.0, 0.015), (1.0, 1.5), (500.0, 900.0)])
    def test_suspicion_of_many_losses_is_a_number(
        self, count: int, survived_s: float, age_s: float
    ) -> None:
        crashes = [make_crash(str(number), survived_s, age_s) for number in range(count)]
        assert 0 <= measure_suspicion(crashes) <= 1
        if age_s < 1:
            assert is_convicting(crashes)

    # Guards against BUDGET: two witnessed crashes of one executor counted for nothing beside four
    # of others that were not witnessed.
    def test_one_executor_beside_losses_of_others_convicts(self) -> None:
        crashes = [make_crash(name, 0.0, 0.015) for name in "aab"]
        crashes[2].is_witnessed = False
        assert is_convicting(crashes)
        assert not is_convicting(crashes[1:])

    def test_losses_beside_two_witnessed_crashes_convict(self) -> None:
        crashes = [make_crash(name, 0.0, 0.015) for name in "abcd"]
        crashes[0].is_witnessed = crashes[2].is_witnessed = False
        assert is_convicting(crashes)

    def test_many_crashes_at_different_ages_convict(self) -> None:
        """Guards against a deadly task that never crashes its executors at the same age."""
        ages_s = (0.02, 0.2, 0.6, 1.5, 4.0)
        crashes = [make_crash(str(age_s), age_s - 0.01, age_s) for age_s in ages_s]
        assert is_convicting(crashes)
