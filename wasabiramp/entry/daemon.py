"""The daemon of an entry instance: serves callers, and acts as the owner when elected."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
import time
from typing import Any, Final

from wasabiramp.core.records import DecodeError
from wasabiramp.entry.advisers import AdviserPool
from wasabiramp.entry.answers import NOT_READY, Answer
from wasabiramp.entry.health import MonitoredStore
from wasabiramp.entry.invalid_inputs import InvalidInputs
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.membership import Membership, Tenure
from wasabiramp.entry.owner import Owner, OwnerStoppedError
from wasabiramp.entry.peers import (
    FAILED,
    LATER,
    OK,
    AskAdviser,
    EndTenure,
    Listener,
    PeerAnswer,
    Peers,
    ServeCall,
    TakeOver,
)
from wasabiramp.entry.ports import (
    Adviser,
    Codec,
    EntrySettings,
    Executors,
    Item,
    NoAnswerError,
    Store,
    StoreRefusedError,
    StoreUnknownError,
)
from wasabiramp.entry.request_handler import RequestHandler
from wasabiramp.entry.supervision import async_keep_running
from wasabiramp.entry.watcher import PrefixWatcher
from wasabiramp.logs import log_event
from wasabiramp.metrics import Metrics
from wasabiramp.policy.switches import do_nothing_async, switchable
from wasabiramp.scheduling.model import CellConfig, Queue

CONFIG_WATCH_TIMEOUT_S: Final = 2.0
"""Timeout of a watch of the configuration; a dead connection is noticed soon after."""

FIRST_CONFIG_WAIT_S: Final = 1.0
"""Longest wait of a request for the first configuration: the time of its transfer over a narrow
link."""

MAX_CONTACT_AGE_S: Final = 3.0
"""Without contact to the store for this long, the daemon reports itself as not ready."""

BIND_RETRY_DELAY_S: Final = 0.2
MAX_BIND_ATTEMPTS: Final = 20
"""Delay and limit of attempts to bind an address, which an earlier process may still hold."""

ROTATION_DELAY_S: Final = 2.2
"""Time after SIGTERM during which callers are still served.

The load balancer needs two checks, a second apart, to route callers elsewhere.
"""

FLUSH_TIMEOUT_S: Final = 1.0
"""Longest wait of a leaving owner for the answers to its orders and for their storage."""


def read_boottime() -> float:
    """Return the seconds since the machine's boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


HAND_OVER_AFTER_S: Final = 0.2
"""Time for which the store turns an owner away until it asks others to take over.

It is several calls, and a fraction of the lease after which another daemon would claim."""

HAND_OVER_CHECK_S: Final = 0.05
HAND_OVER_INTERVAL_S: Final = 1.0
"""Interval of the check, and between two attempts."""

HAND_OVER_CALL_TIMEOUT_S: Final = 0.2
MAX_HAND_OVER_CALLS: Final = 3
"""Timeout of the question to one daemon, and number of daemons asked in one attempt."""


class EntryDaemon:
    """One daemon: request handler, membership, and the owner when elected."""

    def __init__(
        self,
        settings: EntrySettings,
        store: Store,
        executors: Executors,
        adviser: Adviser,
        codec: Codec,
        peers: Peers,
        make_listener: Callable[[ServeCall], Listener],
        lag: LoopLag,
        read_wall: Callable[[], float] = time.time,
        read_uptime: Callable[[], float] = read_boottime,
    ) -> None:
        """Create the daemon's parts; nothing is opened before `async_start`."""
        self.settings = settings
        self.metrics = Metrics()
        self._store = store = MonitoredStore(store)
        self._executors = executors
        self._adviser = adviser
        self._codec = codec
        self._peers = peers
        self._listener = make_listener(self._async_serve_peer)
        self._lag = lag
        self._read_wall = read_wall
        self._read_uptime = read_uptime
        self._membership = Membership(
            settings, store, self._begin_tenure, self._end_tenure, read_uptime
        )
        self._owner: Owner | None = None
        # By term, the time from which its leases end as early as the next owner expects.
        self._completed_terms: dict[int, float] = {}
        self.request_handler = RequestHandler(
            store,
            self._membership,
            peers,
            self._get_owner,
            self.metrics,
            read_wall,
            settings.store_value_bytes,
        )
        self.config = CellConfig(0, ())
        self._invalid_config = InvalidInputs("config_unreadable")
        self._config_watcher = PrefixWatcher(
            store, codec.config_key, CONFIG_WATCH_TIMEOUT_S, self._apply_config
        )
        self._config_read_task: asyncio.Task[bool] | None = None
        self._is_leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self.stop_requested = asyncio.Event()

    async def async_start(self) -> None:
        """Open the port for other daemons, join, and watch the configuration."""
        log_event("starting", member=self.settings.name, zone=self.settings.zone)
        loop = asyncio.get_running_loop()
        await async_bind(lambda: self._listener.async_start(self.settings.peer_address))
        self._membership.start()
        self._tasks = [
            loop.create_task(async_keep_running(name, work))
            for name, work in (
                ("configuration", self._config_watcher.async_run),
                ("admission", self.request_handler.admission.async_run),
                ("announcer", self.request_handler.async_run_announcer),
                ("hand-over", self._async_hand_over_if_refused),
            )
        ]

    async def async_relinquish(self) -> None:
        """Report as not ready, wait for the answers to all orders, and give up ownership."""
        self._is_leaving = True
        log_event("leaving", member=self.settings.name, owner=self._owner is not None)
        owner = self._owner
        if owner is not None:
            owner.disable_placement()
            try:
                async with asyncio.timeout(FLUSH_TIMEOUT_S):
                    await owner.async_flush()
            except (TimeoutError, OwnerStoppedError) as err:
                log_event("flush_incomplete", error=err)
            self._stop_owner()
        await self._membership.async_leave()

    async def async_stop(self) -> None:
        """Stop all tasks and close the connections."""
        self._membership.stop()
        for task in list(self._tasks):
            task.cancel()
        if self._owner is not None:
            self._owner.stop()
        await self._listener.async_stop()
        self._peers.close()
        log_event("stopped", member=self.settings.name)

    def is_ready(self) -> bool:
        """Return whether the load balancer should route callers here."""
        if self._is_leaving or not self.config.version:
            return False
        confirmed_at = self._config_watcher.confirmed_at
        now = asyncio.get_running_loop().time()
        return confirmed_at is not None and now - confirmed_at < MAX_CONTACT_AGE_S

    async def async_find_queue(self, host: str, path: str) -> Queue | Answer | None:
        """Return the queue of a request, or None if the newest configuration has no such queue."""
        queue = self.config.route(host, path)
        if queue is not None:
            return queue
        if not await self._async_refresh_config():
            reason = "the newest configuration is not known"
            return Answer(NOT_READY, reason=reason, retry_after_s=1.0)
        return self.config.route(host, path)

    async def _async_refresh_config(self) -> bool:
        """Read the newest configuration, shared by concurrent calls; return whether it is known.

        A daemon that has none yet is already reading it; a second read would slow both down over a
        narrow link.
        """
        if not self.config.version:
            with suppress(TimeoutError):
                async with asyncio.timeout(FIRST_CONFIG_WAIT_S):
                    await self._config_watcher.synced.wait()
            return self.config.version > 0
        if self._config_read_task is None or self._config_read_task.done():
            loop = asyncio.get_running_loop()
            self._config_read_task = loop.create_task(self._async_read_config())
        return await asyncio.shield(self._config_read_task)

    async def _async_read_config(self) -> bool:
        """Read the newest configuration; return whether any is known."""
        try:
            item = await self._store.async_get(self._codec.config_key)
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("config_read_failed", error=err)
            return False
        if item is not None:
            self._apply_config(item.key, item)
        return self.config.version > 0

    def _apply_config(self, key: str, item: Item | None) -> None:
        """Apply a configuration that is newer than the current one."""
        if item is None or key != self._codec.config_key:
            return
        try:
            config = self._codec.decode_config(item.value)
        except DecodeError as err:
            self._invalid_config.add(key, err)
            return
        self._invalid_config.remove(key)
        if config.version <= self.config.version:
            return
        self.config = config
        log_event("config_applied", version=config.version, queues=len(config.queues))
        if self._owner is not None:
            self._owner.apply_config(config)

    @property
    def owner(self) -> Owner | None:
        """Return the owner in this process, if there is one."""
        return self._owner

    def _get_owner(self) -> Owner | None:
        """Return the owner in this process, if there is one."""
        return self._owner

    def _begin_tenure(self, tenure: Tenure) -> None:
        """Start the owner, or continue it in a new term."""
        if self._is_leaving:
            return
        if self._owner is not None:
            self._owner.continue_tenure(tenure)
            return
        pool = AdviserPool(self._adviser, self._peers, self._list_peers)
        self._owner = Owner(
            tenure,
            self._store,
            self._executors,
            pool,
            self._peers,
            self._codec,
            self.metrics,
            self.settings.lease_limit_s,
            self.settings.status_s,
            self.settings.link_mbps,
            self.settings.store_value_bytes,
            self._membership.end_tenure,
            self._resign,
            self._lag,
            self._read_wall,
            self._read_uptime,
        )
        self._owner.start(self.config)

    async def _async_hand_over_if_refused(self) -> None:
        """Look for another owner while the store turns this one away but may answer others."""
        while True:
            await asyncio.sleep(HAND_OVER_CHECK_S)
            if self._owner is not None and self._store.get_turned_away_s() > HAND_OVER_AFTER_S:
                await self._async_hand_over()
                await asyncio.sleep(HAND_OVER_INTERVAL_S)

    @switchable(
        "hand-over",
        "hand ownership over when the store turns only the owner away",
        do_nothing_async,
    )
    async def _async_hand_over(self) -> None:
        """Ask the strongest daemons to take over; this one acts until an executor fences it."""
        message = TakeOver(self.settings.peer_address)
        for address in self._membership.list_peers_by_strength()[:MAX_HAND_OVER_CALLS]:
            try:
                answer = await self._peers.async_call(address, message, HAND_OVER_CALL_TIMEOUT_S)
            except NoAnswerError:
                continue
            if answer.outcome == OK:
                turned_away_s = self._store.get_turned_away_s()
                log_event("ownership_offered", to=address, turned_away_s=turned_away_s)
                return

    def _serve_take_over(self, message: TakeOver) -> PeerAnswer:
        """Take ownership over if the store answers this daemon."""
        is_taken = self._store.is_answering() and self._membership.take_over(message.address)
        return PeerAnswer(OK if is_taken else FAILED)

    def _resign(self) -> None:
        """Resign because of overload, so that another daemon becomes the owner."""
        task = asyncio.get_running_loop().create_task(self._membership.async_resign())
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _end_tenure(self, reason: str) -> None:
        """Stop the owner."""
        self._stop_owner()

    def _stop_owner(self) -> None:
        """Stop the owner, and remember whether it knew what all executors ran."""
        owner, self._owner = self._owner, None
        if owner is None:
            return
        owner.stop()
        if owner.has_heard_all():
            self._completed_terms[owner.tenure.term] = owner.get_usual_leases_from()

    def _serve_end_tenure(self, message: EndTenure) -> PeerAnswer:
        """End the tenure of a term that another daemon has replaced by a later one."""
        tenure = self._membership.tenure
        if tenure is not None and tenure.term <= message.term:
            self._membership.end_tenure("another daemon told of a later term")
        usual_leases_from = self._completed_terms.get(message.term)
        if usual_leases_from is None:
            return PeerAnswer(FAILED)
        now = asyncio.get_running_loop().time()
        return PeerAnswer(OK if now >= usual_leases_from else LATER)

    def _list_peers(self) -> list[str]:
        """Return the addresses of the other daemons."""
        addresses = self._membership.addresses
        return [addresses[name] for name in sorted(addresses) if name != self.settings.name]

    async def _async_serve_peer(self, message: Any) -> PeerAnswer:
        """Answer a call of another daemon."""
        if isinstance(message, TakeOver):
            return self._serve_take_over(message)
        if isinstance(message, EndTenure):
            return self._serve_end_tenure(message)
        if not isinstance(message, AskAdviser):
            return await self.request_handler.async_serve(message)
        try:
            eligible, valid_s = await self._adviser.async_ask(
                message.step, message.executors, message.timeout_s
            )
        except NoAnswerError as err:
            return PeerAnswer(FAILED, str(err))
        return PeerAnswer(OK, (eligible, valid_s))


async def async_bind(bind: Any) -> None:
    """Bind a port; retry while an earlier process still holds it."""
    for attempt in range(MAX_BIND_ATTEMPTS):
        try:
            await bind()
            return
        except OSError as err:
            log_event("port_busy", attempt=attempt, error=err)
            if attempt + 1 == MAX_BIND_ATTEMPTS:
                raise
            await asyncio.sleep(BIND_RETRY_DELAY_S)
