"""Tests of the paths between daemons and executors."""

from __future__ import annotations

from stand_ins.paths import HELD, ONE_WAY, OPEN, REFUSED, SILENT, Cut, ExecutorPaths


def get_mode(paths: ExecutorPaths, executor: str, daemon: str) -> str:
    """Return the mode of the path from a daemon to an executor."""
    return paths.get_mode(executor, lambda: daemon)


class TestCuts:
    """Cuts hold for the daemons and executors that they name, until they heal."""

    def test_cut_from_one_daemon_leaves_the_others(self) -> None:
        paths = ExecutorPaths()
        paths.add(Cut(["i-0"], ["entry-1"], SILENT))
        assert get_mode(paths, "i-0", "entry-1") == SILENT
        assert get_mode(paths, "i-0", "entry-2") == OPEN
        assert get_mode(paths, "i-1", "entry-1") == OPEN

    def test_unknown_daemon_is_cut_with_any_other(self) -> None:
        # Guards against calls of a killed daemon that get through a cut, as nobody holds their end.
        paths = ExecutorPaths()
        paths.add(Cut(["i-0"], ["entry-1"], SILENT))
        assert get_mode(paths, "i-0", "") == SILENT

    def test_overlapping_cuts_heal_one_by_one(self) -> None:
        paths = ExecutorPaths()
        first, second = Cut(["i-0"], None, ONE_WAY), Cut(["i-0", "i-1"], None, SILENT)
        paths.add(first)
        paths.add(second)
        paths.remove(first)
        assert get_mode(paths, "i-0", "entry-1") == SILENT
        paths.remove(second)
        assert get_mode(paths, "i-0", "entry-1") == OPEN

    def test_port_is_closed_only_if_all_daemons_are_refused(self) -> None:
        paths = ExecutorPaths()
        paths.add(Cut(["i-0"], ["entry-1"], REFUSED))
        assert not paths.is_refused("i-0")
        paths.add(Cut(["i-0"], None, REFUSED))
        assert paths.is_refused("i-0")
        assert not paths.is_refused("i-1")

    def test_resets_are_held_only_if_the_calls_of_all_daemons_are(self) -> None:
        paths = ExecutorPaths()
        paths.add(Cut(["i-0"], ["entry-1"], HELD))
        paths.add(Cut(["i-0"], None, SILENT))
        assert not paths.is_held("i-0")
        paths.add(Cut(["i-0"], None, HELD))
        assert paths.is_held("i-0")
        assert not paths.is_held("i-1")
