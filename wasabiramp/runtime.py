"""Runtime of a daemon: applies events to the reducer and runs its effects on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
import secrets
from typing import Any, Final, TextIO, TypeVar

import aiohttp

from wasabiramp.clients.http import make_session
from wasabiramp.clients.store import StoreClient
from wasabiramp.clients.targets import TargetClient
from wasabiramp.const import TICK_INTERVAL_S
from wasabiramp.core import effects as fx
from wasabiramp.core.events import PeerLost, PeerReceived, StopRequested, Tick
from wasabiramp.core.records import encode_json
from wasabiramp.core.reducer import Reducer
from wasabiramp.logs import log_event, log_failure
from wasabiramp.metrics import Metrics
from wasabiramp.peer.streams import PeerLink, PeerServer
from wasabiramp.settings.schema import Settings

STOP_TIMEOUT_S: Final = 2.0
"""Time for tasks and connections to close; what is still open then ends with the process."""

T = TypeVar("T")
EffectHandler = Callable[["Runtime", Any], None]
EFFECT_HANDLERS: Final[dict[type, EffectHandler]] = {}


def handles_effect(effect_type: type) -> Callable[[EffectHandler], EffectHandler]:
    """Register the decorated function as the handler of an effect type."""

    def register(handler: EffectHandler) -> EffectHandler:
        EFFECT_HANDLERS[effect_type] = handler
        return handler

    return register


class Runtime:
    """The I/O side of one daemon: its clients, peer streams and waiting callers."""

    def __init__(self, settings: Settings) -> None:
        """Create the reducer; nothing is opened before `async_start`."""
        self.settings = settings
        self.reducer = Reducer(settings, secrets.token_hex(4))
        self.metrics = Metrics()
        self.is_ready = False
        self.has_failed = False
        self.stopped = asyncio.Event()
        self.session: aiohttp.ClientSession
        self.store: StoreClient
        self.targets: TargetClient
        self._loop = asyncio.get_running_loop()
        self._links: dict[str, PeerLink] = {}
        self._waiting: dict[str, asyncio.Future[Any]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._record_output: TextIO | None = None
        self._listeners: set[Callable[[], None]] = set()
        self._request_count = 0

    async def async_start(self) -> None:
        """Open the peer port and the clients, and start the tick loop."""
        self.session = make_session()
        self.store = StoreClient(self.session, self.settings.store_address)
        self.targets = TargetClient(self.session)
        if self.settings.record_file:
            path = Path(self.settings.record_file)
            self._record_output = path.open("w", encoding="utf-8")  # noqa: SIM115
        me = self.reducer.state.me.id
        self._server = PeerServer(me, self._handle_peer_message, self._handle_peer_lost)
        await self._server.async_start(self.settings.peer_address)
        self.is_ready = True
        self.spawn(self._async_tick())
        log_event("started", member=me, zone=self.settings.zone)

    async def async_stop(self) -> None:
        """Cancel all tasks and close all connections; gives up waiting after STOP_TIMEOUT_S."""
        pending = list(self._tasks)
        for task in pending:
            task.cancel()
        closing = [asyncio.ensure_future(link.async_close()) for link in self._links.values()]
        closing.append(asyncio.ensure_future(self._server.async_stop()))
        await asyncio.wait([*pending, *closing], timeout=STOP_TIMEOUT_S)
        await self.session.close()
        if self._record_output is not None:
            self._record_output.close()

    def spawn(self, coroutine: Awaitable[None]) -> None:
        """Run a coroutine until it ends or the runtime stops."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def apply(self, event: Any) -> None:
        """Apply an event now and run its effects."""
        now = self._loop.time()
        if self._record_output is not None:
            self._record_output.write(encode_json({"at": now, "event": event}) + "\n")
        try:
            effects = self.reducer.apply(event, now)
        except Exception:
            # A partly changed state must not be used: the process ends and its lease expires.
            log_failure("reducer_failed")
            self.has_failed = True
            self.stopped.set()
            raise
        for effect in effects:
            EFFECT_HANDLERS[type(effect)](self, effect)

    def request_stop(self) -> None:
        """Begin a graceful stop."""
        self.apply(StopRequested())

    def next_request_id(self) -> str:
        """Return a unique id for a caller's request."""
        self._request_count += 1
        return f"{self.reducer.state.me.id}-{self._request_count}"

    async def async_apply_and_wait(self, request_id: str, event: Any, timeout_s: float) -> Any:
        """Apply a caller's event and return the reducer's answer.

        Raises TimeoutError if there is none in time.
        """
        future: asyncio.Future[Any] = self._loop.create_future()
        self._waiting[request_id] = future
        try:
            self.apply(event)
            return await asyncio.wait_for(future, timeout_s)
        finally:
            self._waiting.pop(request_id, None)

    def answer(self, request_id: str, value: Any) -> None:
        """Pass an answer to the caller that waits for it; dropped if the caller has gone."""
        future = self._waiting.get(request_id)
        if future is not None and not future.done():
            future.set_result(value)

    def run_and_apply(self, coroutine: Awaitable[Any]) -> None:
        """Run a client call and apply the event that it returns."""

        async def async_run() -> None:
            event = await coroutine
            if event is not None:
                self.apply(event)

        self.spawn(async_run())

    def send_peer(self, member: str, message: Any) -> None:
        """Send a message on the member's stream, which is opened on first use."""
        link = self._links.get(member)
        if link is None:
            address = self._find_address(member)
            if address is None:
                return
            link = PeerLink(self.reducer.state.me.id, member, address, self._handle_peer_lost)
            self._links[member] = link
        link.send(message)

    def _find_address(self, member_id: str) -> str | None:
        """Return the peer address of a member of the current or a remembered epoch."""
        members = self.reducer.state.membership.current
        for member in members.members:
            if member.id == member_id:
                return member.peer
        for past in members.history:
            for member in past.members:
                if member.id == member_id:
                    return member.peer
        return None

    def count_sent_bytes(self) -> int:
        """Return the number of bytes sent to peers."""
        return sum(link.bytes_sent for link in self._links.values())

    def _handle_peer_message(self, sender: str, message: Any) -> None:
        """Apply a message from a peer."""
        self.apply(PeerReceived(sender, message))

    def _handle_peer_lost(self, member: str) -> None:
        """Apply the loss of a stream, unless this daemon is stopping."""
        if not self.stopped.is_set():
            self.apply(PeerLost(member))

    async def _async_tick(self) -> None:
        """Apply a tick and close stale streams, every TICK_INTERVAL_S."""
        while True:
            self.apply(Tick())
            await self._async_close_stale_links()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _async_close_stale_links(self) -> None:
        """Close streams to members that are in no remembered epoch."""
        for member in list(self._links):
            if self._find_address(member) is None:
                await self._links.pop(member).async_close()


@handles_effect(fx.StoreRead)
def _run_read(runtime: Runtime, effect: fx.StoreRead) -> None:
    """Read from the store."""
    runtime.run_and_apply(runtime.store.async_read(effect, runtime._loop.time()))


@handles_effect(fx.StoreWatch)
def _run_store_watch(runtime: Runtime, effect: fx.StoreWatch) -> None:
    """Watch the store."""
    runtime.run_and_apply(runtime.store.async_watch(effect, runtime._loop.time()))


@handles_effect(fx.StoreSwap)
def _run_swap(runtime: Runtime, effect: fx.StoreSwap) -> None:
    """Compare-and-swap in the store."""
    runtime.run_and_apply(runtime.store.async_swap(effect, runtime._loop.time()))


@handles_effect(fx.SendPeer)
def _run_send(runtime: Runtime, effect: fx.SendPeer) -> None:
    """Send to a peer."""
    runtime.send_peer(effect.member, effect.message)


@handles_effect(fx.AnswerCaller)
def _run_answer(runtime: Runtime, effect: fx.AnswerCaller) -> None:
    """Answer a caller."""
    runtime.answer(effect.request_id, effect.answer)


@handles_effect(fx.CallExecutor)
def _run_call(runtime: Runtime, effect: fx.CallExecutor) -> None:
    """Call an executor."""
    now = runtime._loop.time()
    runtime.run_and_apply(runtime.targets.async_call_executor(effect, now))


@handles_effect(fx.ProbeExecutor)
def _run_probe(runtime: Runtime, effect: fx.ProbeExecutor) -> None:
    """Probe an executor."""
    runtime.run_and_apply(runtime.targets.async_probe(effect, runtime._loop.time()))


@handles_effect(fx.SyncWorker)
def _run_sync(runtime: Runtime, effect: fx.SyncWorker) -> None:
    """Exchange leases, starts and stops with a worker."""
    runtime.run_and_apply(runtime.targets.async_sync(effect, runtime._loop.time()))


@handles_effect(fx.WatchWorker)
def _run_watch(runtime: Runtime, effect: fx.WatchWorker) -> None:
    """Watch a worker's inventory."""
    runtime.run_and_apply(runtime.targets.async_watch(effect, runtime._loop.time()))


@handles_effect(fx.ListInstances)
def _run_list(runtime: Runtime, _effect: fx.ListInstances) -> None:
    """Read the list of instances."""
    address = runtime.settings.instance_list_address
    runtime.run_and_apply(runtime.targets.async_list(address, runtime._loop.time()))


@handles_effect(fx.SetReadiness)
def _run_readiness(runtime: Runtime, effect: fx.SetReadiness) -> None:
    """Set the result of the readiness check."""
    runtime.is_ready = effect.is_ready


@handles_effect(fx.LogEvent)
def _run_log(_runtime: Runtime, effect: fx.LogEvent) -> None:
    """Log an event."""
    log_event(effect.event, **effect.fields)


@handles_effect(fx.CountMetric)
def _run_count(runtime: Runtime, effect: fx.CountMetric) -> None:
    """Record a metric."""
    runtime.metrics.record_value(effect.name, effect.value, effect.labels)


@handles_effect(fx.ExitDaemon)
def _run_exit(runtime: Runtime, _effect: fx.ExitDaemon) -> None:
    """End the daemon."""
    runtime.stopped.set()
