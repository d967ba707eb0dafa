"""Tests of placement: capacity, gangs, labels, spreading, priorities and advice."""

from __future__ import annotations

from collections import Counter

from tests.scheduling.helpers import AskAdvice, SchedulerHarness, StopTask, make_step
from wasabiramp.scheduling.events import REFUSED_ROOM, AdviceFailed, CancelAsked, TimePassed
from wasabiramp.scheduling.model import Resources, Step
from wasabiramp.scheduling.state import calculate_critical_path_s


class TestCapacity:
    """No executor gets more tasks than its capacity allows."""

    def test_starts_stop_at_the_capacity(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=4_000)
        harness.submit("a" * 16, "batch", make_step(10, cpu=1_500))
        starts = harness.place()
        assert Counter(start.executor for start in starts) == {"e0": 2, "e1": 2}

    def test_resources_are_occupied_until_the_end_is_listed(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=1_000)
        harness.submit("a" * 16, "batch", make_step(2, cpu=1_000))
        (start,) = harness.place_and_start()
        assert harness.place() == []
        harness.finish_run(start)
        assert len(harness.place()) == 1


class TestChangingCapacity:
    """The capacity of an executor may shrink and grow while it runs tasks."""

    def test_shrunk_executor_gets_no_task_beyond_its_new_capacity(self) -> None:
        """Guards against LIMIT: a start on an executor whose capacity has shrunk."""
        harness = SchedulerHarness(executors=1, cpu=4_000)
        harness.submit("a" * 16, "batch", make_step(2))
        first, second = harness.place_and_start()
        harness.list_executor("e0", cpu=1_500)
        harness.submit("b" * 16, "batch", make_step(1))
        assert harness.place() == []
        harness.finish_run(first)
        assert harness.place() == []
        harness.finish_run(second)
        assert len(harness.place()) == 1

    def test_stopping_task_still_counts_on_a_shrunk_executor(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=4_000)
        harness.submit("a" * 16, "batch", make_step(2))
        harness.place_and_start()
        harness.list_executor("e0", cpu=2_000)
        harness.submit("b" * 16, "batch", make_step(1))
        harness.apply(CancelAsked("a" * 16))
        for stop in harness.take_effects(StopTask):
            harness.answer_stop(stop)
        assert harness.place() == []

    def test_grown_executor_gets_waiting_tasks_at_once(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=1_000)
        harness.submit("a" * 16, "batch", make_step(3))
        assert len(harness.place_and_start()) == 1
        harness.list_executor("e0", cpu=3_000)
        assert len(harness.place()) == 2

    def test_task_larger_than_a_shrunk_fleet_waits_until_it_grows(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=4_000)
        harness.list_executor("e0", cpu=500)
        harness.list_executor("e1", cpu=500)
        harness.submit("a" * 16, "batch", make_step(1))
        assert harness.place() == []
        harness.list_executor("e1", cpu=4_000)
        assert [start.executor for start in harness.place()] == ["e1"]

    def test_capacity_may_have_shrunk_unseen_while_the_list_is_old(self) -> None:
        """Guards against LIMIT: an executor shrank while the store that lists it was away."""
        harness = SchedulerHarness(executors=2, cpu=4_000)
        harness.list_executor("e1", cpu=2_000)
        harness.list_executor("e1", cpu=4_000)
        harness.apply(TimePassed(list_age_s=5.0))
        harness.submit("a" * 16, "batch", make_step(8))
        starts = harness.place_and_start()
        assert Counter(start.executor for start in starts) == {"e0": 2, "e1": 2}
        harness.apply(TimePassed(list_age_s=0.5))
        assert len(harness.place()) == 4

    def test_full_capacity_is_used_while_the_list_is_old_if_none_has_shrunk(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=4_000)
        harness.apply(TimePassed(list_age_s=5.0))
        harness.submit("a" * 16, "batch", make_step(8))
        assert len(harness.place()) == 4

    def test_new_incarnation_gets_no_task_before_it_is_listed(self) -> None:
        """Guards against LIMIT and ROUTE: the entry of an earlier incarnation was still used."""
        harness = SchedulerHarness(executors=1, cpu=4_000)
        harness.submit("a" * 16, "batch", make_step(2, cpu=2_000))
        harness.incarnations["e0"] = 2
        harness.answer_hold("e0")
        harness.meet_process("e0")
        assert harness.place() == []
        harness.list_executor("e0", cpu=2_000)
        assert len(harness.place()) == 1


class TestGangs:
    """All tasks of a gang start at once with the same run number, or none starts."""

    def test_gang_waits_until_all_members_fit(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=2_000)
        harness.submit("a" * 16, "batch", make_step(1, cpu=1_500))
        (other,) = harness.place_and_start()
        harness.submit("b" * 16, "gangs", make_step(2, cpu=2_000, is_gang=True))
        assert harness.place() == []
        harness.finish_run(other)
        starts = harness.place()
        assert len(starts) == 2
        assert len({start.run for start in starts}) == 1

    def test_refused_member_stops_the_others(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit("a" * 16, "gangs", make_step(2, cpu=3_000, is_gang=True))
        first, second = harness.place()
        harness.answer_start(first)
        harness.answer_start(second, REFUSED_ROOM)
        assert [stop.task for stop in harness.take_effects(StopTask)] == [first.task]
        assert harness.place() == []

    def test_success_of_one_member_ends_the_job(self) -> None:
        harness = SchedulerHarness(executors=2)
        job = harness.submit("a" * 16, "gangs", make_step(2, cpu=3_000, is_gang=True))
        first, _second = harness.place_and_start()
        harness.finish_run(first)
        assert job.is_ended

    def test_members_resume_from_one_saved_value(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit("a" * 16, "gangs", make_step(2, cpu=3_000, is_gang=True))
        first, second = harness.place_and_start()
        harness.end_run(first, "lapsed", "s1")
        harness.end_run(second, "broken", "")
        harness.answer_hold(first.executor)
        harness.answer_hold(second.executor)
        assert [start.saved for start in harness.place()] == ["s1", "s1"]

    def test_less_urgent_work_does_not_delay_a_waiting_gang(self) -> None:
        """Guards against starvation of a wide gang by a steady stream of batch tasks."""
        harness = SchedulerHarness(executors=2, cpu=2_000)
        harness.submit("a" * 16, "batch", make_step(2, cpu=1_500))
        running = harness.place_and_start()
        harness.submit("b" * 16, "gangs", make_step(2, cpu=2_000, is_gang=True))
        harness.submit("c" * 16, "batch", make_step(4, cpu=1_500))
        harness.finish_run(running[0])
        assert harness.place() == []
        harness.finish_run(running[1])
        assert {start.task[:16] for start in harness.place()} == {"b" * 16}

    def test_one_rack_is_preferred(self) -> None:
        harness = SchedulerHarness(executors=0)
        for name, rack in (("x0", "r1"), ("x1", "r2"), ("x2", "r1")):
            harness.list_executor(name, 2_000, labels=("a", rack))
        harness.tick()
        harness.commit()
        for name in ("x0", "x1", "x2"):
            harness.answer_hold(name)
        step = make_step(2, cpu=2_000, is_gang=True, wants_one_rack=True)
        harness.submit("a" * 16, "gangs", step)
        assert {start.executor for start in harness.place()} == {"x0", "x2"}


class TestLatestStart:
    """Long and short gangs that wait for the same executors start in order of latest start."""

    def make_gang(self, estimate_s: float, after: tuple[int, ...] = ()) -> Step:
        return Step(2, Resources(3_000, 100, 0), estimate_s, after, is_gang=True)

    def test_long_gang_with_the_earlier_latest_start_goes_first(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit("f" * 16, "gangs", self.make_gang(1.0))
        blocking = harness.place_and_start()
        harness.submit("a" * 16, "gangs", self.make_gang(6.0))
        long = harness.scheduler.state.jobs["a" * 16]
        harness.tick(6.5)
        short = harness.submit("b" * 16, "gangs", self.make_gang(2.0))
        # The short gang has the earlier objective but the later latest start.
        assert short.objective_at < long.objective_at
        for start in blocking:
            harness.end_run(start, "done")
        for start in blocking:
            harness.answer_hold(start.executor)
        starts = harness.place()
        assert {start.task[0] for start in starts} == {"a"}

    def test_critical_path_includes_later_steps(self) -> None:
        steps = (
            make_step(1),
            self.make_gang(5.0, (0,)),
            self.make_gang(2.0, (0,)),
            self.make_gang(3.0, (1, 2)),
        )
        assert [calculate_critical_path_s(steps, index) for index in range(4)] == [
            9.0,
            8.0,
            5.0,
            3.0,
        ]


class TestSpreadingLimit:
    """Steps blocked only by their spreading limit do not use up the questions of a queue."""

    def test_steps_at_their_spreading_limit_do_not_block_others(self) -> None:
        """Guards against steps that wait for their spreading limit using up all questions.

        Each step runs one task per executor, and few executors are suitable. Found by scenario
        trouble-1 of crisalis-gale.
        """
        harness = SchedulerHarness(executors=4, cpu=60_000)
        for number in range(60):
            harness.submit(f"{number:016x}", "advised", make_step(9, cpu=10, max_per_executor=1))
        for _ in range(40):
            harness.place_and_start()
            for ask in harness.take_effects(AskAdvice):
                harness.answer_advice(ask, ["e0"])
        harness.submit("f" * 16, "advised", make_step(1))
        harness.place()
        assert "f" * 16 + ".0.0" in {ask.step for ask in harness.take_effects(AskAdvice)}


class TestInfeasibleWork:
    """Work that cannot fit on the executors neither blocks its queue nor reserves executors."""

    def test_gangs_without_enough_suitable_executors_do_not_block_others(self) -> None:
        """Guards against infeasible gangs using up all questions.

        Four such gangs did in scenario trouble-1 of crisalis-gale.
        """
        harness = SchedulerHarness(executors=3, cpu=4_000)
        for number in range(60):
            harness.submit(f"{number:016x}", "advised", make_step(3, cpu=3_000, is_gang=True))
        for _ in range(40):
            harness.place()
            for ask in harness.take_effects(AskAdvice):
                harness.answer_advice(ask, ["e0", "e1"])
        harness.submit("f" * 16, "advised", make_step(2, cpu=3_000, is_gang=True))
        harness.place()
        (ask,) = harness.take_effects(AskAdvice)
        assert ask.step == "f" * 16 + ".0.0"
        harness.answer_advice(ask, ["e0", "e1"])
        assert len(harness.place()) == 2

    def test_gang_too_large_for_the_site_reserves_nothing(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=2_000)
        harness.submit("a" * 16, "gangs", make_step(3, cpu=2_000, is_gang=True))
        harness.submit("b" * 16, "batch", make_step(2, cpu=2_000))
        assert len(harness.place()) == 2


class TestPlacementConstraints:
    """Placement respects labels, racks, spreading limits, draining and priorities."""

    def test_label_is_required(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1, label="b"))
        assert harness.place() == []
        harness.submit("c" * 16, "batch", make_step(1, label="a"))
        assert len(harness.place()) == 1

    def test_spreading_limit(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit("a" * 16, "batch", make_step(4, cpu=10, max_per_executor=1))
        starts = harness.place_and_start()
        assert Counter(start.executor for start in starts) == {"e0": 1, "e1": 1}
        assert harness.place() == []

    def test_data_rack_is_preferred(self) -> None:
        harness = SchedulerHarness(executors=3)
        harness.submit("a" * 16, "batch", make_step(1, rack="r2"))
        assert [start.executor for start in harness.place()] == ["e2"]

    def test_draining_executor_gets_nothing(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.list_executor("e0", is_draining=True)
        harness.submit("a" * 16, "batch", make_step(1))
        assert harness.place() == []

    def test_urgent_work_goes_first(self) -> None:
        harness = SchedulerHarness(executors=1, cpu=1_000)
        harness.submit("a" * 16, "batch", make_step(1))
        harness.submit("b" * 16, "urgent", make_step(1))
        assert [start.task[:16] for start in harness.place()] == ["b" * 16]


class TestAdvice:
    """A step that needs advice starts only with a valid ticket."""

    def test_start_carries_the_ticket(self) -> None:
        harness = SchedulerHarness(executors=3)
        harness.submit("a" * 16, "advised", make_step(1))
        assert harness.place() == []
        (ask,) = harness.take_effects(AskAdvice)
        assert sorted(ask.executors) == ["e0", "e1", "e2"]
        harness.answer_advice(ask, ["e1"])
        (start,) = harness.place()
        assert (start.executor, start.ticket) == ("e1", "ticket-e1")

    def test_expired_ticket_is_renewed_for_suitable_executors(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=1_000)
        harness.submit("b" * 16, "urgent", make_step(2))
        running = harness.place_and_start()
        harness.submit("a" * 16, "advised", make_step(1))
        harness.place()
        harness.answer_advice(harness.take_effects(AskAdvice)[0], ["e0"])
        harness.tick(2.6)
        for start in running:
            harness.finish_run(start)
        assert harness.place() == []
        (ask,) = harness.take_effects(AskAdvice)
        assert ask.executors == ["e0"]
        harness.answer_advice(ask, ["e0"])
        assert len(harness.place()) == 1

    def test_ticket_of_an_earlier_incarnation_is_invalid(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "advised", make_step(1))
        harness.place()
        harness.answer_advice(harness.take_effects(AskAdvice)[0], ["e0"])
        harness.incarnations["e0"] = 2
        harness.answer_hold("e0")
        harness.meet_process("e0")
        harness.list_executor("e0")
        assert harness.place() == []
        assert len(harness.take_effects(AskAdvice)) == 1

    def test_unanswered_question_is_repeated_after_the_retry_delay(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "advised", make_step(1))
        harness.place()
        (ask,) = harness.take_effects(AskAdvice)
        harness.apply(AdviceFailed(ask.step, 0.2))
        harness.place()
        assert harness.take_effects(AskAdvice) == []
        harness.tick(0.3)
        harness.place()
        assert len(harness.take_effects(AskAdvice)) == 1

    def test_task_without_suitable_executors_asks_about_further_ones(self) -> None:
        """Guards against a task that waits for ever, as all executors asked about were unsuitable.

        It is asked about 24 executors at a time, so that a rare policy finds its executors too.
        """
        harness = SchedulerHarness(executors=60)
        harness.submit("a" * 16, "advised", make_step(1, is_lasting=True))
        asked: list[str] = []
        for _ in range(3):
            harness.place()
            (ask,) = harness.take_effects(AskAdvice)
            asked += ask.executors
            harness.answer_advice(ask, [name for name in ask.executors if len(asked) == 60])
        assert len(set(asked)) == 60
        assert len(harness.place()) == 1

    def test_executors_that_replaced_crashed_ones_are_asked_about(self) -> None:
        """Guards against LOST: a task waited beside idle executors, as its verdicts were stale."""
        harness = SchedulerHarness(executors=24)
        harness.submit("a" * 16, "advised", make_step(1))
        harness.place()
        harness.answer_advice(harness.take_effects(AskAdvice)[0], ["e0", "e1"])
        harness.crash_executor("e0")
        harness.crash_executor("e1")
        harness.replace_executor("e0", "e24")
        harness.replace_executor("e1", "e25")
        harness.place()
        (ask,) = harness.take_effects(AskAdvice)
        assert set(ask.executors) >= {"e24", "e25"}
        harness.answer_advice(ask, ["e24"])
        assert [start.executor for start in harness.place()] == ["e24"]

    def test_lasting_task_whose_suitable_executors_are_full_asks_about_those_with_room(
        self,
    ) -> None:
        """Guards against work that waits for a few suitable executors beside idle unknown ones."""
        harness = SchedulerHarness(executors=30, cpu=4_000)
        harness.submit("a" * 16, "advised", make_step(1, cpu=4_000, is_lasting=True))
        harness.place()
        (ask,) = harness.take_effects(AskAdvice)
        unknown = {f"e{number}" for number in range(30)} - set(ask.executors)
        full = {ask.executors[0], *sorted(unknown)[:2]}
        for name in full:
            harness.scheduler.state.executors[name].used = Resources(4_000, 0, 0)
        harness.answer_advice(ask, ask.executors[:1])
        harness.place()
        (further,) = harness.take_effects(AskAdvice)
        assert set(further.executors) == unknown - full

    def test_expired_tickets_with_room_are_renewed_beside_valid_ones_without(self) -> None:
        """Guards against work that waits for full executors while a suitable one is idle."""
        harness = SchedulerHarness(executors=2, cpu=4_000)
        harness.submit("z" * 16, "batch", make_step(2, cpu=4_000))
        first, second = harness.place_and_start()
        harness.submit("a" * 16, "advised", make_step(1, cpu=4_000, is_lasting=True))
        harness.place()
        (ask,) = harness.take_effects(AskAdvice)
        harness.answer_advice(ask, ["e0", "e1"])
        step = next(iter(harness.scheduler.state.jobs["a" * 16].steps.values()))
        step.tickets[first.executor].expires_at = harness.now
        harness.place()
        harness.finish_run(first)
        harness.place()
        (renewal,) = harness.take_effects(AskAdvice)
        assert first.executor in renewal.executors
        assert second.executor not in renewal.executors
