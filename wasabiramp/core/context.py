"""Context passed to each handler: the state, the current time and the effects to perform."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from wasabiramp.core.effects import (
    AnswerCaller,
    CountMetric,
    LogEvent,
    SendPeer,
    StoreRead,
    StoreSwap,
)

if TYPE_CHECKING:
    from wasabiramp.core.state import State
    from wasabiramp.settings.schema import Settings


class Context:
    """Gives handlers access to the state and collects their effects.

    `now` is the event loop's monotonic time in seconds; it never goes back.
    `local_messages` holds messages that this daemon sent to itself.
    """

    __slots__ = ("state", "settings", "now", "effects", "random", "local_messages")

    def __init__(self, state: State, settings: Settings, random: Random) -> None:
        """Initialise a context without effects at time 0."""
        self.state = state
        self.settings = settings
        self.random = random
        self.now = 0.0
        self.effects: list[Any] = []
        self.local_messages: list[Any] = []

    def add(self, effect: Any) -> None:
        """Add an effect for the daemon to perform."""
        self.effects.append(effect)

    def send(self, member: str, message: Any) -> None:
        """Send a message to a member.

        A message to this daemon itself is handled before the reducer returns.
        """
        if member == self.state.me.id:
            self.local_messages.append(message)
            return
        self.effects.append(SendPeer(member, message))

    def answer(self, request_id: str, answer: Any) -> None:
        """Answer a request of a caller or an operator."""
        self.effects.append(AnswerCaller(request_id, answer))

    def read(self, purpose: str, key: str, tag: str = "", is_prefix: bool = False) -> None:
        """Read a key, or all keys under a prefix, from the store.

        The answer goes with its `tag` to the handler registered for `purpose`.
        """
        self.effects.append(StoreRead(purpose, tag, key, is_prefix))

    def compare_and_swap(
        self, purpose: str, key: str, value: Any, expect: int, tag: str = ""
    ) -> None:
        """Write a key in the store if it is still at the revision `expect`.

        The answer goes with its `tag` to the handler registered for `purpose`.
        """
        self.effects.append(StoreSwap(purpose, tag, key, value, expect))

    def log(self, event: str, **fields: Any) -> None:
        """Write a line to the log."""
        self.effects.append(LogEvent(event, fields))

    def count(self, name: str, value: float = 1.0, **labels: str) -> None:
        """Add a value to a counter or an observation to a histogram."""
        self.effects.append(CountMetric(name, value, labels))
