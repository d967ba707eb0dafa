"""The state of one daemon, composed of the states of its parts."""

from __future__ import annotations

from wasabiramp.dispatch.state import DispatchState
from wasabiramp.jobs.state import JobsState
from wasabiramp.membership.state import Member, MembershipState
from wasabiramp.resource.state import IntentState
from wasabiramp.settings.schema import Settings


class State:
    """In-memory state of a daemon; none of it is kept across a restart.

    `me` is this daemon's own member entry, and `intent` the resources that operators declared.
    """

    __slots__ = ("me", "membership", "intent", "dispatch", "jobs")

    def __init__(self, settings: Settings, incarnation: str) -> None:
        """Initialise a state without members, resources or work."""
        self.me = Member(
            id=f"{settings.instance}#{incarnation}",
            name=settings.instance,
            zone=settings.zone,
            peer=settings.peer_address,
        )
        self.membership = MembershipState()
        self.intent = IntentState()
        self.dispatch = DispatchState()
        self.jobs = JobsState()
