"""Tests of the ports that a cell in one process gives to its daemons."""

from __future__ import annotations

from pathlib import Path
import socket

import pytest

from wasabiramp.cli import cell
from wasabiramp.cli.cell import HOST, PORTS_PER_PROCESS, pick_port


class TestPickPort:
    """A port that was picked is still free when a daemon binds it.

    Guards against a port that the system gives to an outgoing connection, or to another process
    that binds port 0, before the daemon binds it.
    """

    def test_ports_are_not_given_to_outgoing_connections(self) -> None:
        limits = Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="utf-8")
        assert all(pick_port() < int(limits.split()[0]) for _ in range(20))

    def test_ports_differ(self) -> None:
        assert len({pick_port() for _ in range(20)}) == 20

    def test_port_in_use_is_left_out(self) -> None:
        with socket.socket() as taken:
            taken.bind((HOST, pick_port()))
            used = taken.getsockname()[1]
            assert used not in {pick_port() for _ in range(PORTS_PER_PROCESS)}

    def test_no_free_port(self, monkeypatch: pytest.MonkeyPatch) -> None:
        with socket.socket() as taken:
            taken.bind((HOST, 0))
            used = taken.getsockname()[1]
            monkeypatch.setattr(cell, "_PORTS", iter([used] * PORTS_PER_PROCESS))
            with pytest.raises(OSError, match="no free port"):
                pick_port()
