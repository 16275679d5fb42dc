from __future__ import annotations

import math

from verbenaplank.overload.hopeless import QueueWalk
from verbenaplank.overload.hopeless import WaitingJob

POOL = ("draw", "")


def job(job_id: str, latest_start_s: float, tasks: int = 1) -> WaitingJob:
    return WaitingJob(
        job_id=job_id,
        pool=POOL,
        core_s=10.0 * tasks,
        last_task_core_s=10.0,
        latest_start_s=latest_start_s,
    )


def walk(*jobs: WaitingJob, cores: float = 10.0, max_jobs: int = 99) -> list[str]:
    steps = QueueWalk(jobs, lambda _: cores, 100.0)
    found = []
    while not steps.is_finished:
        found += [hopeless.job_id for hopeless in steps.advance(max_jobs)]
    return found


def test_jobs_behind_too_much_work_are_hopeless_before_their_latest_start() -> None:
    """They were held for seconds and then refused without having been tried."""
    queue = [job(f"{i}", 100.0 + 2.5) for i in range(6)]
    assert walk(*queue) == ["3", "4", "5"]
    assert walk(*queue, max_jobs=2) == ["3", "4", "5"]


def test_hopeless_job_does_not_make_those_behind_it_hopeless() -> None:
    assert walk(job("a", 105.0), job("wide", 102.0, tasks=9), job("b", 101.5)) == [
        "wide"
    ]


def test_wait_of_a_wide_job_counts_all_its_tasks() -> None:
    assert walk(job("wide", 102.5, tasks=4)) == ["wide"]
    assert walk(job("wide", 103.5, tasks=4)) == []


def test_job_that_may_have_started_counts_as_work_ahead_but_stays() -> None:
    assert walk(job("started", math.inf, tasks=5), job("b", 104.0)) == ["b"]


def test_no_job_is_hopeless_while_the_rate_is_unknown() -> None:
    """All streams to agents have broken for a moment."""
    assert walk(*[job(f"{i}", 100.1) for i in range(9)], cores=0.0) == []
