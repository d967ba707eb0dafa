"""Tests of the placement policies."""

from __future__ import annotations

from random import Random

from wasabiramp.policy.placement import Candidate, Need, choose_worker


def choose(policy: str, need: Need, workers: list[Candidate]) -> str | None:
    """Return the name of the chosen worker."""
    chosen = choose_worker(policy, need, workers, lambda worker: worker, Random(1))
    return chosen.name if chosen else None


def make(name: str, cores: float, memory_mb: float, accelerators: int = 0) -> Candidate:
    """Return a worker of 64 cores and 1000 MB with so much free."""
    return Candidate(name, cores, memory_mb, accelerators, 64, 1000, "rack-1")


class TestChooseWorker:
    """The choice has room and follows the policy."""

    def test_no_room(self) -> None:
        assert choose("balanced", Need(8, 10, 0), [make("a", 4, 1000)]) is None

    def test_best_fit_prefers_the_fuller(self) -> None:
        workers = [make("empty", 64, 1000), make("full", 8, 100)]
        assert choose("best-fit", Need(4, 10, 0), workers) == "full"

    def test_spread_prefers_the_emptier(self) -> None:
        workers = [make("empty", 64, 1000), make("full", 8, 100)]
        assert choose("spread", Need(4, 10, 0), workers) == "empty"

    def test_accelerators_are_kept_for_those_that_need_them(self) -> None:
        workers = [make("with", 64, 1000, 4), make("without", 64, 1000)]
        assert choose("balanced", Need(1, 16, 0), workers) == "without"
        assert choose("balanced", Need(1, 16, 2), workers) == "with"

    def test_the_only_fit_among_many_is_found(self) -> None:
        workers = [make(f"w{index}", 1, 10) for index in range(500)] + [make("fit", 64, 1000)]
        assert choose("balanced", Need(32, 500, 0), workers) == "fit"
