from __future__ import annotations

import attrs

from verbenaplank.placement.task import TaskRequest


def task(job: str = "job", index: int = 0, **changes: object) -> TaskRequest:
    request = TaskRequest(
        job_id=job, task_index=index, service="fixtures", team="bochas"
    )
    return attrs.evolve(request, **changes)
