"""Tests of switches: the plain alternative runs while a mechanism is off."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

import wasabiramp.entry.daemon  # noqa: F401 - registers the mechanisms
from wasabiramp.platform.entry import parse_switched_off
from wasabiramp.policy.switches import (
    SWITCHES,
    UnknownSwitchError,
    set_switched_off,
    switchable,
)


@pytest.fixture(autouse=True)
def restore_switches() -> Iterator[None]:
    """Switch all mechanisms on after each test, and forget those of the test."""
    known = dict(SWITCHES)
    yield
    set_switched_off([])
    for name in SWITCHES.keys() - known.keys():
        del SWITCHES[name]


class TestSwitch:
    """A mechanism is called while it is on, its plain alternative while it is off."""

    def test_plain_alternative(self) -> None:
        @switchable("sum", "add numbers", plain=lambda one, other: one)
        def add(one: int, other: int) -> int:
            """Return the sum."""
            return one + other

        assert add(1, 2) == 3
        set_switched_off(["sum"])
        assert add(1, 2) == 1
        set_switched_off([])
        assert add(1, 2) == 3

    def test_unknown_name_is_refused_with_the_nearest(self) -> None:
        with pytest.raises(UnknownSwitchError, match="'reservation'.*reservations"):
            set_switched_off(["moves", "reservation"])
        assert SWITCHES["moves"].is_on

    def test_each_mechanism_has_a_description(self) -> None:
        assert len(SWITCHES) >= 20
        assert all(switch.description for switch in SWITCHES.values())


class TestArguments:
    """The daemon's command line takes pairs of an option and a name."""

    def test_names(self) -> None:
        assert parse_switched_off([]) == []
        assert parse_switched_off(["--without", "a", "--without", "b"]) == ["a", "b"]

    @pytest.mark.parametrize("arguments", [["--without"], ["a"], ["--with", "a"]])
    def test_other_arguments_are_refused(self, arguments: list[str]) -> None:
        with pytest.raises(ValueError, match="expected pairs of --without NAME"):
            parse_switched_off(arguments)
