"""Replays arrivals at an entry whose queue is longer than its jobs can wait."""

from __future__ import annotations

import attrs
import pytest

from verbenaplank.overload.expected_end import JobOutlook
from verbenaplank.overload.expected_end import QueueAhead
from verbenaplank.overload.expected_end import expected_end_refusal
from verbenaplank.overload.expected_end import expected_start_s
from verbenaplank.placement.room import CapacityUse

MEDIUM = JobOutlook(tasks=2, task_units=1.0, run_s=0.4, goal_in_s=0.9, useless_in_s=2.7)
WIDE = attrs.evolve(MEDIUM, tasks=80)
EMPTY = QueueAhead(work=0.0, own_priority_work=0.0, drain_rate=100.0)
SHORT = attrs.evolve(EMPTY, work=2.0, own_priority_work=2.0)
LONG = attrs.evolve(EMPTY, work=50.0, own_priority_work=50.0)
CLAIMING = attrs.evolve(LONG, smaller_tasks=9)
URGENT = attrs.evolve(EMPTY, work=50.0)
HOPELESS = attrs.evolve(EMPTY, work=900.0, own_priority_work=900.0)
FULL = CapacityUse(own=100.0, others=700.0)
FREE = attrs.evolve(FULL, idle=9.0, free=9.0, free_tasks=9, free_tasks_in_time=9)
SMALL = attrs.evolve(FULL, idle=9.0)


@pytest.mark.parametrize(
    ("what", "job", "queue", "use", "admitted"),
    [
        ("all servers are full, nothing waits", MEDIUM, EMPTY, FULL, True),
        ("a queue that leaves time for the run", MEDIUM, SHORT, FULL, True),
        ("a queue behind which most jobs are late", MEDIUM, LONG, FULL, False),
        ("urgent work ahead, but a share is kept", MEDIUM, URGENT, FULL, True),
        ("a server is free behind a long queue", MEDIUM, LONG, FREE, True),
        ("the queue takes what is free", MEDIUM, CLAIMING, FREE, False),
        ("idle cores, too few on each server", MEDIUM, LONG, SMALL, False),
        ("a wide job that fits in part, and is of use", WIDE, LONG, FREE, True),
        ("a wide job whose last task is useless", WIDE, HOPELESS, FREE, False),
        ("no server is left", MEDIUM, attrs.evolve(SHORT, drain_rate=0.0), FULL, False),
    ],
)
def test_replayed_arrival_is_admitted_or_refused(
    what: str, job: JobOutlook, queue: QueueAhead, use: CapacityUse, admitted: bool
) -> None:
    """Jobs were held until they were late, and refused while servers were free."""
    refusal = expected_end_refusal(job, queue, use)
    assert (refusal is None) is admitted, what
    if refusal is not None:
        assert refusal.wait_s > 0.0
        assert refusal.is_capacity_elsewhere is (use is SMALL)


def test_arriving_urgent_work_delays_lower_priorities() -> None:
    """Jobs waited behind an urgent burst until their latest start, never tried."""
    late = attrs.evolve(LONG, own_priority_work=0.0, demand_above=80.0)
    assert expected_start_s(late, 0.0, keeps_share=False) == pytest.approx(50.0 / 20.0)
    flooded = attrs.evolve(late, demand_above=400.0)
    assert expected_start_s(flooded, 0.0, keeps_share=False) == pytest.approx(5.0)
