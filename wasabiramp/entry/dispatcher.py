"""Dispatcher: sends the scheduler's orders, holds and questions, and reduces each answer.

An order starts, stops or paces a run. A hold is a long poll of an executor, which also renews its
lease. A question asks the adviser which executors may run a step. Each answer, or its absence, is
passed to the scheduler's reducer as an event.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any, Final

from wasabiramp.entry.advisers import AdviserPool
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.orders import OrderQueue
from wasabiramp.entry.ports import Executors, NoAnswerError, OrderAnswer
from wasabiramp.entry.supervision import async_call_or_default
from wasabiramp.logs import log_event, log_failure
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
from wasabiramp.scheduling.processes import build_fence

ADVICE_RETRY_S: Final = 0.05
"""Delay before a question without an answer is asked again, mostly through another daemon."""

ExecutorCall = StartTask | StopTask | PaceTask | HoldExecutor
DispatchedEffect = ExecutorCall | AskAdvice


class Dispatcher:
    """Executes the effects of one owner that call executors or the adviser."""

    def __init__(
        self,
        executors: Executors,
        advisers: AdviserPool,
        metrics: Metrics,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        reduce: Callable[[Any], None],
        get_fencing_token: Callable[[], int],
        async_wait_for_tenure: Callable[[], Awaitable[None]],
        lag: LoopLag,
    ) -> None:
        """Send with the current fencing token; starts wait until the tenure is checked."""
        self._executors = executors
        self._advisers = advisers
        self._metrics = metrics
        self._spawn = spawn
        self._reduce = reduce
        self._get_fencing_token = get_fencing_token
        self._async_wait_for_tenure = async_wait_for_tenure
        self._loop = asyncio.get_running_loop()
        self.orders = OrderQueue(spawn, lag)

    def send(self, effect: DispatchedEffect) -> None:
        """Queue an order, which waits for a slot; send a hold or a question at once."""
        if isinstance(effect, StartTask):
            self.orders.add(partial(self._async_start, effect))
        elif isinstance(effect, StopTask):
            self.orders.add(partial(self._async_stop, effect))
        elif isinstance(effect, PaceTask):
            self.orders.add(partial(self._async_pace, effect))
        elif isinstance(effect, HoldExecutor):
            self._spawn(self._async_hold(effect))
        else:
            self._spawn(self._async_ask_adviser(effect))

    def _build_fence(self, effect: ExecutorCall) -> int:
        """Return the fence number of a call: the present term, and the epoch of the call."""
        return build_fence(self._get_fencing_token(), effect.fence_epoch)

    async def _async_start(self, effect: StartTask) -> None:
        """Send a start and reduce its answer."""
        await self._async_wait_for_tenure()
        sent_at = self._loop.time()
        answer = await async_call_or_default(
            self._executors.async_start(effect, self._build_fence(effect)), OrderAnswer(UNKNOWN)
        )
        self._metrics.record_value("start_seconds", self._loop.time() - sent_at, {})
        self._reduce(
            StartAnswered(
                effect.executor,
                effect.task,
                effect.run,
                sent_at,
                answer.outcome,
                answer.clock_ms,
                effect.until_ms,
                effect.fence_epoch,
            )
        )

    async def _async_stop(self, effect: StopTask) -> None:
        """Send a stop and reduce its answer."""
        answer = await async_call_or_default(
            self._executors.async_stop(effect, self._build_fence(effect)), OrderAnswer(UNKNOWN)
        )
        self._reduce(
            StopAnswered(
                effect.executor, effect.task, effect.run, answer.outcome, effect.fence_epoch
            )
        )

    async def _async_pace(self, effect: PaceTask) -> None:
        """Send a change of pace and reduce its answer."""
        answer = await async_call_or_default(
            self._executors.async_pace(effect, self._build_fence(effect)), OrderAnswer(UNKNOWN)
        )
        self._reduce(
            PaceAnswered(
                effect.executor, effect.task, effect.run, answer.outcome, effect.fence_epoch
            )
        )

    async def _async_hold(self, effect: HoldExecutor) -> None:
        """Send a hold, which renews the executor's lease, and reduce its report."""
        sent_at = self._loop.time()
        report = await async_call_or_default(
            self._executors.async_hold(effect, self._build_fence(effect)), UNKNOWN
        )
        if isinstance(report, ExecutorReport):
            self._reduce(
                HoldAnswered(
                    effect.executor,
                    sent_at,
                    report,
                    effect.address,
                    effect.last_seen,
                    effect.until_ms,
                    effect.fence_epoch,
                )
            )
        else:
            self._reduce(
                HoldFailed(
                    effect.executor,
                    sent_at,
                    report,
                    effect.address,
                    effect.fence_epoch,
                    effect.last_seen,
                )
            )

    async def _async_ask_adviser(self, effect: AskAdvice) -> None:
        """Ask the adviser and reduce the answer."""
        sent_at = self._loop.time()
        try:
            eligible, valid_s = await self._advisers.async_ask(
                effect.step, effect.executors, effect.cost_s
            )
        except NoAnswerError as err:
            log_event("adviser_silent", step=effect.step, error=err)
            self._reduce(AdviceFailed(effect.step, ADVICE_RETRY_S))
            return
        except Exception:
            # A step asks again only once its last question has an outcome.
            log_failure("question_failed")
            self._reduce(AdviceFailed(effect.step, ADVICE_RETRY_S))
            return
        self._metrics.record_value("advice_seconds", self._loop.time() - sent_at, {})
        self._reduce(AdviceAnswered(effect.step, effect.executors, eligible, valid_s, sent_at))
