"""The reducer: applies an event at a given time and returns effects as data."""

from __future__ import annotations

from random import Random
from typing import Any

from wasabiramp.core.context import Context
from wasabiramp.core.events import PeerReceived, StoreAnswer
from wasabiramp.core.handler_modules import import_handler_modules
from wasabiramp.core.registry import EVENT_HANDLERS, MESSAGE_HANDLERS, STORE_ANSWER_HANDLERS
from wasabiramp.core.state import State
from wasabiramp.settings.schema import Settings


class Reducer:
    """Applies events to the state of one daemon.

    It performs no input or output and reads no clock, so the same events at the same times always
    produce the same effects.

    Example: `effects = Reducer(settings, "3f2a").apply(Tick(), now=1.5)`.
    """

    __slots__ = ("state", "context")

    def __init__(self, settings: Settings, incarnation: str) -> None:
        """Initialise the state of a newly started daemon."""
        import_handler_modules()
        self.state = State(settings, incarnation)
        self.context = Context(self.state, settings, Random(self.state.me.id))

    def apply(self, event: Any, now: float) -> list[Any]:
        """Apply one event at the loop time `now`, in seconds, and return the effects."""
        context = self.context
        context.now = max(now, context.now)
        context.effects = []
        self._dispatch_event(context, event)
        while context.local_messages:
            message = context.local_messages.pop(0)
            MESSAGE_HANDLERS[type(message)](context, self.state.me.id, message)
        return context.effects

    def _dispatch_event(self, context: Context, event: Any) -> None:
        """Call the handlers registered for the event."""
        if isinstance(event, PeerReceived):
            MESSAGE_HANDLERS[type(event.message)](context, event.sender, event.message)
            return
        if isinstance(event, StoreAnswer):
            STORE_ANSWER_HANDLERS[event.purpose](context, event)
            return
        for handler in EVENT_HANDLERS.get(type(event), ()):
            handler(context, event)
