"""Entry point on the users' platform: runs one daemon with the clients of this package."""

from __future__ import annotations

import asyncio
from dataclasses import fields
import signal
import sys
from typing import Final

import uvloop

from wasabiramp.entry.daemon import ROTATION_DELAY_S, EntryDaemon
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.peers import PeerCaller, PeerListener
from wasabiramp.entry.ports import EntrySettings
from wasabiramp.entry.supervision import async_keep_running, async_log_failure
from wasabiramp.logs import log_event, set_on_drop, set_up_logs
from wasabiramp.platform.callers import CallerServer
from wasabiramp.platform.clients import (
    STORE_CONNECTIONS,
    AdviserClient,
    ExecutorClient,
    HttpClient,
    StoreClient,
)
from wasabiramp.platform.node import load_node_settings, read_settings_version
from wasabiramp.platform.wire import PlatformCodec
from wasabiramp.policy.switches import set_switched_off

EXIT_MARGIN_S: Final = 1.0
"""Part of the time until the platform kills the process that is left once callers are answered."""

SETTINGS_POLL_INTERVAL_S: Final = 1.0
"""Interval at which a change of the settings file is looked for."""

EXIT_SETTINGS: Final = 2
OPTION_WITHOUT: Final = "--without"


class CallerBackend:
    """The part of a daemon that the callers' server uses."""

    def __init__(self, daemon: EntryDaemon) -> None:
        """Expose the methods of a daemon."""
        self.metrics = daemon.metrics
        self.is_ready = daemon.is_ready
        self.async_find_queue = daemon.async_find_queue
        self.async_submit = daemon.request_handler.async_submit
        self.async_show = daemon.request_handler.async_show
        self.async_cancel = daemon.request_handler.async_cancel
        self.async_count_waiting = daemon.request_handler.async_count_waiting
        self.read_wall_ms = daemon.request_handler.read_wall_ms
        self._daemon = daemon

    @property
    def max_body_bytes(self) -> int:
        """Return the limit of a request body in bytes."""
        return self._daemon.config.max_body_bytes


class SettingsReloader:
    """Applies changed addresses of the store and the adviser while the process runs.

    The file is read at a signal, and also when it has changed without one, such as by a write that
    was not complete at the signal. Other changed settings are logged but take effect only when the
    process is restarted.
    """

    def __init__(self, settings: EntrySettings, store: StoreClient, adviser: AdviserClient) -> None:
        """Start from the settings with which the process was started."""
        self._settings = settings
        self._store = store
        self._adviser = adviser
        self._version: tuple[int, ...] = ()

    async def async_run(self) -> None:
        """Read the settings file whenever it has changed, and once at first.

        It may have changed since it was read at the start, when a signal had no effect yet.
        """
        while True:
            if read_settings_version() != self._version:
                self.reload()
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)

    def reload(self) -> None:
        """Read the settings file again; invalid settings change nothing."""
        self._version = read_settings_version()
        loaded = load_node_settings()
        if loaded.is_error():
            log_event("reload_refused", error=loaded.error)
            return
        old, self._settings = self._settings, loaded.ok
        changed = [
            field.name
            for field in fields(old)
            if getattr(old, field.name) != getattr(self._settings, field.name)
        ]
        self._store.set_address(self._settings.store_address)
        self._adviser.set_address(self._settings.adviser_address)
        log_event("reloaded", changed=",".join(changed) or "nothing")


async def async_run_entry(settings: EntrySettings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then shut down gracefully."""
    lag = LoopLag()
    lag.start()
    http, store_http = HttpClient(lag), HttpClient(lag, STORE_CONNECTIONS)
    store = StoreClient(store_http, settings.store_address)
    adviser = AdviserClient(http, settings.adviser_address)
    daemon = EntryDaemon(
        settings,
        store,
        ExecutorClient(http),
        adviser,
        PlatformCodec(),
        PeerCaller(lag),
        PeerListener,
        lag,
    )
    set_on_drop(lambda event: daemon.metrics.record_value("log_lines_dropped", 1, {"event": event}))
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.stop_requested.set)
    reloader = SettingsReloader(settings, store, adviser)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    reload_task = loop.create_task(async_keep_running("settings", reloader.async_run))
    server = CallerServer(CallerBackend(daemon))
    await daemon.async_start()
    await server.async_start(
        settings.caller_address, settings.ready_address, settings.metrics_address
    )
    await daemon.stop_requested.wait()
    await _async_shut_down(daemon, server, settings.grace_s)
    reload_task.cancel()
    await http.async_close()
    await store_http.async_close()
    lag.stop()


async def _async_shut_down(daemon: EntryDaemon, server: CallerServer, grace_s: float) -> None:
    """Hand ownership over, answer all callers, and stop within a grace period.

    An unexpected error of one step does not prevent the next ones.
    """
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    answer_by = began_at + max(0.0, grace_s - EXIT_MARGIN_S)
    await async_log_failure(daemon.async_relinquish())
    # Serve until the load balancer has taken this instance out of rotation.
    out_of_rotation_at = min(began_at + ROTATION_DELAY_S, answer_by)
    await asyncio.sleep(max(0.0, out_of_rotation_at - loop.time()))
    await async_log_failure(server.async_stop(answer_by))
    log_event("callers_left", after_s=round(loop.time() - began_at, 3))
    await async_log_failure(daemon.async_stop())


def parse_switched_off(arguments: list[str]) -> list[str]:
    """Return the mechanisms named by `--without NAME`; raise ValueError for other arguments."""
    options = arguments[::2]
    if len(arguments) % 2 or any(option != OPTION_WITHOUT for option in options):
        raise ValueError(f"expected pairs of {OPTION_WITHOUT} NAME, got {' '.join(arguments)!r}")
    return arguments[1::2]


def run() -> None:
    """Run a daemon with the settings file of this process; exits with 2 if it is invalid."""
    set_up_logs()
    try:
        switched_off = parse_switched_off(sys.argv[1:])
        set_switched_off(switched_off)
    except ValueError as err:
        log_event("arguments_refused", error=err)
        sys.exit(EXIT_SETTINGS)
    for name in switched_off:
        log_event("mechanism_switched_off", mechanism=name)
    loaded = load_node_settings()
    if loaded.is_error():
        log_event("settings_refused", error=loaded.error)
        sys.exit(EXIT_SETTINGS)
    uvloop.run(async_run_entry(loaded.ok))
