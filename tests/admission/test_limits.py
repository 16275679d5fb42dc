from __future__ import annotations

import pytest

from verbenaplank.admission.budget import StartBudget
from verbenaplank.admission.budget import hedge_budget
from verbenaplank.admission.estimate import StartRate
from verbenaplank.admission.estimate import estimate
from verbenaplank.admission.quota import QuotaState
from verbenaplank.admission.quota import TeamQuotas
from verbenaplank.configuration.effective import TeamRules


def quotas(entries: int = 1, **limits: float) -> TeamQuotas:
    team_quotas = TeamQuotas()
    rules = TeamRules(name="kayal", **limits)
    team_quotas.configure({"kayal": rules}, entries)
    return team_quotas


def test_starts_beyond_the_rate_are_refused_until_the_bucket_refills() -> None:
    limited = quotas(max_starts_per_s=100.0)
    assert limited.admit("kayal", 100, 0.0).state is QuotaState.WITHIN

    refused = limited.admit("kayal", 50, 0.0)

    assert refused.state is QuotaState.TOO_MANY_STARTS
    assert refused.retry_after_s == pytest.approx(0.5)
    assert limited.admit("kayal", 50, 0.4).state is QuotaState.TOO_MANY_STARTS
    assert limited.admit("kayal", 50, 0.5).state is QuotaState.WITHIN


def test_job_larger_than_the_burst_is_admitted_and_delays_later_ones() -> None:
    """A bucket that had to hold all its tokens would refuse it for ever."""
    limited = quotas(max_starts_per_s=10.0)

    assert limited.admit("kayal", 350, 0.0).state is QuotaState.WITHIN
    assert limited.admit("kayal", 1, 30.0).state is QuotaState.TOO_MANY_STARTS
    assert limited.admit("kayal", 1, 34.2).state is QuotaState.WITHIN


def test_tasks_in_progress_are_limited_until_they_end() -> None:
    limited = quotas(max_in_progress=10)
    assert limited.admit("kayal", 10, 0.0).state is QuotaState.WITHIN
    assert limited.admit("kayal", 1, 1.0).state is QuotaState.TOO_MANY_IN_PROGRESS

    limited.record_ended("kayal", 1)

    assert limited.admit("kayal", 1, 1.0).state is QuotaState.WITHIN


def test_each_entry_enforces_an_equal_part_of_a_quota() -> None:
    limited = quotas(entries=4, max_starts_per_s=100.0)

    assert limited.admit("kayal", 25, 0.0).state is QuotaState.WITHIN
    assert limited.admit("kayal", 1, 0.0).state is QuotaState.TOO_MANY_STARTS


def test_unknown_team_is_refused_as_unknown() -> None:
    assert quotas().admit("nobody", 1, 0.0).state is QuotaState.UNKNOWN_TEAM


def test_extra_starts_are_limited_to_a_share_of_the_first_starts() -> None:
    """Unlimited retries would add load to a fleet that is failing already."""
    budget = StartBudget(share=0.1, max_tokens=5.0)
    assert sum(budget.try_take() for _ in range(20)) == 5

    budget.record_starts(tasks=30)

    assert sum(budget.try_take() for _ in range(20)) == 3
    budget.record_starts(tasks=1_000_000)
    assert sum(budget.try_take() for _ in range(20)) == 5
    assert hedge_budget().try_take()


def test_request_that_cannot_meet_its_deadline_is_infeasible() -> None:
    """After the suggested wait it is feasible, and just before that it is not."""
    facts = {"tasks": 8, "start_rate_per_s": 100.0, "slots": 8, "run_time_s": 0.2}
    behind = estimate(tasks_ahead=500, remaining_s=2.0, **facts)

    assert not behind.feasible
    assert behind.retry_after_s == pytest.approx(4.1)
    left = 500 - round(behind.retry_after_s * facts["start_rate_per_s"])
    early = estimate(tasks_ahead=left, remaining_s=2.0, **facts)
    assert early.feasible
    assert early.expected_s == pytest.approx(1.1)
    assert not estimate(tasks_ahead=left + 5, remaining_s=2.0, **facts).feasible


def test_start_rate_follows_recent_starts() -> None:
    rate = StartRate()
    for step in range(500):
        rate.record_starts(step * 0.01)

    assert rate.per_s(5.0) == pytest.approx(100.0, rel=0.05)
    assert rate.per_s(15.0) < 1.0
