from __future__ import annotations

import pytest

from verbenaplank.agent.report_pacing import ReportPacing
from verbenaplank.agent.worker_capacity import WorkerCapacity
from verbenaplank.placement.task import Resources


def reports(headroom: list[float]) -> list[bool]:
    pacing = ReportPacing()
    return [pacing.is_due(value) for value in headroom]


def test_changes_far_from_full_are_not_reported_at_once() -> None:
    """Each report goes to every entry that is connected."""
    assert reports([6.0, 5.2, 2.0, 3.4, 6.0]) == [False] * 5


def test_each_change_of_a_nearly_full_worker_is_reported() -> None:
    """Entries wait for the last capacity, or would be refused."""
    assert reports([2.4, 1.4, 0.4, 0.2, 1.0, 3.0, 4.0]) == [
        False,
        True,
        True,
        False,
        True,
        True,
        False,
    ]


@pytest.mark.parametrize(
    ("in_use", "expected"),
    [
        ([], 350.0),
        ([Resources(cores=10.0)] * 5, 1.4),
        ([Resources(cores=4.0), Resources(cores=20.0)], 2.0),
        ([Resources(cores=10.0)] * 7, -0.6),
        ([Resources()] * 349, 1.0),
    ],
)
def test_headroom_follow_from_the_largest_task(
    in_use: list[Resources], expected: float
) -> None:
    capacity = WorkerCapacity(slots=350, size=Resources(cores=64.0, memory_mb=1))
    assert capacity.headroom(in_use) == pytest.approx(expected)
