"""Random schedules of callers that cancel jobs whose submissions had no answer."""

from __future__ import annotations

import pytest

from wasabiramp.model.entry.impatient import run_impatient_schedule

SEEDS = range(1, 13)
"""Seeds that every test run covers."""


class TestCancelOfUnansweredSubmissions:
    """No task starts after the cancel of its job, however late the job was stored."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_seed(self, seed: int) -> None:
        """Guards against UNASKED: late writes stored jobs after their cancel was answered 410."""
        assert run_impatient_schedule(seed).checker.breaches == []
