"""Switches of scheduling mechanisms, each beside a plain alternative that runs while it is off.

Switching off is for experiments and incidents. What keeps work from being lost or run twice, such
as fencing and the conditions of commits, has no switch.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from typing import Any, Final, TypeVar

Mechanism = TypeVar("Mechanism", bound=Callable[..., Any])


class UnknownSwitchError(ValueError):
    """A name that no switch has; the message gives the nearest ones."""


class Switch:
    """The switch of one mechanism."""

    __slots__ = ("description", "is_on", "name")

    def __init__(self, name: str, description: str) -> None:
        """Create a switch that is on."""
        self.name = name
        self.description = description
        self.is_on = True


SWITCHES: Final[dict[str, Switch]] = {}
"""All switches by name."""


def switchable(
    name: str, description: str, plain: Callable[..., Any]
) -> Callable[[Mechanism], Mechanism]:
    """Register a mechanism; `plain` is called with the same arguments while it is off.

    Example: `@switchable("moves", "move runs to faster executors", plain=lambda *args: None)`.
    """
    switch = SWITCHES[name] = Switch(name, description)

    def register(mechanism: Mechanism) -> Mechanism:
        @wraps(mechanism)
        def choose(*args: Any, **options: Any) -> Any:
            return (mechanism if switch.is_on else plain)(*args, **options)

        return choose  # type: ignore[return-value]

    return register


def do_nothing(*_args: Any) -> None:
    """Do nothing, as the plain alternative of a mechanism that only acts."""


async def do_nothing_async(*_args: Any) -> None:
    """Do nothing, as the plain alternative of a coroutine that only acts."""


def set_switched_off(names: list[str]) -> None:
    """Switch off the named mechanisms and all others on; raise UnknownSwitchError."""
    for name in names:
        if name not in SWITCHES:
            # Imported here, as a daemon that starts without a name needs no comparison.
            from difflib import get_close_matches

            near = get_close_matches(name, SWITCHES, n=3, cutoff=0.3) or sorted(SWITCHES)
            raise UnknownSwitchError(f"unknown mechanism {name!r}, nearest: {', '.join(near)}")
    for switch in SWITCHES.values():
        switch.is_on = switch.name not in names
