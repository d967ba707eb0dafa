"""Tests of the queues in the cell configuration."""

from __future__ import annotations

import time

from wasabiramp.scheduling.model import CellConfig, Queue

ROUTES = 1_400
JOBS = 2_800
MAX_STALL_S = 0.05
"""Maximum time that a configuration may block the event loop (target of issue 16)."""


class TestRoutes:
    """A request is routed to the queue of its host with the longest matching prefix."""

    def test_longest_prefix_of_the_host(self) -> None:
        config = CellConfig(
            1,
            (
                Queue("short", "a", "/x/", "s"),
                Queue("long", "a", "/x/y/", "s"),
                Queue("other", "b", "/x/y/z/", "s"),
            ),
        )
        assert [config.route("a", path) for path in ("/x/1", "/x/y/1", "/z")] == [
            config.queues[0],
            config.queues[1],
            None,
        ]
        assert config.route("c", "/x/1") is None

    def test_first_of_two_queues_with_the_same_name_is_used(self) -> None:
        first, second = Queue("q", "a", "/x/", "one"), Queue("q", "a", "/x/", "two")
        config = CellConfig(1, (first, second))
        assert config.find("q") is first and config.route("a", "/x/1") is first


class TestManyRoutes:
    """A configuration with 1,400 routes is indexed in time while thousands of jobs exist."""

    def test_queues_of_all_jobs_are_found_without_a_stall(self) -> None:
        queues = tuple(Queue(f"q{n}", f"h{n}", f"/p{n}/", "s") for n in range(ROUTES))
        started = time.process_time()
        config = CellConfig(1, queues)
        for number in range(JOBS):
            queue = queues[number % ROUTES]
            assert config.find(queue.name) is queue
            assert config.route(queue.host, queue.prefix + "1") is queue
        assert time.process_time() - started < MAX_STALL_S
