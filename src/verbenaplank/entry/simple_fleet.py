"""A placement that takes the agent with the fewest tasks of this entry."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.placement.task import Needs
    from verbenaplank.placement.task import TaskRequest
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.work import LoadReport
    from verbenaplank.protocol.work import TaskOutcome


@attrs.define
class _Agent:
    member: Member
    slots: int = 0
    outstanding: int = 0
    draining: bool = False


class SimpleFleet:
    """Least outstanding tasks, at most the slots of each agent."""

    def __init__(self) -> None:
        self._agents: dict[str, _Agent] = {}

    def join(self, member: Member, now_s: float) -> None:
        """Take in a member that joined or changed."""
        agent = self._agents.setdefault(member.member_id, _Agent(member))
        agent.member = member
        agent.draining = member.draining

    def leave(self, member_id: str, now_s: float) -> None:
        """Drop a member."""
        self._agents.pop(member_id, None)

    def connected(
        self, member_id: str, incarnation: str, slots: int, now_s: float
    ) -> None:
        """Note that dispatches can reach an agent."""
        self._agents[member_id].slots = slots

    def disconnected(self, member_id: str, now_s: float) -> None:
        """Note that no dispatch can reach an agent."""
        agent = self._agents.get(member_id)
        if agent is not None:
            agent.slots = 0

    def load_reported(self, member_id: str, report: LoadReport, now_s: float) -> None:
        """Take in what an agent says of its load."""
        agent = self._agents.get(member_id)
        if agent is not None:
            agent.draining = report.draining

    def choose(self, task: TaskRequest, now_s: float) -> str | None:
        """Return an agent's id, or ``None`` to hold the task at the entry."""
        candidates = [
            (name in task.avoided_members, agent.outstanding, name)
            for name, agent in self._agents.items()
            if agent.outstanding < agent.slots
            and not agent.draining
            and task.service in agent.member.services
        ]
        return min(candidates)[2] if candidates else None

    def dispatched(self, member_id: str, task: TaskRequest, now_s: float) -> None:
        """Note a dispatch."""
        self._add(member_id, 1)

    def finished(
        self,
        member_id: str,
        task: TaskRequest,
        outcome: TaskOutcome,
        run_time_s: float,
        now_s: float,
    ) -> None:
        """Note the end of a run."""
        self._add(member_id, -1)

    def released(self, member_id: str, task: TaskRequest, now_s: float) -> None:
        """Note that a dispatch never started."""
        self._add(member_id, -1)

    def possibility(self, service: str, needs: Needs) -> bool:
        """Tell whether a known agent could ever run such a task."""
        return any(
            service in agent.member.services
            and needs.cores <= agent.member.worker.cores
            and needs.memory_mb <= agent.member.worker.memory_mb
            and needs.accelerators <= agent.member.worker.accelerators
            for agent in self._agents.values()
        )

    def _add(self, member_id: str, count: int) -> None:
        agent = self._agents.get(member_id)
        if agent is not None:
            agent.outstanding += count


class SimpleQueue:
    """First in, first out."""

    def __init__(self) -> None:
        self._tasks: deque[TaskRequest] = deque()

    def __len__(self) -> int:
        return len(self._tasks)

    def push(self, task: TaskRequest, now_s: float) -> None:
        """Add a task."""
        self._tasks.append(task)

    def pop(
        self, now_s: float, placeable: Callable[[TaskRequest], bool]
    ) -> TaskRequest | None:
        """Take the next task that is placeable, or ``None``."""
        for index, task in enumerate(self._tasks):
            if placeable(task):
                del self._tasks[index]
                return task
        return None

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove the tasks of a job."""
        removed = [task for task in self._tasks if task.job_id == job_id]
        self._tasks = deque(task for task in self._tasks if task.job_id != job_id)
        return removed
