"""Authority of an owner: when its term was last proven to be current."""

from __future__ import annotations

from collections.abc import Callable

from wasabiramp.scheduling.leases import MAX_UNCONFIRMED_S


class Authority:
    """How recently the store has proven an owner's term, and for how long it may act on that.

    A proof is a call that succeeds only while the term is current: its claim, a commit, or a read
    of the term. It counts from the time at which the call was sent. Times also count while the
    machine is suspended.
    """

    __slots__ = ("_proven_at", "_read_uptime")

    def __init__(self, read_uptime: Callable[[], float], proven_at: float) -> None:
        """Begin with the claim, which was sent at `proven_at` on the clock `read_uptime`."""
        self._read_uptime = read_uptime
        self._proven_at = proven_at

    def read_now(self) -> float:
        """Return the time at which a call is sent."""
        return self._read_uptime()

    def confirm(self, sent_at: float) -> None:
        """Record that a call sent at a time has proven the term."""
        self._proven_at = max(self._proven_at, sent_at)

    def get_age_s(self) -> float:
        """Return the time since the last proof."""
        return self._read_uptime() - self._proven_at

    def get_left_s(self) -> float:
        """Return the time until all leases have to end, negative if it has passed."""
        return MAX_UNCONFIRMED_S - self.get_age_s()
