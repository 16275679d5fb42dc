"""Interface that an entry requires of its queue of tasks."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.placement.task import TaskRequest


class Choice(Enum):
    """What is decided about the next task of a queue; true if it leaves the queue.

    ``PLACED``: a server takes it.
    ``HELD``: it waits for a server outside the queue.
    ``NO_CAPACITY``: no server has capacity for it.
    ``NOT_NOW``: it may not start yet, whatever the servers have free.
    """

    PLACED = "placed"
    HELD = "held"
    NO_CAPACITY = "no_capacity"
    NOT_NOW = "not_now"

    def __bool__(self) -> bool:
        return self in {Choice.PLACED, Choice.HELD}


class TaskQueueProtocol(Protocol):
    """Tasks that wait at an entry for a backend server."""

    def __len__(self) -> int:
        """Return the number of queued tasks."""

    def push(self, task: TaskRequest, now_s: float) -> None:
        """Add a task."""

    def pop(
        self, now_s: float, placeable: Callable[[TaskRequest], Choice | bool]
    ) -> TaskRequest | None:
        """Remove and return the next task that can be placed now, if any.

        A plain ``False`` of ``placeable`` is a lack of capacity.
        """

    def record_start(self, task: TaskRequest) -> None:
        """Count the start of a task that was held after it had left the queue."""

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove all tasks of a job and return them."""

    def has_tasks_of(self, job_id: str) -> bool:
        """Return whether tasks of a job are queued."""

    def tasks_ahead(self, urgent: bool) -> int:
        """Return the number of tasks that leave before a new one of this urgency."""
