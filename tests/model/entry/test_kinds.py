"""Random schedules in which daemons, executors and the store lose contact, and run on."""

from __future__ import annotations

import pytest

from wasabiramp.model.entry.kinds import run_kind
from wasabiramp.model.entry.special import run_isolation_schedule, run_wide_schedule
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import FAILED

SEEDS = range(1, 11)
"""Seeds of each kind that every test run covers."""

FEW_SEEDS = range(1, 7)
"""Seeds of kinds whose schedules are long, or break often where something is wrong."""

MIN_STARTS = 3
"""Number of starts without which a schedule shows nothing."""


def check(world: World) -> None:
    """Check that tasks were started and no guarantee was breached."""
    assert world.checker.breaches == []
    assert world.checker.starts >= MIN_STARTS


class TestLostContact:
    """No loss of contact lets a task run twice, loses a job or leaves a request unanswered."""

    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_all_faults_and_jobs(self, seed: int) -> None:
        check(run_kind("contact", seed))

    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_with_crashes(self, seed: int) -> None:
        check(run_kind("contact_and_crashes", seed))

    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_with_faults_of_the_store(self, seed: int) -> None:
        check(run_kind("contact_and_store", seed))


class TestRestarts:
    """No call that was meant for one process of an executor does harm at the next one.

    Executors are back under their ids, their entries follow late, and calls that were under way
    meanwhile reach the next process.
    """

    # An acknowledgement of the process before made the next one forget ends that nobody had read.
    @pytest.mark.parametrize("seed", range(1, 13))
    def test_next_process_serves_calls_of_the_one_before(self, seed: int) -> None:
        check(run_kind("restarts", seed))

    # A task was started again while its first start had the longest lease at the next process.
    @pytest.mark.parametrize("seed", [*range(1, 13), 16, 17, 20])
    def test_next_process_is_cut_off(self, seed: int) -> None:
        check(run_kind("restarts_and_cuts", seed))

    @pytest.mark.parametrize("seed", [*FEW_SEEDS, 30])
    def test_short_runs_end_at_the_next_process(self, seed: int) -> None:
        check(run_kind("restarts_of_short_runs", seed))

    # Seed 6 broke BUDGET: an end `failed` that the process before made the next one forget, unread.
    @pytest.mark.parametrize("seed", range(1, 11))
    def test_runs_fail_at_the_next_process(self, seed: int) -> None:
        check(run_kind("restarts_and_failures", seed))

    @pytest.mark.parametrize("seed", range(1, 11))
    def test_owners_are_lost_too(self, seed: int) -> None:
        check(run_kind("restarts_and_owners", seed))


class TestFailedRuns:
    """No job is shown as failed before a task has used up its attempts."""

    # An end that was read counted as an attempt, though a lease lapsed before its acknowledgement.
    # Seed 1012: as seed 27 below, where all daemons lost power.
    @pytest.mark.parametrize("seed", [*range(1, 12), 1012])
    def test_many_runs_fail(self, seed: int) -> None:
        check(run_kind("failures", seed))

    # Seed 1006: a run that was started after a lapse hid the lapse from the next owner.
    # Seed 1054: an executor got no work after a lapse while a hold acknowledged an end.
    @pytest.mark.parametrize("seed", [*FEW_SEEDS, 7, 12, 14, 1006, 1054])
    def test_many_runs_fail_and_executors_crash(self, seed: int) -> None:
        check(run_kind("failures_and_crashes", seed))

    # Seed 27: a patient caller waited for 28 s for a daemon that was killed before it cancelled.
    @pytest.mark.parametrize("seed", [*FEW_SEEDS, 10, 12, 13, 27])
    def test_many_runs_fail_and_the_store_is_faulty(self, seed: int) -> None:
        check(run_kind("failures_and_store", seed))

    def test_jobs_use_up_their_attempts(self) -> None:
        """The other tests say nothing if no job fails in their schedules."""
        jobs = run_kind("failures", 3).checker.jobs.values()
        assert sum(record.last_phase == FAILED for record in jobs) >= 2


class TestLapsedRuns:
    """An executor that crashes after its runs have lapsed has not crashed under their tasks."""

    # A job was given up though its runs had lapsed behind cuts: the loss of contact counted as a
    # crash, as the executors had crashed when they were seen again (LOST).
    @pytest.mark.parametrize("seed", [*FEW_SEEDS, 17])
    def test_crashes_after_cuts(self, seed: int) -> None:
        check(run_kind("lapses", seed))

    @pytest.mark.parametrize("seed", [*FEW_SEEDS, 16, 51])
    def test_with_outages_of_the_store(self, seed: int) -> None:
        check(run_kind("lapses_and_store", seed))

    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_with_owners_that_are_lost(self, seed: int) -> None:
        check(run_kind("lapses_and_owners", seed))


class TestSilentExecutors:
    """An executor that is cut off, drains or lost its entry may still run its tasks."""

    # A new owner took an executor without an entry for one that had left (TWICE).
    @pytest.mark.parametrize("seed", [*SEEDS, 14, 15, 24, 33])
    def test_cut_off_at_the_end_of_an_outage(self, seed: int) -> None:
        check(run_kind("outage", seed))

    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_cut_off_until_the_entry_lapses(self, seed: int) -> None:
        check(run_kind("silence", seed))

    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_cut_off_while_draining(self, seed: int) -> None:
        check(run_kind("draining", seed))


class TestEarlierOwners:
    """An owner that lost contact does not act beside the next one."""

    # An owner that was cut off renewed leases which the next one took for lapsed (TWICE).
    @pytest.mark.parametrize("seed", [*SEEDS, 13, 15, 21, 26, 28])
    def test_cut_off_from_the_store(self, seed: int) -> None:
        check(run_kind("two_owners", seed))

    @pytest.mark.parametrize("seed", SEEDS)
    def test_suspended(self, seed: int) -> None:
        check(run_kind("suspension", seed))


class TestNewOwners:
    """A new owner reads all that executors report before it starts tasks again."""

    # Ends and runs of occurrences that were not prepared yet counted as nobody's (TWICE).
    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_occurrences_that_ran_ahead(self, seed: int) -> None:
        check(run_kind("repeated", seed))

    # The recovery ended with the first page of an executor's ends (TWICE).
    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_more_ends_than_one_report_holds(self, seed: int) -> None:
        check(run_wide_schedule(seed))

    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_jobs_accepted_during_hand_overs(self, seed: int) -> None:
        check(run_kind("handover", seed))


class TestSlowPaths:
    """Orders that time out or overtake each other start no task twice."""

    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_delayed_messages(self, seed: int) -> None:
        check(run_kind("delays", seed))


class TestCancels:
    """Each cancel gets an answer, and stops the job for good once it is acknowledged."""

    # A cancel at an owner that lost its ownership was never answered (LOST, UNASKED).
    @pytest.mark.parametrize("seed", SEEDS)
    def test_at_an_owner_that_loses_contact(self, seed: int) -> None:
        check(run_kind("cancel", seed))

    # A job that was stored after its cancel was acknowledged with 410 ran to its end (UNASKED).
    @pytest.mark.parametrize("seed", [*SEEDS, 17])
    def test_of_a_job_that_is_stored_late(self, seed: int) -> None:
        check(run_kind("late_write", seed))


class TestIsolation:
    """An executor kept for a suspect does not hold up the work that only it may run."""

    # A lasting suspect closed its executor for twice the age of its longest run (LOST).
    @pytest.mark.parametrize("seed", FEW_SEEDS)
    def test_job_that_needs_the_executor_of_a_suspect(self, seed: int) -> None:
        check(run_isolation_schedule(seed))
