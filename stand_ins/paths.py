"""Paths between daemons and executors, which can be cut for all daemons or for some."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
import contextlib
import os
from pathlib import Path
from typing import Final
from weakref import WeakKeyDictionary

from aiohttp import web

OPEN: Final = "open"
SILENT: Final = "silent"
REFUSED: Final = "refused"
ONE_WAY: Final = "one-way"
HELD: Final = "held"


class Cut:
    """A cut of executors from some daemons, or from all if `daemons` is None.

    SILENT loses all calls, ONE_WAY loses the answers, and REFUSED resets the connections. HELD
    delivers calls and answers once the cut is over, unless their connection was reset meanwhile.
    """

    __slots__ = ("daemons", "executors", "mode")

    def __init__(self, executors: Iterable[str], daemons: Iterable[str] | None, mode: str) -> None:
        """Describe a cut."""
        self.executors = frozenset(executors)
        self.daemons = None if daemons is None else frozenset(daemons)
        self.mode = mode


class ExecutorPaths:
    """The cuts that are in force."""

    def __init__(self) -> None:
        """Start without cuts."""
        self._cuts: list[Cut] = []

    def add(self, cut: Cut) -> None:
        """Put a cut into force."""
        self._cuts.append(cut)

    def remove(self, cut: Cut) -> None:
        """Heal a cut."""
        self._cuts.remove(cut)

    def is_refused(self, executor: str) -> bool:
        """Return whether an executor refuses the connections of all daemons."""
        return any(
            cut.mode == REFUSED and cut.daemons is None and executor in cut.executors
            for cut in self._cuts
        )

    def is_held(self, executor: str) -> bool:
        """Return whether the calls of all daemons to an executor are held."""
        return any(
            cut.mode == HELD and cut.daemons is None and executor in cut.executors
            for cut in self._cuts
        )

    def get_mode(self, executor: str, find_daemon: Callable[[], str]) -> str:
        """Return the mode of a path; `find_daemon` is called only where the daemon matters.

        The path of an unknown daemon, whose process has ended, is cut with that of any other.
        """
        for cut in self._cuts:
            if executor not in cut.executors:
                continue
            if cut.daemons is None or find_daemon() in cut.daemons | {""}:
                return cut.mode
        return OPEN


class SenderFinder:
    """Finds which daemon's process holds the other end of a connection on this machine."""

    def __init__(self) -> None:
        """Start without processes; `processes` holds the process ids by daemon."""
        self.processes: dict[str, int] = {}
        self._names: WeakKeyDictionary[object, str] = WeakKeyDictionary()

    def find(self, request: web.BaseRequest) -> str:
        """Return the name of the daemon that sent a request, or an empty string."""
        transport = request.transport
        if transport is None:
            return ""
        if transport not in self._names:
            port = int(transport.get_extra_info("peername")[1])
            self._names[transport] = self._find_by_port(port)
        return self._names[transport]

    def _find_by_port(self, port: int) -> str:
        """Return the daemon whose process has a socket with a local port."""
        inode = _find_inode(port)
        for name, process in self.processes.items() if inode else ():
            if f"socket:[{inode}]" in _list_open_files(process):
                return name
        return ""


def _find_inode(port: int) -> str:
    """Return the inode of the connected socket with a local port, or an empty string."""
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port and fields[9] != "0":
            return fields[9]
    return ""


def _list_open_files(process: int) -> Collection[str]:
    """Return what the file descriptors of a process refer to; nothing if it has ended."""
    targets = []
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{process}/fd"):
            with contextlib.suppress(OSError):
                targets.append(os.readlink(entry.path))
    return targets
