"""Tests of what a seed of the soak test draws."""

from __future__ import annotations

from random import Random
import time

import orjson
import pytest

from soak.cell import make_routes
from soak.checks import FINISH_S
from soak.faults import FAULTS
from soak.jobs import JOB_KINDS
from soak.outages import LONG_OUTAGE_S
from soak.plan import (
    ALL_FAULTS,
    FAILURES,
    FULL,
    LAPSES,
    MIXES,
    PLAIN,
    RESTARTS,
    SERIES_SPAN_S,
    make_plan,
)
from stand_ins.platform import COMMON_LABEL_COUNT
from stand_ins.reports import HEARTBEAT_S
from wasabiramp.model.entry.executors import DURATION_RANGE, MAX_REPORTED_ENDS
from wasabiramp.platform.wire import decode_config, decode_job
from wasabiramp.scheduling.leases import MAX_UNCONFIRMED_S

SEEDS = range(50)


class TestPlan:
    """Mixes, and the names that replace what they draw."""

    def test_plain_mix_draws_as_its_regression_seeds_need(self) -> None:
        plan = make_plan(PLAIN)
        names, random, expected = sorted(FAULTS), Random(3), Random(3)
        drawn = [(expected.uniform(0, 15.0), expected.choice(names)) for _ in range(5)]
        assert plan.draw_faults(random, 15.0) == drawn
        assert plan.job_kinds == ["plain"]

    def test_full_mix_plays_all_kinds_and_faults(self) -> None:
        plan = make_plan(FULL)
        assert set(plan.faults) == set(ALL_FAULTS)
        assert set(plan.job_kinds) == set(JOB_KINDS)

    def test_mix_of_failures_fails_a_third_of_the_runs_while_leases_lapse(self) -> None:
        # Guards against a soak that can't show jobs failed by ends that don't count (LOST).
        plan = make_plan(FAILURES)
        assert 0.3 <= plan.failure_share <= 0.4
        assert {"cut_executors", "kill_owner", "long_outage", "pause_owner"} <= set(plan.faults)
        assert set(plan.faults) <= set(ALL_FAULTS)
        assert {"gangs", "plain"} <= set(plan.job_kinds) <= set(JOB_KINDS)

    def test_mix_of_lapses_mostly_crashes_executors_whose_runs_have_lapsed(self) -> None:
        # Guards against a soak that can't show jobs given up though their runs only lapsed (LOST).
        plan = make_plan(LAPSES)
        crashing = [name for name in plan.faults if name.startswith("crash_after_lapse")]
        assert len(crashing) > len(plan.faults) / 2
        assert {"cut_owner", "kill_owner", "pause_owner"} <= set(plan.faults) <= set(ALL_FAULTS)
        assert plan.job_kinds == ["lasting", "long"]
        assert plan.jobs_per_s < make_plan(FULL).jobs_per_s

    def test_mix_of_restarts_plays_all_of_them_beside_short_tasks(self) -> None:
        # Guards against a soak that can't show ends that nobody has read (TWICE, issue 50).
        plan = make_plan(RESTARTS)
        assert plan.has_restarts
        assert {name for name in ALL_FAULTS if name.startswith("restart_")} < set(plan.faults)
        assert set(plan.faults) <= set(ALL_FAULTS)
        assert set(plan.job_kinds) == {"lasting", "long", "plain", "short"}
        assert 0.1 <= plan.failure_share <= 0.3

    def test_jobs_have_time_for_all_attempts_of_long_tasks_in_the_mix_of_restarts(self) -> None:
        # Guards against LOST by jobs of long tasks that fail once more near the end of the wait.
        estimates_ms = [JOB_KINDS["long"](Random(s)).body["steps"][0]["estimateMs"] for s in SEEDS]
        attempts = max(route["maxAttempts"] for route in make_routes())
        longest_s = attempts * max(estimates_ms) / 1000 * DURATION_RANGE[1]
        assert make_plan(RESTARTS).finish_timeout_s > longest_s + FINISH_S

    @pytest.mark.parametrize("mix", sorted(set(MIXES) - {RESTARTS}))
    def test_jobs_end_soon_in_other_mixes(self, mix: str) -> None:
        assert make_plan(mix).finish_timeout_s == 45.0

    @pytest.mark.parametrize("mix", sorted(set(MIXES) - {RESTARTS}))
    def test_calls_to_executors_that_are_down_are_refused_in_other_mixes(self, mix: str) -> None:
        assert not make_plan(mix).has_restarts

    def test_names_keep_the_calls_of_the_mix_of_restarts(self) -> None:
        assert make_plan(RESTARTS, "crash_executor", "short").has_restarts

    def test_long_outage_lets_most_leases_of_runs_lapse(self) -> None:
        assert sum(LONG_OUTAGE_S) / 2 > MAX_UNCONFIRMED_S

    @pytest.mark.parametrize("mix", sorted(set(MIXES) - {FAILURES, RESTARTS}))
    def test_runs_rarely_fail_in_other_mixes(self, mix: str) -> None:
        assert make_plan(mix).failure_share < 0.05

    def test_faults_of_a_series_begin_close_together(self) -> None:
        plan = make_plan(FULL, fault_count=1)
        for seed in SEEDS:
            begins = [begins_at for begins_at, _name in plan.draw_faults(Random(seed), 15.0)]
            assert max(begins) - min(begins) <= SERIES_SPAN_S

    def test_names_replace_the_faults_of_a_mix(self) -> None:
        plan = make_plan(FULL, "kill_owner,revoke", "wide", fault_count=4)
        names = {name for _at, name in plan.draw_faults(Random(1), 15.0)}
        assert names <= {"kill_owner", "revoke"}
        assert plan.job_kinds == ["wide"]

    def test_names_keep_the_share_of_failing_runs(self) -> None:
        plan = make_plan(FAILURES, "kill_owner", "long")
        assert plan.failure_share == make_plan(FAILURES).failure_share

    def test_unknown_mix_is_refused(self) -> None:
        with pytest.raises(ValueError, match="no_such_mix"):
            make_plan("no_such_mix")

    def test_unknown_name_is_refused(self) -> None:
        with pytest.raises(ValueError, match="no_such_fault"):
            make_plan(FULL, "no_such_fault")


class TestJobKinds:
    """Every kind draws jobs that daemons accept."""

    @pytest.mark.parametrize("kind", sorted(JOB_KINDS))
    def test_drawn_jobs_are_valid(self, kind: str) -> None:
        config = decode_config(orjson.dumps({"version": 1, "routes": make_routes()}))
        for seed in SEEDS:
            draft = JOB_KINDS[kind](Random(seed))
            queue = next(queue for queue in config.queues if queue.prefix == draft.prefix)
            decode_job(orjson.dumps(draft.body), "0" * 16, queue, int(time.time() * 1000))

    def test_short_tasks_end_within_a_part_of_a_heartbeat(self) -> None:
        # Guards against a soak in which no run ends before its executor is listed again.
        for seed in SEEDS:
            step = JOB_KINDS["short"](Random(seed)).body["steps"][0]
            assert step["estimateMs"] * DURATION_RANGE[1] < HEARTBEAT_S * 1000 / 4
            assert step["antiAffinity"] == 1

    def test_wide_job_leaves_more_ends_on_an_executor_than_a_page_holds(self) -> None:
        # Guards against a soak in which no new owner meets a second page of ends.
        for seed in SEEDS:
            step = JOB_KINDS["wide"](Random(seed)).body["steps"][0]
            assert step["count"] / COMMON_LABEL_COUNT > MAX_REPORTED_ENDS
