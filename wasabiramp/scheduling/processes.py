"""Calls to an executor, and the process that serves them.

An executor may start again under its id and at its address. Calls that are under way meanwhile are
served by its next process, and so are those that follow until the new process is known: nothing in
a call names a process. Its fields mean something else there: the number of an acknowledged end
names one that nobody has read, and the end of a lease on the clock of the process before gives the
longest lease. So these rules hold, whichever process serves a call, and however late:

- Each process has a fence epoch of its own. Once it has answered a call of its epoch, it refuses
  those that were meant for earlier processes, and a start that it does not list has no effect.
- A start is unsettled until it is known which process it has reached, if any. It is settled by an
  answer whose clock can only be that of the known process, by an answer of that process to a hold
  that was sent after the start had an outcome, or by the rule above.
- No end is acknowledged while a start is unsettled, as its run may have ended at a next process.
- A start that follows an acknowledgement without an answer has a higher epoch than that, which a
  next process that has served the start therefore refuses.
- A run whose start is unsettled may have the longest lease, by the clock of a next process.

An executor that has left a start without an answer gets no further ones until it answers a hold.
"""

from __future__ import annotations

import math
from typing import Final

FENCE_EPOCHS: Final = 1 << 20
"""Number of fence epochs of an executor in a term, after which its owner gives up the term.

One is used for each process, and at most one for each acknowledgement: one a second lasts for
twelve days. A fence number has 63 bits, so that tokens may reach 2^43."""

RunKey = tuple[str, int]


def build_fence(fencing_token: int, epoch: int) -> int:
    """Return the fence number of a call: calls of a later term, then of a later epoch, are higher.

    Example: `build_fence(7, 2) > build_fence(7, 1) > build_fence(6, 9)`.
    """
    return fencing_token * FENCE_EPOCHS + min(epoch, FENCE_EPOCHS - 1)


class UnsettledStart:
    """A start of which it is not known which process of its executor it has reached, if any.

    `open_copies` is the number of its orders without an outcome, `epoch` that of the last order,
    and `doubted_at` the time at which an order was last left unanswered, or answered by a process
    that may be the next one.
    """

    __slots__ = ("doubted_at", "epoch", "open_copies")

    def __init__(self) -> None:
        """Create a start without an order."""
        self.open_copies = 0
        self.epoch = 0
        self.doubted_at = -math.inf


class ProcessCalls:
    """The calls to an executor that may reach another process than the known one.

    `epoch` is the fence epoch of the next call, and `process_epoch` the first one of calls that are
    meant for the known process. Ends up to `acknowledged_end` were acknowledged by an answered
    hold. The last acknowledgement without an answer had the epoch `acknowledging_epoch`. With
    `is_acknowledgement_due`, ends are to be acknowledged once the starts under way are answered.
    """

    __slots__ = (
        "acknowledged_end",
        "acknowledging_epoch",
        "epoch",
        "is_acknowledgement_due",
        "process_epoch",
        "unsettled_starts",
    )

    def __init__(self, first_epoch: int) -> None:
        """Begin with the first process that is known."""
        self.epoch = first_epoch
        self.unsettled_starts: dict[RunKey, UnsettledStart] = {}
        self._reset()

    def _reset(self) -> None:
        """Forget what concerns the ends of the process before."""
        self.process_epoch = self.epoch
        self.acknowledged_end = 0
        self.acknowledging_epoch: int | None = None
        self.is_acknowledgement_due = False

    def begin_process(self) -> None:
        """Give a process that is known from now on an epoch of its own."""
        self.epoch += 1
        self._reset()

    def is_earlier_epoch(self, epoch: int | None) -> bool:
        """Return whether calls of a later epoch were sent than one of this epoch, None for now."""
        return epoch is not None and epoch < self.epoch

    @property
    def are_settled(self) -> bool:
        """Return whether no run can be at a process that is not known."""
        return not self.unsettled_starts

    @property
    def is_in_doubt(self) -> bool:
        """Return whether an answer to a hold has to tell which process a start has reached."""
        return self.get_doubted_at() > -math.inf

    @property
    def has_open_starts(self) -> bool:
        """Return whether an order to start a run has no outcome."""
        return any(start.open_copies > 0 for start in self.unsettled_starts.values())

    def get_doubted_at(self) -> float:
        """Return the latest time since which a start is in doubt, or minus infinity."""
        doubts = (start.doubted_at for start in self.unsettled_starts.values())
        return max(doubts, default=-math.inf)

    def note_start(self, key: RunKey) -> None:
        """Note that an order to start a run is sent, with an epoch above open acknowledgements."""
        if self.acknowledging_epoch == self.epoch:
            self.epoch += 1
        start = self.unsettled_starts.setdefault(key, UnsettledStart())
        start.open_copies += 1
        start.epoch = self.epoch

    def note_start_outcome(self, key: RunKey, now: float, is_certain: bool) -> None:
        """Note the outcome of an order; it is certain if the known process answered, or no one."""
        start = self.unsettled_starts.get(key)
        if start is None:
            return
        start.open_copies -= 1
        if not is_certain:
            start.doubted_at = now
        if start.open_copies <= 0 and start.doubted_at == -math.inf:
            del self.unsettled_starts[key]

    def note_acknowledgement(self) -> None:
        """Note that a hold is sent that acknowledges ends."""
        self.acknowledging_epoch = self.epoch
        self.is_acknowledgement_due = False

    def note_acknowledgement_failed(self) -> None:
        """Note that a hold was left unanswered, which may still acknowledge ends."""
        if self.acknowledging_epoch == self.epoch:
            self.epoch += 1

    def note_hold_answered(self, sent_at: float, epoch: int | None, last_seen: int) -> None:
        """Settle starts, and note what was acknowledged, by an answer of the known process."""
        if not self.is_for_process(epoch):
            return
        if last_seen:
            self.acknowledged_end = max(self.acknowledged_end, last_seen)
            if epoch is None or epoch == self.acknowledging_epoch:
                self.acknowledging_epoch = None
        for key, start in list(self.unsettled_starts.items()):
            is_refused = start.epoch < self.process_epoch
            if is_refused or (start.open_copies <= 0 and sent_at > start.doubted_at):
                del self.unsettled_starts[key]

    def is_for_process(self, epoch: int | None) -> bool:
        """Return whether a call of this epoch, None for now, was meant for the known process."""
        return epoch is None or epoch >= self.process_epoch
