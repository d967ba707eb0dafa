"""What a daemon knows of the members, the epochs and its own right to act."""

from __future__ import annotations

from dataclasses import field

from wasabiramp.core.records import record


@record
class Member:
    """One incarnation of a daemon: `id` is `<instance>#<incarnation>`.

    `peer` is the IP number and port of its peer stream.
    """

    id: str
    name: str
    zone: str
    peer: str


@record
class PastEpoch:
    """An earlier epoch whose members may not all have stopped acting on it."""

    epoch: int
    members: list[Member]


@record
class MemberList:
    """The value in the store that names the members; `epoch` only grows."""

    epoch: int = 0
    members: list[Member] = field(default_factory=list)
    history: list[PastEpoch] = field(default_factory=list)


@record
class PeerView:
    """What this daemon last heard from another member.

    `acked_sent_at` is when we sent the newest heartbeat that the member granted in the current
    epoch; all times are our own loop's seconds.
    """

    heard_at: float
    epoch: int = 0
    acked_sent_at: float = -1.0
    suspects: tuple[str, ...] = ()
    is_leaving: bool = False
    clean_epoch: int = 0
    load: dict[str, tuple[int, int]] = field(default_factory=dict)
    free: tuple[float, float, int] = (0.0, 0.0, 0)


class MembershipState:
    """Members, epochs, rights and fences as this daemon sees them."""

    __slots__ = (
        "current",
        "revision",
        "epoch_adopted_at",
        "views",
        "confirmed_at",
        "fenced_at",
        "first_seen_at",
        "instance_states",
        "instance_states_asked_at",
        "is_swap_pending",
        "read_due_at",
        "heartbeat_due_at",
        "list_due_at",
        "join_due_at",
        "propose_due_at",
        "is_leaving",
        "has_left",
        "leave_deadline_at",
        "last_logged_right",
        "is_confirming",
        "leave_started_at",
        "idle_since",
    )

    def __init__(self) -> None:
        """Start outside any member list."""
        self.current = MemberList()
        self.revision = 0
        self.epoch_adopted_at = 0.0
        self.views: dict[str, PeerView] = {}
        self.confirmed_at = -1e9
        self.fenced_at: dict[int, float] = {}
        self.first_seen_at: dict[str, float] = {}
        self.instance_states: dict[str, str] = {}
        self.instance_states_asked_at = -1e9
        self.is_swap_pending = False
        self.read_due_at = 0.0
        self.heartbeat_due_at = 0.0
        self.list_due_at = 0.0
        self.join_due_at = 0.0
        self.propose_due_at = 0.0
        self.is_leaving = False
        self.has_left = False
        self.leave_deadline_at = 0.0
        self.last_logged_right = False
        self.is_confirming = False
        self.leave_started_at = 0.0
        self.idle_since = 0.0
