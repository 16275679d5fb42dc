from __future__ import annotations

import pytest

from verbenaplank.placement.locality import weighs_waiting
from verbenaplank.placement.task import TaskRequest


@pytest.mark.parametrize(
    ("rack", "factor", "ends_wide_job", "expected"),
    [
        ("r1", 2.0, False, True),
        ("r1", 1.0, False, True),
        ("", 2.0, True, True),
        ("", 2.0, False, False),
        ("", 1.0, True, False),
    ],
)
def test_tasks_without_a_rack_do_not_wait_for_faster_servers(
    rack: str, factor: float, ends_wide_job: bool, expected: bool
) -> None:
    """Guards against free servers that stay idle while tasks wait for faster ones."""
    task = TaskRequest(
        job_id="job",
        task_index=0,
        service="service",
        team="team",
        preferred_rack=rack,
        remote_factor=factor,
        ends_wide_job=ends_wide_job,
    )
    assert weighs_waiting(task) is expected
