"""Tests of the queue of orders."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from functools import partial
from typing import Any

from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.orders import MAX_CONCURRENT_ORDERS, MAX_SLOT_HOLD_S, OrderQueue
from wasabiramp.model.entry.clock import VirtualLoop

ORDERS = 5 * MAX_CONCURRENT_ORDERS


class TestOrderQueue:
    """Load pattern: a slow owner decides hundreds of starts at once."""

    def test_concurrency_is_limited_and_order_kept(self) -> None:
        open_orders, max_open, sent = 0, 0, []

        async def send(number: int) -> None:
            nonlocal open_orders, max_open
            open_orders += 1
            max_open = max(max_open, open_orders)
            sent.append(number)
            await asyncio.sleep(0)
            open_orders -= 1

        async def run_scenario() -> None:
            tasks: set[asyncio.Task[Any]] = set()

            def spawn(work: Coroutine[Any, Any, None]) -> None:
                tasks.add(asyncio.create_task(work))

            queue = OrderQueue(spawn, LoopLag())
            for number in range(ORDERS):
                queue.add(partial(send, number))
            assert queue.has_backlog
            while not queue.is_idle:
                await asyncio.sleep(0)

        asyncio.run(run_scenario())
        assert max_open == MAX_CONCURRENT_ORDERS
        assert sent == list(range(ORDERS))

    def test_failed_order_releases_its_slot(self) -> None:
        sent = []

        async def send(number: int) -> None:
            sent.append(number)
            raise OSError("lost")

        async def run_scenario() -> None:
            tasks: list[asyncio.Task[Any]] = []
            queue = OrderQueue(lambda work: tasks.append(asyncio.create_task(work)), LoopLag())
            for number in range(2 * MAX_CONCURRENT_ORDERS):
                queue.add(partial(send, number))
            while not queue.is_idle:
                await asyncio.sleep(0)
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run(run_scenario())
        assert len(sent) == 2 * MAX_CONCURRENT_ORDERS

    def test_cancelled_queue_sends_nothing_more(self) -> None:
        sent = []

        async def send(number: int) -> None:
            sent.append(number)
            await asyncio.sleep(3600)

        async def run_scenario() -> None:
            tasks: list[asyncio.Task[Any]] = []
            queue = OrderQueue(lambda work: tasks.append(asyncio.create_task(work)), LoopLag())
            for number in range(3 * MAX_CONCURRENT_ORDERS):
                queue.add(partial(send, number))
            await asyncio.sleep(0)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run(run_scenario())
        assert len(sent) == MAX_CONCURRENT_ORDERS

    def test_unreachable_executors_do_not_block_the_others(self) -> None:
        """Load pattern: hundreds of stops to executors that do not answer, then a start."""
        started: list[float] = []
        loop = VirtualLoop()

        async def stop() -> None:
            await asyncio.sleep(0.3)

        async def start() -> None:
            started.append(loop.time())

        async def run_scenario() -> None:
            tasks: list[asyncio.Task[Any]] = []
            queue = OrderQueue(lambda work: tasks.append(asyncio.create_task(work)), LoopLag())
            for _ in range(5 * MAX_CONCURRENT_ORDERS):
                queue.add(stop)
            queue.add(start)
            while not queue.is_idle:
                await asyncio.sleep(0.01)

        loop.run_until_complete(run_scenario())
        loop.close()
        assert started[0] <= 5 * MAX_SLOT_HOLD_S + 0.01
        assert loop.time() >= 0.3
