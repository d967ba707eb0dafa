"""Tests of executors whose platform entry turns invalid, and is valid again later."""

from __future__ import annotations

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, StartTask, make_step
from wasabiramp.scheduling.events import (
    NOT_SENT,
    ExecutorEntryInvalid,
    ExecutorUnlisted,
    HoldFailed,
    JobsRecovered,
)
from wasabiramp.scheduling.executors import RELIST_GRACE_S
from wasabiramp.scheduling.model import DONE, RunReport


class TestExecutorWithInvalidEntry:
    """Nothing is concluded from an invalid entry, and its executor gets no new work."""

    # Guards against new work for an executor whose room and address are not known any more.
    def test_no_new_work_until_the_entry_is_valid(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.apply(ExecutorEntryInvalid("e0"))
        harness.submit("a" * 16, "batch", make_step(1))
        assert harness.place() == []
        harness.tick(60.0)
        assert harness.place() == []
        harness.list_executor("e0")
        assert len(harness.place()) == 1

    # Guards against a second run of a task whose executor is listed with an invalid entry.
    def test_runs_stay_tracked_and_their_ends_count(self) -> None:
        harness = SchedulerHarness(executors=2)
        job = harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.apply(ExecutorEntryInvalid(start.executor))
        for _ in range(20):
            harness.tick(1.0)
            harness.answer_hold(start.executor)
            assert harness.place() == []
        harness.finish_run(start)
        assert job.is_ended

    def test_lease_is_renewed(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.apply(ExecutorEntryInvalid(start.executor))
        harness.take_effects(HoldExecutor)
        harness.tick(0.5)
        harness.answer_hold(start.executor)
        harness.tick(0.5)
        holds = harness.take_effects(HoldExecutor)
        assert [hold.until_ms is not None for hold in holds] == [True] * len(holds)
        assert holds

    def test_removed_entry_is_handled_as_usual(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.apply(ExecutorEntryInvalid("e0"))
        harness.apply(ExecutorUnlisted("e0"))
        harness.apply(HoldFailed("e0", harness.now, NOT_SENT))
        harness.tick(RELIST_GRACE_S + 1.0)
        assert harness.scheduler.state.executors == {}

    def test_stale_entry_of_an_earlier_incarnation_is_valid_too(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.list_executor("e0", born_ms=5)
        harness.incarnations["e0"] = 5
        harness.meet_process("e0")
        harness.apply(ExecutorEntryInvalid("e0"))
        harness.list_executor("e0", born_ms=4)
        harness.submit("a" * 16, "batch", make_step(1))
        assert len(harness.place()) == 1

    # Guards against a roster, holds and suspects that include the keys of other writers.
    def test_key_that_was_never_valid_is_no_executor(self) -> None:
        harness = SchedulerHarness(executors=1)
        for number in range(300):
            harness.apply(ExecutorEntryInvalid(f"odd-{number}"))
        harness.tick(1.0)
        assert list(harness.scheduler.state.executors) == ["e0"]
        assert not harness.commit()
        assert harness.take_effects(HoldExecutor) == []

    # Guards against a second run: the owner took an executor with an invalid entry for one that has
    # drained and left.
    def test_executor_of_the_roster_has_not_left(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.apply(JobsRecovered([], [("e9", "e9")], 3.0, 50))
        harness.incarnations["e9"] = 1
        harness.submit("a" * 16, "batch", make_step(1))
        harness.apply(ExecutorEntryInvalid("e9"))
        harness.running["e9"] = [RunReport("a" * 16 + ".0.0.0", 100_001, "", 5.0, 0.0)]
        harness.answer_hold("e9")
        harness.apply(HoldFailed("e9", harness.now, NOT_SENT))
        assert list(harness.scheduler.state.executors["e9"].runs) != []
        assert harness.place() == []


class TestFalseStartTime:
    """The executor itself says which incarnation it is; an entry may be that of another writer."""

    # Guards against an executor that is lost to the owner, with its runs, as each of its reports
    # seemed to be that of an earlier incarnation.
    def test_report_corrects_the_start_time_of_an_entry(self) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.list_executor("e0", born_ms=9)
        harness.tick(0.1)
        harness.answer_hold("e0")
        harness.tick(0.1)
        harness.finish_run(start)
        assert job.is_ended
        harness.list_executor("e0", born_ms=1)
        harness.commit()
        harness.tick(0.1)
        harness.submit("b" * 16, "batch", make_step(1))
        assert len(harness.place()) == 1

    def test_report_of_an_earlier_hold_is_ignored(self) -> None:
        harness = SchedulerHarness(executors=1)
        hold_sent_at = harness.now
        harness.tick(0.1)
        harness.list_executor("e0", born_ms=9)
        harness.answer_hold("e0", sent_at=hold_sent_at)
        state = harness.scheduler.state.executors["e0"]
        assert (state.born_ms, state.has_accepted_fence) == (9, False)

    # Guards against holds that are sent to the address of another writer for good.
    def test_good_entry_replaces_one_that_the_executor_did_not_confirm(self) -> None:
        harness = SchedulerHarness(executors=1)
        (start,) = self.run_task(harness)
        harness.list_executor("e0", born_ms=9)
        harness.apply(HoldFailed("e0", harness.now, NOT_SENT))
        harness.list_executor("e0", born_ms=1)
        harness.tick(0.1)
        harness.answer_hold("e0")
        assert harness.place() == []
        harness.finish_run(start)
        harness.commit()
        assert len(self.run_task(harness, "b")) == 1

    def test_entry_of_an_earlier_incarnation_does_not_replace_a_confirmed_one(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.list_executor("e0", born_ms=9)
        harness.incarnations["e0"] = 9
        harness.tick(0.1)
        harness.answer_hold("e0")
        harness.list_executor("e0", born_ms=1)
        assert harness.scheduler.state.executors["e0"].born_ms == 9

    # Guards against a job that fails for crashes that were none.
    def test_crashes_are_withdrawn_when_the_executor_answers(self) -> None:
        harness = SchedulerHarness(executors=2)
        job = harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        for born_ms in range(9, 14):
            harness.tick(0.1)
            harness.list_executor(start.executor, born_ms=born_ms)
            harness.tick(0.1)
            harness.answer_hold(start.executor)
            assert job.steps[(0, 0)].progress.crashes == {}
            assert harness.scheduler.state.suspect_steps == {}
            harness.list_executor(start.executor, born_ms=1)
        harness.finish_run(start)
        assert job.progress.phase == DONE

    def run_task(self, harness: SchedulerHarness, letter: str = "a") -> list[StartTask]:
        """Submit a job of one task and return its start."""
        harness.submit(letter * 16, "batch", make_step(1))
        return harness.place_and_start()
