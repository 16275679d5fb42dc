"""A task queue whose tasks may be held for a server that is about to be free.

A held task has left the queue, so that it delays no other task, but it still counts as
a waiting task of its job: it is removed with the job and keeps it from being complete.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
from sortedcontainers import SortedKeyList

from verbenaplank.placement.locality import Hold
from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from verbenaplank.admission.queue_protocol import Choice
    from verbenaplank.admission.queue_protocol import TaskQueueProtocol

HeldKey = tuple[str, int, int]
"""Job id, task index and attempt."""

Level = tuple[bool, int]
"""Precedence of a task; a smaller one goes first."""

Order = tuple[Level, float, float, HeldKey]
"""Place of a held task among those of its rack; no two are equal."""


def level_of(task: TaskRequest) -> Level:
    """Return the precedence of a task by its urgency and priority."""
    return (not task.urgent, task.priority)


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

    def order(self) -> Order:
        """Return what the tasks held for a rack are ordered by."""
        return (level_of(self.task), self.task.goal_s, self.since_s, self.key)


@attrs.frozen(kw_only=True)
class Evaluation:
    """An evaluation of the tasks of a rack and level, which may take several flushes.

    Attributes
    ----------
    after
        Order of the last task that was evaluated, or ``None``.
    changed
        Whether the tasks whose hold has not ended are evaluated too.
    restarts
        Whether all tasks are evaluated again afterwards, as the load of the rack has
        changed in between.
    """

    after: Order | None = None
    changed: bool
    restarts: bool = False


def held_key(task: TaskRequest) -> HeldKey:
    """Return the key of a task that may be held."""
    return (task.job_id, task.task_index, task.attempt)


def ignore_drop(held: HeldTask, now_s: float) -> None:
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
        Called with each held task whose job has ended, and the time.
    """

    def __init__(
        self,
        queue: TaskQueueProtocol,
    ) -> None:
        self._queue = queue
        self.on_drop: Callable[[HeldTask, float], None] = ignore_drop
        self._by_rack: dict[str, SortedKeyList[HeldTask]] = {}
        self._by_job: dict[str, dict[HeldKey, HeldTask]] = {}
        self._counts: dict[str, int] = {}
        self._due_s: dict[str, float] = {}
        self._changed: set[str] = set()
        self._unfinished: dict[tuple[str, Level], Evaluation] = {}
        self._continued: dict[tuple[str, Level], Evaluation] = {}

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
        self, now_s: float, placeable: Callable[[TaskRequest], Choice | bool]
    ) -> TaskRequest | None:
        """Remove and return the next task that can be placed or held now, if any."""
        return self._queue.pop(now_s, placeable)

    def record_start(self, task: TaskRequest) -> None:
        """Count the start of a task that was held."""
        self._queue.record_start(task)

    def tasks_ahead(self, urgent: bool) -> int:
        """Return the number of tasks that leave before a new one of this urgency."""
        return self._queue.tasks_ahead(urgent)

    def has_tasks_of(self, job_id: str) -> bool:
        """Return whether tasks of a job are queued or held."""
        return job_id in self._by_job or self._queue.has_tasks_of(job_id)

    def remove_job(self, job_id: str, now_s: float) -> list[TaskRequest]:
        """Remove all tasks of a job, held ones included, and return them."""
        held = list(self._by_job.get(job_id, {}).values())
        for item in held:
            self.release(item)
            self.on_drop(item, now_s)
        return self._queue.remove_job(job_id) + [item.task for item in held]

    def hold(self, held: HeldTask) -> None:
        """Hold a task that has left the queue."""
        rack = held.hold.rack
        if rack not in self._by_rack:
            self._by_rack[rack] = SortedKeyList(key=HeldTask.order)
        self._by_rack[rack].add(held)
        self._by_job.setdefault(held.task.job_id, {})[held.key] = held
        self._counts[rack] = len(self._by_rack[rack])
        self.require_decision(held)

    def release(self, held: HeldTask) -> None:
        """Remove a held task."""
        rack, job_id = held.hold.rack, held.task.job_id
        in_rack, of_job = self._by_rack[rack], self._by_job[job_id]
        in_rack.remove(held)
        del of_job[held.key]
        if in_rack:
            self._counts[rack] = len(in_rack)
        else:
            del self._by_rack[rack], self._counts[rack]
            self._due_s.pop(rack, None)
            self._changed.discard(rack)
        if not of_job:
            del self._by_job[job_id]

    def require_decision(self, held: HeldTask) -> None:
        """Have the rack of a held task evaluated at the time of its hold."""
        rack = held.hold.rack
        self._due_s[rack] = min(self._due_s.get(rack, math.inf), held.hold.until_s)

    def mark_changed(self, rack: str) -> None:
        """Have the held tasks of a rack evaluated that may have capacity there now."""
        if rack in self._by_rack:
            self._changed.add(rack)

    def mark_due(self, rack: str) -> None:
        """Have all tasks held for a rack evaluated, as servers left or joined it."""
        for held in self._by_rack.get(rack, ()):
            held.hold = attrs.evolve(held.hold, until_s=-math.inf)
            self._due_s[rack] = -math.inf

    def mark_all_due(self) -> None:
        """Have all held tasks evaluated."""
        for rack in self._by_rack:
            self.mark_due(rack)

    def take_due(self, now_s: float) -> dict[str, bool]:
        """Return the racks to evaluate now, and whether their load has changed.

        They are due again at the earliest time of the holds that have not ended.
        Racks with an unfinished evaluation are among them.
        """
        due = {rack for rack, due_s in self._due_s.items() if due_s <= now_s}
        changed, self._changed = self._changed, set()
        self._continued, self._unfinished = self._unfinished, {}
        unfinished = {rack for rack, _ in self._continued}
        for rack in due:
            left = [held.hold.until_s for held in self._by_rack[rack]]
            self._due_s[rack] = min(
                (until_s for until_s in left if until_s > now_s), default=math.inf
            )
        racks = sorted(due | changed | unfinished)
        return {rack: rack in changed for rack in racks}

    def begin_or_continue(
        self, rack: str, level: Level, *, changed: bool
    ) -> Evaluation:
        """Return the evaluation that the last flush left unfinished, or a new one.

        If the load has ``changed`` in between, it continues nevertheless, since the
        last tasks would never be evaluated otherwise, and then begins again.
        """
        left = self._continued.get((rack, level))
        if left is None or left.after is None:
            return Evaluation(changed=changed or left is not None)
        return attrs.evolve(
            left,
            changed=changed or left.changed,
            restarts=changed or left.restarts,
        )

    def leave_unfinished(self, rack: str, level: Level, left: Evaluation) -> None:
        """Have the next flush continue an evaluation."""
        self._unfinished[rack, level] = left

    def held_for(self, rack: str) -> Sequence[HeldTask]:
        """Return the tasks held for a rack by priority, goal and age."""
        return list(self._by_rack.get(rack, ()))

    def next_due_s(self) -> float:
        """Return the monotonic time at which a rack is to be evaluated next.

        It is minus infinity if the last evaluation has left tasks out.
        """
        if self._changed or self._unfinished:
            return -math.inf
        return min(self._due_s.values(), default=math.inf)
