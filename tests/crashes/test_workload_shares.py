from __future__ import annotations

from verbenaplank.crashes.workload_shares import HALF_LIFE_S
from verbenaplank.crashes.workload_shares import WorkloadShares


def test_shares_follow_the_recent_jobs_and_their_work() -> None:
    shares = WorkloadShares()
    for _ in range(4):
        shares.add_job("old", 1.0, 0.0)
    shares.add_job("new", 6.0, HALF_LIFE_S)
    assert shares.job_shares() == {"old": 2 / 3, "new": 1 / 3}
    assert shares.work_share("new") == 0.75


def test_unknown_workload_has_no_share() -> None:
    shares = WorkloadShares()
    assert shares.job_shares() == {}
    assert shares.work_share("any") == 0.0
