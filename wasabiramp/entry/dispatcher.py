"""The dispatcher: sends what the scheduler orders and asks, and reduces each answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any, Final

from wasabiramp.entry.advisers import AdviserPool
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.orders import OrderQueue
from wasabiramp.entry.ports import Executors, NoAnswerError, OrderAnswer
from wasabiramp.entry.supervision import async_settle
from wasabiramp.logs import log_event
from wasabiramp.metrics import Metrics
from wasabiramp.scheduling.effects import (
    AskAdvice,
    HoldExecutor,
    PaceTask,
    StartTask,
    StopTask,
)
from wasabiramp.scheduling.events import (
    UNKNOWN,
    AdviceAnswered,
    AdviceFailed,
    HoldAnswered,
    HoldFailed,
    PaceAnswered,
    StartAnswered,
    StopAnswered,
)
from wasabiramp.scheduling.model import ExecutorReport

ADVICE_RETRY_S: Final = 0.2
"""Pause before a question to the adviser that had no answer is asked again."""

Sent = StartTask | StopTask | PaceTask | HoldExecutor | AskAdvice


class Dispatcher:
    """Carries out the effects of one owner that go to executors and to the adviser."""

    def __init__(
        self,
        executors: Executors,
        advisers: AdviserPool,
        metrics: Metrics,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        reduce: Callable[[Any], None],
        find_fence: Callable[[], int],
        async_await_tenure: Callable[[], Awaitable[None]],
        lag: LoopLag,
    ) -> None:
        """Send with the newest fencing token; starts wait until the tenure is sure."""
        self._executors = executors
        self._advisers = advisers
        self._metrics = metrics
        self._spawn = spawn
        self._reduce = reduce
        self._find_fence = find_fence
        self._async_await_tenure = async_await_tenure
        self._loop = asyncio.get_running_loop()
        self.orders = OrderQueue(spawn, lag)

    def send(self, effect: Sent) -> None:
        """Send an order in its turn, a hold or a question at once."""
        if isinstance(effect, StartTask):
            self.orders.add(partial(self._async_start, effect))
        elif isinstance(effect, StopTask):
            self.orders.add(partial(self._async_stop, effect))
        elif isinstance(effect, PaceTask):
            self.orders.add(partial(self._async_pace, effect))
        elif isinstance(effect, HoldExecutor):
            self._spawn(self._async_hold(effect))
        else:
            self._spawn(self._async_ask(effect))

    async def _async_start(self, effect: StartTask) -> None:
        """Send a start and take its answer."""
        await self._async_await_tenure()
        sent_at = self._loop.time()
        answer = await async_settle(
            self._executors.async_start(effect, self._find_fence()), OrderAnswer(UNKNOWN)
        )
        self._metrics.record_value("start_seconds", self._loop.time() - sent_at, {})
        self._reduce(
            StartAnswered(
                effect.executor, effect.task, effect.run, sent_at, answer.outcome, answer.clock_ms
            )
        )

    async def _async_stop(self, effect: StopTask) -> None:
        """Send a stop and take its answer."""
        answer = await async_settle(
            self._executors.async_stop(effect, self._find_fence()), OrderAnswer(UNKNOWN)
        )
        self._reduce(StopAnswered(effect.executor, effect.task, effect.run, answer.outcome))

    async def _async_pace(self, effect: PaceTask) -> None:
        """Send a pace and take its answer."""
        answer = await async_settle(
            self._executors.async_pace(effect, self._find_fence()), OrderAnswer(UNKNOWN)
        )
        self._reduce(PaceAnswered(effect.executor, effect.task, effect.run, answer.outcome))

    async def _async_hold(self, effect: HoldExecutor) -> None:
        """Send a hold and take the report."""
        sent_at = self._loop.time()
        report = await async_settle(self._executors.async_hold(effect, self._find_fence()), UNKNOWN)
        if isinstance(report, ExecutorReport):
            self._reduce(HoldAnswered(effect.executor, sent_at, report))
        else:
            self._reduce(HoldFailed(effect.executor, sent_at, report))

    async def _async_ask(self, effect: AskAdvice) -> None:
        """Ask the adviser and take the answer."""
        sent_at = self._loop.time()
        try:
            good, valid_s = await self._advisers.async_ask(
                effect.step, effect.executors, effect.cost_s
            )
        except NoAnswerError as err:
            log_event("adviser_silent", step=effect.step, error=err)
            self._reduce(AdviceFailed(effect.step, ADVICE_RETRY_S))
            return
        self._metrics.record_value("advice_seconds", self._loop.time() - sent_at, {})
        self._reduce(AdviceAnswered(effect.step, effect.executors, good, valid_s, sent_at))
