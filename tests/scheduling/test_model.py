"""Tests of the data model: the names of tasks, which executors report."""

from __future__ import annotations

import pytest

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, make_step
from wasabiramp.scheduling.model import EndReport, RunReport, parse_task

ODD_NAMES = [
    "",
    "a",
    "a.0.0",
    "a.0.0.0.0",
    ".0.0.0",
    "a.0.0.",
    "a.0.0.-1",
    "a.0.0.+1",
    "a.0.0.1.5",
    "a.0.0.1_0",
    "a.0.0. 1",
    "a.0.0.1\n",
    "a.0.0.00",
    "a.0.0.²",
    "a.²" + ".0.0",
    "a.0.0.٣",
    "a.0.0." + "1" * 5_000,
    "." * 5_000,
]


class TestParseTask:
    """The name of a task has one form only."""

    @pytest.mark.parametrize(
        ("name", "parsed"),
        [
            ("a" * 16 + ".0.1.17", ("a" * 16, 0, 1, 17)),
            ("b.12.0.0", ("b", 12, 0, 0)),
        ],
    )
    def test_name(self, name: str, parsed: tuple[str, int, int, int]) -> None:
        assert parse_task(name) == parsed

    # Guards against a ValueError for digits that `int` refuses, and against other names of a task.
    @pytest.mark.parametrize("name", ODD_NAMES, ids=lambda name: ascii(name)[:20])
    def test_odd_name_is_unknown(self, name: str) -> None:
        assert parse_task(name) is None

    # Guards against an executor that gets no more holds, so that its leases lapse, as the handling
    # of its report ended at one name.
    @pytest.mark.parametrize("name", ODD_NAMES, ids=lambda name: ascii(name)[:20])
    def test_report_with_an_odd_name_is_handled(self, name: str) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.running["e0"].insert(0, RunReport(name, 7, "", 1.0, 0.0))
        harness.ended["e0"] = [EndReport(1, name, 6, "done", "")]
        harness.answer_hold("e0")
        harness.take_effects(HoldExecutor)
        harness.commit()
        harness.tick(0.1)
        assert len(harness.take_effects(HoldExecutor)) == 1
        harness.finish_run(start)
        assert job.is_ended
