"""Tests of the placement policies."""

from __future__ import annotations

from random import Random

from wasabiramp.policy.placement import Candidate, Need, choose_worker


def choose_worker_name(policy: str, need: Need, workers: list[Candidate]) -> str | None:
    """Return the name of the chosen worker."""
    chosen = choose_worker(policy, need, workers, lambda worker: worker, Random(1))
    return chosen.name if chosen else None


def build_candidate(name: str, cores: float, memory_mb: float, accelerators: int = 0) -> Candidate:
    """Return a worker of 64 cores and 1000 MB in total with the given free capacity."""
    return Candidate(name, cores, memory_mb, accelerators, 64, 1000, "rack-1")


class TestChooseWorker:
    """The chosen worker has room and is the best by the policy."""

    def test_no_worker_has_room(self) -> None:
        assert (
            choose_worker_name("balanced", Need(8, 10, 0), [build_candidate("a", 4, 1000)]) is None
        )

    def test_best_fit_prefers_the_fuller_worker(self) -> None:
        workers = [build_candidate("empty", 64, 1000), build_candidate("full", 8, 100)]
        assert choose_worker_name("best-fit", Need(4, 10, 0), workers) == "full"

    def test_spread_prefers_the_emptier_worker(self) -> None:
        workers = [build_candidate("empty", 64, 1000), build_candidate("full", 8, 100)]
        assert choose_worker_name("spread", Need(4, 10, 0), workers) == "empty"

    def test_task_without_accelerators_avoids_workers_with_some(self) -> None:
        workers = [build_candidate("with", 64, 1000, 4), build_candidate("without", 64, 1000)]
        assert choose_worker_name("balanced", Need(1, 16, 0), workers) == "without"
        assert choose_worker_name("balanced", Need(1, 16, 2), workers) == "with"

    def test_only_worker_with_room_is_found_among_many(self) -> None:
        workers = [build_candidate(f"w{index}", 1, 10) for index in range(500)] + [
            build_candidate("fit", 64, 1000)
        ]
        assert choose_worker_name("balanced", Need(32, 500, 0), workers) == "fit"
