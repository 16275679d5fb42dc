"""A task queue whose tasks may be held for a server that is about to be free.

A held task has left the queue, so that it delays no other task, but it still counts as
a waiting task of its job: it is removed with the job and keeps it from being complete.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.locality import Hold
from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from verbenaplank.admission.queue_protocol import TaskQueueProtocol

HeldKey = tuple[str, int, int]
"""Job id, task index and attempt."""


@attrs.define(eq=False)
class HeldTask:
    """A task that is held for a server.

    Attributes
    ----------
    since_s
        Monotonic time at which it was first held.
    rank
        Random number that decides its place among the tasks of all entries.
    """

    task: TaskRequest
    hold: Hold
    since_s: float
    rank: float

    @property
    def key(self) -> HeldKey:
        """Return the key of the task."""
        return held_key(self.task)

    def order(self) -> tuple[int, float, float]:
        """Return what the tasks held for a rack are ordered by."""
        return (self.task.priority, self.task.goal_s, self.since_s)


def held_key(task: TaskRequest) -> HeldKey:
    """Return the key of a task that may be held."""
    return (task.job_id, task.task_index, task.attempt)


def ignore_drop(held: HeldTask) -> None:
    """Do nothing; the default for ``on_drop``."""


class HoldingQueue:
    """A task queue and the held tasks by rack.

    Parameters
    ----------
    queue
        The queue of tasks that are not held.

    Attributes
    ----------
    on_drop
        Called with each held task whose job has ended.
    """

    def __init__(
        self,
        queue: TaskQueueProtocol,
    ) -> None:
        self._queue = queue
        self.on_drop: Callable[[HeldTask], None] = ignore_drop
        self._by_rack: dict[str, dict[HeldKey, HeldTask]] = {}
        self._by_job: dict[str, dict[HeldKey, HeldTask]] = {}
        self._counts: dict[str, int] = {}
        self._due_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def held_count(self) -> int:
        """Return the number of held tasks."""
        return sum(self._counts.values())

    @property
    def held_by_rack(self) -> Mapping[str, int]:
        """Return the number of held tasks by rack; racks without any are left out."""
        return self._counts

    def push(self, task: TaskRequest, now_s: float) -> None:
        """Add a task."""
        self._queue.push(task, now_s)

    def pop(
        self, now_s: float, placeable: Callable[[TaskRequest], bool]
    ) -> TaskRequest | None:
        """Remove and return the next task that can be placed or held now, if any."""
        return self._queue.pop(now_s, placeable)

    def tasks_ahead(self, urgent: bool) -> int:
        """Return the number of tasks that leave before a new one of this urgency."""
        return self._queue.tasks_ahead(urgent)

    def has_tasks_of(self, job_id: str) -> bool:
        """Return whether tasks of a job are queued or held."""
        return job_id in self._by_job or self._queue.has_tasks_of(job_id)

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove all tasks of a job, held ones included, and return them."""
        held = list(self._by_job.get(job_id, {}).values())
        for item in held:
            self.release(item)
            self.on_drop(item)
        return self._queue.remove_job(job_id) + [item.task for item in held]

    def hold(self, held: HeldTask) -> None:
        """Hold a task that has left the queue, or hold a held one with a new hold."""
        rack = held.hold.rack
        self._by_rack.setdefault(rack, {})[held.key] = held
        self._by_job.setdefault(held.task.job_id, {})[held.key] = held
        self._counts[rack] = len(self._by_rack[rack])
        self._due_s[rack] = min(self._due_s.get(rack, math.inf), held.hold.until_s)

    def release(self, held: HeldTask) -> None:
        """Remove a held task."""
        rack, job_id = held.hold.rack, held.task.job_id
        in_rack, of_job = self._by_rack[rack], self._by_job[job_id]
        del in_rack[held.key], of_job[held.key]
        if in_rack:
            self._counts[rack] = len(in_rack)
        else:
            del self._by_rack[rack], self._counts[rack]
            self._due_s.pop(rack, None)
        if not of_job:
            del self._by_job[job_id]

    def mark_due(self, rack: str) -> None:
        """Have the tasks held for a rack evaluated again, as its state has changed."""
        if rack in self._by_rack:
            self._due_s[rack] = -math.inf

    def take_due(self, now_s: float) -> list[str]:
        """Return the racks whose held tasks are to be evaluated again now.

        They are due again at the earliest time of the holds that are added from then
        on.
        """
        due = [rack for rack, due_s in self._due_s.items() if due_s <= now_s]
        for rack in due:
            del self._due_s[rack]
        return due

    def held_for(self, rack: str) -> list[HeldTask]:
        """Return the tasks held for a rack by priority, goal and age."""
        return sorted(self._by_rack.get(rack, {}).values(), key=HeldTask.order)

    def next_due_s(self) -> float:
        """Return the monotonic time at which a rack is to be evaluated next."""
        return min(self._due_s.values(), default=math.inf)
