"""Handlers that run each effect of a reducer in the simulated world, with injected faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict
from typing import TYPE_CHECKING, Any, Final

from wasabiramp.clients.targets import parse_report
from wasabiramp.core import effects as fx
from wasabiramp.core import events as ev
from wasabiramp.core.records import decode_json, encode_json

if TYPE_CHECKING:
    from wasabiramp.model.world import Node, World

EffectHandler = Callable[["World", "Node", Any], None]
EFFECT_HANDLERS: Final[dict[type, EffectHandler]] = {}

STORE: Final = "store"
"""Name of the store as an endpoint of the simulated network."""

INSTANCE_LIST: Final = "list"
"""Name of the platform's instance list as an endpoint of the simulated network."""

STORE_TIMEOUT_S: Final = 1.0
"""Time after which a store call without an answer fails."""

WORKER_TIMEOUT_S: Final = 2.0
"""Time after which a sync with a worker without an answer fails."""

MAX_LATE_S: Final = 4.0
"""Longest delay until a late call or store write arrives."""

WATCH_POLL_S: Final = 0.05
"""Interval at which a watch looks for changes."""


def handles_effect(effect_type: type) -> Callable[[EffectHandler], EffectHandler]:
    """Register the decorated function as the handler of an effect type."""

    def register(handler: EffectHandler) -> EffectHandler:
        EFFECT_HANDLERS[effect_type] = handler
        return handler

    return register


def _schedule_event(world: World, node: Node, delay_s: float, event: Any) -> None:
    """Apply an event to the daemon after a delay."""
    world.call_later(delay_s, lambda: world.apply(node, event))


def _decode_items(items: list[Any]) -> list[ev.StoreItem]:
    """Return items of the store with decoded values, None for a deleted one."""
    return [
        ev.StoreItem(item.key, decode_json(item.value) if item.value else None, item.revision)
        for item in items
    ]


@handles_effect(fx.StoreRead)
def _run_read(world: World, node: Node, effect: fx.StoreRead) -> None:
    """Read the store, possibly from a stale replica."""
    sent_at = node.clock.read(world.now)
    failed = ev.StoreAnswer(effect.purpose, effect.tag, ev.FAILED, sent_at)
    if world.store.faults.down or world.is_partitioned(node.name, STORE):
        _schedule_event(world, node, world.random.uniform(0.001, STORE_TIMEOUT_S), failed)
        return

    def serve() -> None:
        items, revision = world.store.list_items(world.now, effect.key, effect.after)
        if not effect.is_prefix:
            items = [item for item in items if item.key == effect.key]
        answer = ev.StoreAnswer(
            effect.purpose, effect.tag, ev.OK, sent_at, revision, _decode_items(items)
        )
        _schedule_event(world, node, world.draw_delay_s(), answer)

    world.call_later(world.draw_delay_s(), serve)


@handles_effect(fx.StoreWatch)
def _run_store_watch(world: World, node: Node, effect: fx.StoreWatch) -> None:
    """Poll the store until there are changes or the watch times out."""
    sent_at = node.clock.read(world.now)
    until = world.now + effect.timeout_s

    def poll() -> None:
        if not node.is_alive:
            return
        if world.store.faults.down or world.is_partitioned(node.name, STORE):
            failed = ev.StoreAnswer(effect.purpose, "", ev.FAILED, sent_at)
            _schedule_event(world, node, world.draw_delay_s(), failed)
            return
        stalled = world.store.faults.watch_stalled
        changes = [] if stalled else world.store.list_changes(effect.key, effect.after)
        if not changes and world.now < until:
            world.call_later(WATCH_POLL_S, poll)
            return
        revision = effect.after if stalled else world.store.revision
        answer = ev.StoreAnswer(
            effect.purpose, "", ev.OK, sent_at, revision, _decode_items(changes)
        )
        _schedule_event(world, node, world.draw_delay_s(), answer)

    world.call_later(world.draw_delay_s(), poll)


@handles_effect(fx.StoreSwap)
def _run_swap(world: World, node: Node, effect: fx.StoreSwap) -> None:
    """Compare-and-swap a key; the answer may be lost before or after the write takes effect."""
    sent_at = node.clock.read(world.now)
    value = None if effect.value is None else encode_json(effect.value)
    failed = ev.StoreAnswer(effect.purpose, effect.tag, ev.FAILED, sent_at)
    unknown = ev.StoreAnswer(effect.purpose, effect.tag, ev.UNKNOWN, sent_at)
    if world.store.faults.down or world.is_partitioned(node.name, STORE):
        _schedule_event(world, node, world.random.uniform(0.001, 0.01), failed)
        return
    is_lost = world.random.random() < max(world.lost_share, world.store.faults.lose_answers)
    is_late = is_lost and world.random.random() < 0.3

    def serve() -> None:
        if world.store.faults.down:
            return
        done, item = world.store.swap(world.now, effect.key, value, effect.expect)
        if is_lost:
            return
        status = ev.OK if done else ev.CONFLICT
        answer = ev.StoreAnswer(
            effect.purpose, effect.tag, status, sent_at, item.revision, _decode_items([item])
        )
        _schedule_event(world, node, world.draw_delay_s(), answer)

    service_delay_s = world.random.uniform(1.0, MAX_LATE_S) if is_late else world.draw_delay_s()
    if is_lost:
        _schedule_event(world, node, STORE_TIMEOUT_S, unknown)
    else:
        # If the store goes down before it serves the write, the call times out.
        def answer_during_outage() -> None:
            if world.store.faults.down:
                _schedule_event(world, node, STORE_TIMEOUT_S, unknown)

        world.call_later(service_delay_s, answer_during_outage)
    world.call_later(service_delay_s, serve)


@handles_effect(fx.SendPeer)
def _run_send(world: World, node: Node, effect: fx.SendPeer) -> None:
    """Send a message to another daemon."""
    world.send(node, effect.member, effect.message)


@handles_effect(fx.AnswerCaller)
def _run_answer(world: World, _node: Node, effect: fx.AnswerCaller) -> None:
    """Record the first answer to the caller and its time."""
    if effect.request_id not in world.answers:
        world.answers[effect.request_id] = (world.now, effect.answer)


@handles_effect(fx.CallExecutor)
def _run_call(world: World, node: Node, effect: fx.CallExecutor) -> None:
    """Call an executor; the request or its answer may be late or lost."""
    executor = world.executors[effect.executor]
    clock = world.clocks[effect.executor]
    sent_at = node.clock.read(world.now)
    answered: list[bool] = []

    def answer(status: str, body: bytes = b"", reason: str = "") -> None:
        if answered:
            return
        answered.append(True)
        reading = clock.read(world.now)
        event = ev.ExecutorAnswered(
            effect.executor, effect.call_id, status, body, reason, reading, sent_at
        )
        _schedule_event(world, node, world.draw_delay_s(), event)

    if world.is_partitioned(node.name, effect.executor):
        world.call_later(world.draw_delay_s(), lambda: answer(ev.FAILED, reason="no connection"))
        return
    world.call_later(effect.timeout_s, lambda: answer(ev.UNKNOWN, reason="timeout"))
    is_late = world.random.random() < world.late_share
    loses_answer = world.random.random() < world.lost_share

    def arrive() -> None:
        if executor.faults.down:
            answer(ev.UNKNOWN, reason="broken")
            return
        reading = clock.read(world.now)
        if not executor.start(reading, effect.call_id, effect.body, effect.start_by_s):
            answer(ev.FAILED, reason="too late to start")
            return
        service_s = executor.service_s * world.random.uniform(0.5, 2.0)
        world.call_later(service_s, finish)

    def finish() -> None:
        executor.finish(effect.call_id)
        if loses_answer or world.is_partitioned(node.name, effect.executor):
            answer(ev.UNKNOWN, reason="answer lost")
            return
        answer(ev.OK, b"done:" + effect.body)

    world.call_later(
        world.random.uniform(0, MAX_LATE_S) if is_late else world.draw_delay_s(), arrive
    )


@handles_effect(fx.ProbeExecutor)
def _run_probe(world: World, node: Node, effect: fx.ProbeExecutor) -> None:
    """Read an executor's clock and the list of its running calls."""
    sent_at = node.clock.read(world.now)
    executor = world.executors[effect.executor]

    def serve() -> None:
        reachable = (
            not world.is_partitioned(node.name, effect.executor) and not executor.faults.down
        )
        report = ev.ExecutorReported(effect.executor, reachable, sent_at)
        if reachable:
            report.clock_s = world.clocks[effect.executor].read(world.now)
            report.running = list(executor.running)
        _schedule_event(world, node, world.draw_delay_s(), report)

    world.call_later(world.draw_delay_s(), serve)


@handles_effect(fx.SyncWorker)
def _run_sync(world: World, node: Node, effect: fx.SyncWorker) -> None:
    """Exchange a batch with a worker; the request or its answer may be late or lost."""
    worker = world.workers[effect.worker]
    clock = world.clocks[effect.worker]
    sent_at = node.clock.read(world.now)
    unreachable = ev.WorkerReported(effect.worker, False, sent_at)
    if world.is_partitioned(node.name, effect.worker) or worker.faults.down:
        _schedule_event(world, node, WORKER_TIMEOUT_S, unreachable)
        return
    request = asdict(effect)
    is_late = world.random.random() < world.late_share
    is_lost = is_late or world.random.random() < world.lost_share
    if is_lost:
        _schedule_event(world, node, WORKER_TIMEOUT_S, unreachable)

    def serve() -> None:
        raw = worker.sync(clock.read(world.now), request)
        if not is_lost:
            report = parse_report(effect.worker, raw, sent_at)
            _schedule_event(world, node, world.draw_delay_s(), report)

    world.call_later(
        world.random.uniform(0, MAX_LATE_S) if is_late else world.draw_delay_s(), serve
    )


@handles_effect(fx.WatchWorker)
def _run_watch(world: World, node: Node, effect: fx.WatchWorker) -> None:
    """Poll a worker until its inventory changes or the watch times out."""
    worker = world.workers[effect.worker]
    clock = world.clocks[effect.worker]
    sent_at = node.clock.read(world.now)
    until = world.now + effect.timeout_s

    def poll() -> None:
        if not node.is_alive:
            return
        if world.is_partitioned(node.name, effect.worker) or worker.faults.down:
            report = ev.WorkerReported(effect.worker, False, sent_at, is_watch=True)
            _schedule_event(world, node, 0.5, report)
            return
        raw = worker.report(clock.read(world.now))
        if raw["sequence"] == effect.sequence and world.now < until:
            world.call_later(WATCH_POLL_S, poll)
            return
        report = parse_report(effect.worker, raw, sent_at)
        report.is_watch = True
        _schedule_event(world, node, world.draw_delay_s(), report)

    world.call_later(world.draw_delay_s(), poll)


@handles_effect(fx.ListInstances)
def _run_list(world: World, node: Node, _effect: fx.ListInstances) -> None:
    """Read the platform's instance list, which lags; no event follows if it is unreachable."""
    sent_at = node.clock.read(world.now)
    if world.instances.down or world.is_partitioned(node.name, INSTANCE_LIST):
        return

    def serve() -> None:
        listed = [
            ev.ListedInstance(name, state)
            for name, state in world.instances.read(world.now).items()
        ]
        _schedule_event(world, node, world.draw_delay_s(), ev.InstancesListed(sent_at, listed))

    world.call_later(world.draw_delay_s(), serve)


@handles_effect(fx.SetReadiness)
def _run_readiness(_world: World, node: Node, effect: fx.SetReadiness) -> None:
    """Record whether the load balancer routes callers to the daemon."""
    node.is_ready = effect.is_ready


@handles_effect(fx.LogEvent)
def _run_log(world: World, node: Node, effect: fx.LogEvent) -> None:
    """Record the log event with its time and daemon."""
    world.logs.append((world.now, node.name, effect.event, effect.fields))


@handles_effect(fx.CountMetric)
def _run_count(world: World, _node: Node, effect: fx.CountMetric) -> None:
    """Add to the metric, which is summed over all daemons."""
    world.metrics[effect.name] = world.metrics.get(effect.name, 0.0) + effect.value


@handles_effect(fx.ExitDaemon)
def _run_exit(_world: World, node: Node, _effect: fx.ExitDaemon) -> None:
    """End the daemon after its graceful stop."""
    node.has_exited = True
    node.is_alive = False
