"""Tests of the ablation over the load model."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from wasabiramp.bench.ablate import (
    ALL_ON,
    MODEL_MECHANISMS,
    Trial,
    TrialStore,
    list_trials,
    render_markdown,
    run_trial,
    run_trials,
    summarize,
)
from wasabiramp.policy.switches import SWITCHES, set_switched_off

CASE = ("desk", 1.0, "unanswered_calls")


@pytest.fixture(autouse=True)
def restore_switches() -> Iterator[None]:
    """Switch all mechanisms on after each test."""
    yield
    set_switched_off([])


class TestTrials:
    """Each mechanism is compared with the same seeds and all mechanisms on."""

    def test_mechanisms_have_switches(self) -> None:
        assert set(MODEL_MECHANISMS) <= SWITCHES.keys()

    def test_switched_off_mechanism_changes_the_result(self) -> None:
        with_it = run_trial(Trial(ALL_ON, *CASE, 1))
        without_it = run_trial(Trial("short-holds", *CASE, 1))
        assert with_it > without_it

    def test_stopped_run_continues(self, tmp_path: Path) -> None:
        trials = list(list_trials(["short-holds"], [CASE], 1))
        store = TrialStore(tmp_path / "a.json")
        store.add(trials[0], 1.0)
        done = []
        run_trials(trials, TrialStore(tmp_path / "a.json"), 1, lambda: done.append(1))
        store = TrialStore(tmp_path / "a.json")
        assert len(done) == 2
        assert store.shares[trials[0].key] == 1.0
        (row,) = summarize(trials, store)
        assert row.worth == round(1.0 - store.shares[trials[1].key], 3)
        assert "| short-holds | desk x1 unanswered_calls |" in render_markdown([row])

    def test_foreign_file_is_refused(self, tmp_path: Path) -> None:
        (tmp_path / "a.json").write_text("[]")
        with pytest.raises(ValueError, match="expected an object of trials"):
            TrialStore(tmp_path / "a.json")
