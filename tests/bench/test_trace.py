from __future__ import annotations

import pytest

from verbenaplank.bench.ideal_response import ideal_response_s
from verbenaplank.bench.trace import BOCHAS
from verbenaplank.bench.trace import WORKLOADS
from verbenaplank.bench.trace import generate_trace
from verbenaplank.identifiers.job_id import job_timestamp_ms
from verbenaplank.identifiers.job_id import parse_job_id

MAX_TASKS = 350


@pytest.mark.parametrize("name", sorted(WORKLOADS))
def test_a_seed_gives_the_same_trace_each_time(name: str) -> None:
    """Runs on different traces cannot be compared with each other."""
    traces = [
        generate_trace(WORKLOADS[name], 7, lambda now_s: 20.0, 20.0, 30.0)
        for _ in range(2)
    ]

    assert traces[0] == traces[1]
    assert all(1 <= len(job.run_times_s) <= MAX_TASKS for job in traces[0])
    assert len(traces[0]) == pytest.approx(600, rel=0.15)


def test_arrivals_follow_the_rate() -> None:
    """A generator that ignores changes of the rate leaves out the bursts."""
    trace = generate_trace(
        BOCHAS, 7, lambda now_s: 30.0 if now_s >= 10.0 else 10.0, 30.0, 20.0
    )

    late = sum(job.arrival_s >= 10.0 for job in trace)

    assert late / (len(trace) - late) == pytest.approx(3.0, rel=0.3)


def test_job_ids_are_valid_and_hold_the_arrival_time() -> None:
    """The system rejects invalid job ids and takes the age of a job from them."""
    for job in generate_trace(BOCHAS, 7, lambda now_s: 10.0, 10.0, 5.0):
        assert parse_job_id(job.job_id) == job.job_id
        assert job_timestamp_ms(job.job_id) == int(job.arrival_s * 1000)


def test_ideal_uses_the_slot_that_is_free_first_and_then_the_fastest() -> None:
    """An ideal that takes slots in their given order is too slow as a baseline."""
    slots = (2.0, 1.0)

    assert ideal_response_s([1.0], slots, 0.1) == pytest.approx(1.1)
    assert ideal_response_s([1.0, 1.0], slots, 0.1) == pytest.approx(2.1)
    assert ideal_response_s([1.0] * 3, slots, 0.0) == pytest.approx(2.0)
