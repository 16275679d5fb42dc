"""Interface that an entry requires of its queue of tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.placement.task import TaskRequest


class TaskQueueProtocol(Protocol):
    """Tasks that wait at an entry for a backend server."""

    def __len__(self) -> int:
        """Return the number of queued tasks."""

    def push(self, task: TaskRequest, now_s: float) -> None:
        """Add a task."""

    def pop(
        self, now_s: float, placeable: Callable[[TaskRequest], bool]
    ) -> TaskRequest | None:
        """Remove and return the next task that can be placed now, if any."""

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove all tasks of a job and return them."""

    def has_tasks_of(self, job_id: str) -> bool:
        """Return whether tasks of a job are queued."""

    def tasks_ahead(self, urgent: bool) -> int:
        """Return the number of tasks that leave before a new one of this urgency."""
