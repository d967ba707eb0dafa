"""Registries of handlers for events, peer messages and store answers, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

Handler = Callable[..., None]

EVENT_HANDLERS: Final[dict[type, list[Handler]]] = {}
MESSAGE_HANDLERS: Final[dict[type, Handler]] = {}
STORE_ANSWER_HANDLERS: Final[dict[str, Handler]] = {}


def handles(event_type: type) -> Callable[[Handler], Handler]:
    """Register a handler for an event; several handlers run in order of registration."""

    def register(handler: Handler) -> Handler:
        EVENT_HANDLERS.setdefault(event_type, []).append(handler)
        return handler

    return register


def receives(message_type: type) -> Callable[[Handler], Handler]:
    """Register the handler for a message from another daemon."""
    return _register_single(MESSAGE_HANDLERS, message_type)


def handles_store_answer(purpose: str) -> Callable[[Handler], Handler]:
    """Register the handler for the store's answers to operations with this purpose."""
    return _register_single(STORE_ANSWER_HANDLERS, purpose)


def _register_single(registry: dict[Any, Handler], key: Any) -> Callable[[Handler], Handler]:
    """Return a decorator that registers the only handler for the key.

    The decorator raises TypeError when the key has a handler already.
    """

    def register(handler: Handler) -> Handler:
        if key in registry:
            raise TypeError(f"{key} has a handler already")
        registry[key] = handler
        return handler

    return register
