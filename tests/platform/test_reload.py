"""Tests of settings that change while a daemon starts or runs."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import signal
import time

import pytest

from soak.cell import Cell, DaemonProcess
from tests.platform.test_node import VALID_SETTINGS
from wasabiramp.model.entry.clock import VirtualLoop
from wasabiramp.platform.entry import SETTINGS_POLL_INTERVAL_S, SettingsReloader
from wasabiramp.platform.node import ENV_NODE_FILE, load_node_settings

OLD_STORE = "10.0.0.7:8169"
NEW_STORE = "10.0.0.8:8169"
IMPORT_LIMIT_S = 20.0


class AddressRecorder:
    """A client that records the addresses that it is given."""

    def __init__(self) -> None:
        """Start without an address."""
        self.addresses: list[str] = []

    def set_address(self, address: str) -> None:
        """Record a changed address."""
        if self.addresses[-1:] != [address]:
            self.addresses.append(address)


class TestFile:
    """The settings file may change without a signal."""

    def follow(self, monkeypatch: pytest.MonkeyPatch, path: Path, texts: list[str]) -> list[str]:
        """Write texts to the settings file one after the other; return the store's addresses."""
        path.write_text(VALID_SETTINGS, encoding="utf-8")
        monkeypatch.setenv(ENV_NODE_FILE, str(path))
        store = AddressRecorder()
        loop = VirtualLoop()

        async def run_scenario() -> None:
            loaded = load_node_settings()
            reloader = SettingsReloader(loaded.ok, store, AddressRecorder())  # type: ignore[arg-type]
            task = loop.create_task(reloader.async_run())
            await asyncio.sleep(2 * SETTINGS_POLL_INTERVAL_S)
            for number, text in enumerate(texts):
                path.write_text(text, encoding="utf-8")
                os.utime(path, (number, number))
                await asyncio.sleep(2 * SETTINGS_POLL_INTERVAL_S)
            task.cancel()

        try:
            loop.run_until_complete(run_scenario())
        finally:
            loop.close()
        return store.addresses

    def test_change_without_a_signal(self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
        """Guards against LOST: daemons would call the store at its earlier address for good."""
        changed = VALID_SETTINGS.replace(OLD_STORE, NEW_STORE)
        addresses = self.follow(monkeypatch, tmp_path / "node.toml", [changed])
        assert addresses == [OLD_STORE, NEW_STORE]

    def test_file_that_is_read_while_it_is_written(
        self, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
    ) -> None:
        """Guards against settings that are never read again once they could not be read."""
        changed = VALID_SETTINGS.replace(OLD_STORE, NEW_STORE)
        addresses = self.follow(monkeypatch, tmp_path / "node.toml", [changed[:90], changed])
        assert addresses == [OLD_STORE, NEW_STORE]


def has_begun_imports(daemon: DaemonProcess) -> bool:
    """Return whether a process has loaded a library of its own packages."""
    assert daemon.process is not None
    maps = Path(f"/proc/{daemon.process.pid}/maps").read_text(encoding="utf-8")
    return "site-packages" in maps


class TestStart:
    """SIGHUP may come while a process starts."""

    def test_signal_during_the_imports_does_not_end_the_process(self) -> None:
        """Guards against processes that end by themselves: without a handler, SIGHUP ends them."""

        async def run_scenario() -> int | None:
            cell = Cell(1, daemons=1, executors=1)
            await cell.async_start()
            try:
                daemon = cell.daemons[0]
                deadline = time.monotonic() + IMPORT_LIMIT_S
                while not has_begun_imports(daemon) and time.monotonic() < deadline:
                    time.sleep(0.001)
                daemon.signal_process(signal.SIGHUP)
                await asyncio.sleep(1.0)
                assert daemon.process is not None
                return daemon.process.poll()
            finally:
                await cell.async_stop()

        assert asyncio.run(run_scenario()) is None
