"""Simulated cell: runs the effects of many reducers on a virtual network and clock."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from random import Random
from typing import Any, Final

from stand_ins.executor import Executor
from stand_ins.instances import InstanceList
from stand_ins.store import Store
from stand_ins.worker import Worker
from wasabiramp.core.events import PeerLost, PeerReceived, Tick
from wasabiramp.core.records import decode_message, encode_message
from wasabiramp.core.reducer import Reducer
from wasabiramp.model import effect_handlers
from wasabiramp.settings.schema import Settings

TICK_S: Final = 0.1
"""Interval between the ticks of a daemon."""

MAX_PEER_LOST_DELAY_S: Final = 0.2
"""Longest time until a daemon learns that its stream to a peer broke."""

MAX_CLOCK_RATE_ERROR: Final = 0.004
"""Largest share by which a clock runs fast or slow."""


class Clock:
    """A clock with its own offset and a small constant rate error."""

    __slots__ = ("offset_s", "rate")

    def __init__(self, random: Random) -> None:
        """Draw the offset and the rate."""
        self.offset_s = random.uniform(100, 1000)
        self.rate = 1.0 + random.uniform(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR)

    def read(self, now: float) -> float:
        """Return the reading in seconds at the world's time `now`."""
        return self.offset_s + now * self.rate

    def find_world_time(self, reading: float) -> float:
        """Return the world's time at which the clock shows the reading."""
        return (reading - self.offset_s) / self.rate


class Node:
    """One incarnation of a daemon."""

    __slots__ = (
        "name",
        "incarnation",
        "reducer",
        "clock",
        "is_alive",
        "frozen_until",
        "backlog",
        "is_freeze_pending",
        "has_exited",
        "is_ready",
    )

    def __init__(self, settings: Settings, incarnation: str, clock: Clock) -> None:
        """Create a daemon with an empty state."""
        self.name = settings.instance
        self.incarnation = incarnation
        self.reducer = Reducer(settings, incarnation)
        self.clock = clock
        self.is_alive = True
        self.frozen_until = 0.0
        self.backlog: list[Any] = []
        self.is_freeze_pending = False
        self.has_exited = False
        self.is_ready = True

    @property
    def id(self) -> str:
        """Return the member id."""
        return self.reducer.state.me.id


class World:
    """Daemons, platform and network under one seed; time advances only in `run_until`."""

    def __init__(self, seed: int) -> None:
        """Create an empty world at time 0."""
        self.random = Random(seed)
        self.now = 0.0
        self.store = Store()
        self.instances = InstanceList()
        self.executors: dict[str, Executor] = {}
        self.workers: dict[str, Worker] = {}
        self.clocks: dict[str, Clock] = {}
        self.nodes: dict[str, Node] = {}
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.blackholed_messages: dict[frozenset[str], list[Callable[[], None]]] = {}
        self.blackhole_pairs: set[frozenset[str]] = set()
        self.answers: dict[str, tuple[float, Any]] = {}
        self.late_share = 0.0
        self.lost_share = 0.0
        self.logs: list[tuple[float, str, str, dict[str, Any]]] = []
        self.metrics: dict[str, float] = {}
        self.leaving_since: dict[str, float] = {}
        self.events_applied = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled_count = 0
        self._last_arrivals: dict[tuple[str, str], float] = {}
        self._pending_peer_lost: set[tuple[str, str]] = set()
        self._incarnations = 0
        self._message_count = 0
        self._last_delivered: dict[tuple[str, str], int] = {}

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._scheduled_count += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._scheduled_count, action))

    def run_until(self, until: float) -> None:
        """Run all actions due until a time, and advance the clock to it."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _order, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def run_for(self, seconds: float) -> None:
        """Advance the clock by a number of seconds and run the actions due."""
        self.run_until(self.now + seconds)

    def run_while(self, is_waiting: Callable[[], bool], timeout_s: float) -> bool:
        """Advance the clock while a condition holds; return whether it ended before the timeout."""
        until = self.now + timeout_s
        while self.now < until:
            if not is_waiting():
                return True
            self.run_for(0.02)
        return not is_waiting()

    def draw_delay_s(self) -> float:
        """Return a random one-way network delay in seconds."""
        return self.random.uniform(0.0005, 0.003)

    def add_executor(self, name: str, slots: int = 8, service_s: float = 0.1) -> Executor:
        """Add an executor that the platform lists as live."""
        self.executors[name] = Executor(slots, service_s)
        self.clocks[name] = Clock(self.random)
        self.instances.set_state(self.now, name, "live")
        return self.executors[name]

    def add_worker(
        self, name: str, cores: float = 64, memory_mb: float = 131072, accelerators: int = 0
    ) -> Worker:
        """Add a worker that the platform lists as live."""
        self.workers[name] = Worker(cores, memory_mb, accelerators)
        self.clocks[name] = Clock(self.random)
        self.instances.set_state(self.now, name, "live")
        return self.workers[name]

    def start_node(self, name: str, **overrides: Any) -> Node:
        """Start a new incarnation of a daemon.

        Raises ValueError if the previous one still runs.
        """
        previous = self.nodes.get(name)
        if previous is not None and previous.is_alive:
            raise ValueError(f"daemon {name} is still running")
        values = {
            "instance": name,
            "zone": "shubra",
            "api_address": "127.0.0.1:1",
            "peer_address": f"127.0.0.1:{sum(map(ord, name))}",
            "store_address": "127.0.0.1:2",
            "instance_list_address": "127.0.0.1:3",
        }
        self._incarnations += 1
        settings = Settings(**{**values, **overrides})
        node = Node(settings, f"{self._incarnations:04d}", Clock(self.random))
        self.nodes[name] = node
        self.instances.set_state(self.now, name, "live")
        self.call_later(self.random.uniform(0, TICK_S), lambda: self._tick(node))
        return node

    def _tick(self, node: Node) -> None:
        """Apply a tick to a daemon, and schedule the next one while it is alive."""
        if not node.is_alive:
            return
        if self.now >= node.frozen_until:
            self.apply(node, Tick())
        self.call_later(TICK_S, lambda: self._tick(node))

    def apply(self, node: Node, event: Any) -> None:
        """Apply an event to a daemon and run its effects.

        A dead daemon ignores it; a frozen one gets it when its freeze ends.
        """
        if not node.is_alive:
            return
        if self.now < node.frozen_until:
            node.backlog.append(event)
            return
        self.events_applied += 1
        effects = node.reducer.apply(event, node.clock.read(self.now))
        if node.is_freeze_pending and effects:
            # The process freezes after the reducer's decision and before its effects run.
            node.is_freeze_pending = False
            self._start_freeze(node, self.random.uniform(0.5, 8.0))
            until = node.frozen_until - self.now
            self.call_later(until, lambda: self._run_effects(node, effects))
            return
        self._run_effects(node, effects)

    def _run_effects(self, node: Node, effects: list[Any]) -> None:
        """Run the effects of one event, unless the daemon has died."""
        if not node.is_alive:
            return
        for effect in effects:
            effect_handlers.EFFECT_HANDLERS[type(effect)](self, node, effect)

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a daemon's process for a time."""
        self._start_freeze(self.nodes[name], seconds)

    def freeze_at_next_decision(self, name: str) -> None:
        """Freeze a daemon at its next event with effects, before these run."""
        self.nodes[name].is_freeze_pending = True

    def _start_freeze(self, node: Node, seconds: float) -> None:
        """Freeze a daemon and schedule the end of the freeze."""
        node.frozen_until = max(node.frozen_until, self.now + seconds)
        self.call_later(node.frozen_until - self.now, lambda: self._end_freeze(node))

    def _end_freeze(self, node: Node) -> None:
        """Apply the events that arrived during the freeze, unless a longer one has begun."""
        if not node.is_alive or self.now < node.frozen_until:
            return
        backlog, node.backlog = node.backlog, []
        for event in backlog:
            self.apply(node, event)

    def kill(self, name: str) -> None:
        """Kill a daemon; its peers lose their streams to it."""
        node = self.nodes[name]
        node.is_alive = False
        for other in self.nodes.values():
            if other is not node and other.is_alive:
                self._schedule_peer_lost(other, node.id)

    def _schedule_peer_lost(self, node: Node, member: str) -> None:
        """Schedule the event that a daemon's stream to a member broke, once at a time."""
        link = (node.id, member)
        if link in self._pending_peer_lost:
            return
        self._pending_peer_lost.add(link)

        def report_lost() -> None:
            self._pending_peer_lost.discard(link)
            self.apply(node, PeerLost(member))

        self.call_later(self.random.uniform(0.0, MAX_PEER_LOST_DELAY_S), report_lost)

    def add_partition(self, one: str, other: str, is_blackhole: bool = False) -> None:
        """Partition two endpoints; a black hole delays messages until it is removed."""
        pair = frozenset((one, other))
        self.partitioned_pairs.add(pair)
        if is_blackhole:
            self.blackhole_pairs.add(pair)

    def remove_all_partitions(self) -> None:
        """Remove all partitions and deliver the messages that black holes delayed."""
        self.partitioned_pairs.clear()
        self.blackhole_pairs.clear()
        blackholed_messages, self.blackholed_messages = self.blackholed_messages, {}
        for actions in blackholed_messages.values():
            for action in actions:
                self.call_later(self.draw_delay_s(), action)

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether two endpoints cannot reach each other."""
        return frozenset((one, other)) in self.partitioned_pairs

    def send(self, node: Node, member: str, message: Any) -> None:
        """Send a message to a member, encoded as on the wire and in order.

        On a partitioned link it is delayed in a black hole, or the stream to the member breaks.
        """
        name = member.split("#", 1)[0]
        data = encode_message(message)
        self._message_count += 1
        number = self._message_count
        pair = frozenset((node.name, name))
        if pair in self.partitioned_pairs:
            if pair in self.blackhole_pairs:
                blackholed_messages = self.blackholed_messages.setdefault(pair, [])
                blackholed_messages.append(lambda: self._deliver(node.id, member, data, number))
            else:
                self._schedule_peer_lost(node, member)
            return
        arrival = max(
            self.now + self.draw_delay_s(), self._last_arrivals.get((node.id, member), 0.0)
        )
        self._last_arrivals[(node.id, member)] = arrival
        self.call_later(arrival - self.now, lambda: self._arrive(node, member, data, pair, number))

    def _arrive(
        self, node: Node, member: str, data: bytes, pair: frozenset[str], number: int
    ) -> None:
        """Deliver a message, unless the connection broke or the receiver died on the way."""
        if pair in self.partitioned_pairs and pair not in self.blackhole_pairs:
            self._schedule_peer_lost(node, member)
            return
        target = self.nodes.get(member.split("#", 1)[0])
        if target is None or not target.is_alive or target.id != member:
            self._schedule_peer_lost(node, member)
            return
        self._deliver(node.id, member, data, number)

    def _deliver(self, sender: str, member: str, data: bytes, number: int) -> None:
        """Apply a message to the incarnation it was sent to, and drop one that is out of order."""
        if number <= self._last_delivered.get((sender, member), 0):
            return
        self._last_delivered[(sender, member)] = number
        target = self.nodes.get(member.split("#", 1)[0])
        if target is not None and target.id == member:
            self.apply(target, PeerReceived(sender, decode_message(data)))

    def list_live(self) -> list[Node]:
        """Return the daemons that are alive and have not exited."""
        return [node for node in self.nodes.values() if node.is_alive and not node.has_exited]

    def set_leaving(self, name: str) -> None:
        """Have the platform list an instance as leaving."""
        self.leaving_since[name] = self.now
        self.instances.set_state(self.now, name, "leaving")
