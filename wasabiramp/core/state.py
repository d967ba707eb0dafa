"""The state of one daemon, composed of the states of its subjects."""

from __future__ import annotations

from wasabiramp.dispatch.state import DispatchState
from wasabiramp.jobs.state import JobsState
from wasabiramp.membership.state import Member, MembershipState
from wasabiramp.resource.state import IntentState
from wasabiramp.settings.schema import Settings


class State:
    """All that one daemon knows; nothing in it survives the process."""

    __slots__ = ("me", "membership", "intent", "dispatch", "jobs")

    def __init__(self, settings: Settings, incarnation: str) -> None:
        """Start with no members, no resources and no work."""
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
