"""What an executor may be given while it lists ends that do not count as attempts."""

from __future__ import annotations

import pytest

from tests.scheduling.helpers import SchedulerHarness, make_step
from wasabiramp.scheduling.events import UNKNOWN, HoldFailed

JOB = "a" * 16
LAPSE_S = 8.0
"""Time after which the lease of an executor has certainly lapsed."""


class TestUncountedEnds:
    """An executor starts nothing between a lapse and the acknowledgement of the ends before it.

    The next owner takes a run beside a listed end for proof that the lease has not lapsed.
    """

    # The next owner counted a run that failed before the lapse, beside a run started after it.
    @pytest.mark.parametrize("is_read_before", [True, False])
    def test_no_start_before_the_acknowledgement(self, is_read_before: bool) -> None:
        harness = SchedulerHarness(1)
        harness.submit(JOB, "urgent", make_step())
        [start] = harness.place_and_start()
        harness.end_run(start, "failed")
        if is_read_before:
            harness.answer_hold("e0")
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.tick(LAPSE_S)
        harness.tick()
        harness.answer_hold("e0")
        harness.tick(LAPSE_S)
        harness.answer_hold("e0")
        assert harness.find_decisions("attempt_not_counted")
        assert harness.place() == []
        harness.acknowledge_ends("e0")
        harness.acknowledge_ends("e0")
        assert [s.task for s in harness.place()] == [start.task]

    # The executor got no work for good, as no further hold was due.
    def test_start_after_a_lapse_that_the_acknowledging_hold_met(self) -> None:
        harness = SchedulerHarness(1)
        harness.submit(JOB, "urgent", make_step())
        [start] = harness.place_and_start()
        harness.end_run(start, "failed")
        harness.answer_hold("e0")
        harness.commit()
        harness.tick(0.05)
        hold = harness.holds["e0"]
        assert hold.last_seen == 1
        sent_at = harness.now
        harness.ended["e0"].clear()
        harness.now += LAPSE_S
        harness.answer_hold("e0", sent_at)
        assert harness.find_decisions("attempt_not_counted")
        harness.commit()
        harness.tick(0.05)
        assert [s.task for s in harness.place()] == [start.task]
