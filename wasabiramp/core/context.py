"""The context that a handler works in: the state, the time and the effects it adds."""

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
    """Gives handlers the state and collects their effects.

    `now` is the loop's clock in seconds; it never goes back.
    """

    __slots__ = ("state", "settings", "now", "effects", "random", "local_messages")

    def __init__(self, state: State, settings: Settings, random: Random) -> None:
        """Start with no effects at time 0."""
        self.state = state
        self.settings = settings
        self.random = random
        self.now = 0.0
        self.effects: list[Any] = []
        self.local_messages: list[Any] = []

    def add(self, effect: Any) -> None:
        """Add an effect."""
        self.effects.append(effect)

    def send(self, member: str, message: Any) -> None:
        """Send a message to a member; one to ourselves is handled before the reducer returns."""
        if member == self.state.me.id:
            self.local_messages.append(message)
            return
        self.effects.append(SendPeer(member, message))

    def answer(self, request_id: str, answer: Any) -> None:
        """Answer a caller."""
        self.effects.append(AnswerCaller(request_id, answer))

    def read(self, purpose: str, key: str, tag: str = "", is_prefix: bool = False) -> None:
        """Read from the store."""
        self.effects.append(StoreRead(purpose, tag, key, is_prefix))

    def compare_and_swap(
        self, purpose: str, key: str, value: Any, expect: int, tag: str = ""
    ) -> None:
        """Compare-and-swap in the store."""
        self.effects.append(StoreSwap(purpose, tag, key, value, expect))

    def log(self, event: str, **fields: Any) -> None:
        """Write an event to the log."""
        self.effects.append(LogEvent(event, fields))

    def count(self, name: str, value: float = 1.0, **labels: str) -> None:
        """Add to a metric."""
        self.effects.append(CountMetric(name, value, labels))
