"""The place and dispatch stages: waiting tasks go to agents that have room."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry.effects import Effect
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.protocol.work import Dispatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.admission.queue_protocol import TaskQueueProtocol
    from verbenaplank.entry.dispatch_table import DispatchBook
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.jobs import JobTable
    from verbenaplank.entry.submission import Submission
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.placement.task import TaskRequest

MILLISECONDS_PER_SECOND = 1000


class Placer:
    """Dispatches waiting tasks for as long as one of them can be placed."""

    def __init__(
        self,
        *,
        jobs: JobTable,
        book: DispatchBook,
        queue: TaskQueueProtocol,
        fleet: Fleet,
        effects: list[Effect],
        on_dispatch: Callable[[DispatchRecord], None],
    ) -> None:
        self._jobs = jobs
        self._book = book
        self._queue = queue
        self._fleet = fleet
        self._effects = effects
        self._on_dispatch = on_dispatch
        self._incarnations: dict[str, str] = {}

    def connected(self, agent_id: str, incarnation: str) -> None:
        """Use an agent's incarnation in dispatches from now on."""
        self._incarnations[agent_id] = incarnation

    def disconnected(self, agent_id: str) -> None:
        """Dispatch nothing to an agent until it is connected again."""
        self._incarnations.pop(agent_id, None)

    def is_connected(self, agent_id: str) -> bool:
        """Tell whether dispatches can be sent to an agent."""
        return agent_id in self._incarnations

    def place_all(self, now_s: float) -> None:
        """Dispatch every waiting task that an agent has room for."""
        while len(self._queue):
            chosen = _Choice()
            task = self._queue.pop(now_s, self._choose_into(chosen, now_s))
            if task is None:
                return
            self._dispatch(task, chosen.agent_id, now_s)

    def place_again(self, task: TaskRequest, now_s: float) -> bool:
        """Dispatch one more run of a task; tell whether another agent had room."""
        agent_id = self._choose(task, now_s)
        if agent_id is None or agent_id in task.avoided_members:
            return False
        self._dispatch(task, agent_id, now_s)
        return True

    def _choose_into(
        self, chosen: _Choice, now_s: float
    ) -> Callable[[TaskRequest], bool]:
        def placeable(task: TaskRequest) -> bool:
            agent_id = self._choose(task, now_s)
            if agent_id is None:
                return False
            chosen.agent_id = agent_id
            return True

        return placeable

    def _choose(self, task: TaskRequest, now_s: float) -> str | None:
        agent_id = self._fleet.choose_agent(task, now_s, len(self._queue))
        return agent_id if agent_id in self._incarnations else None

    def _dispatch(self, task: TaskRequest, agent_id: str, now_s: float) -> None:
        job = self._jobs.running(task.job_id)
        if job is None:
            return
        incarnation = self._incarnations[agent_id]
        record = self._book.record(task, agent_id, incarnation, now_s)
        self._fleet.record_dispatch(agent_id, task, now_s)
        self._on_dispatch(record)
        dispatch = dispatch_message(
            job.submission, task, record.dispatch_id, incarnation, now_s
        )
        self._effects.append(SendToAgent(agent_id, dispatch))


@attrs.define
class _Choice:
    agent_id: str = ""


def dispatch_message(
    submission: Submission,
    task: TaskRequest,
    dispatch_id: int,
    agent_incarnation: str,
    now_s: float,
) -> Dispatch:
    """Return the message that carries a task to its agent."""
    return Dispatch(
        job_id=task.job_id,
        task_index=task.task_index,
        dispatch_id=dispatch_id,
        agent_incarnation=agent_incarnation,
        service=task.service,
        payload=submission.payloads[task.task_index],
        start_budget_ms=(task.deadline_s - now_s) * MILLISECONDS_PER_SECOND,
        run_budget_ms=submission.run_timeout_ms,
        attempt=task.attempt,
        urgent=task.urgent,
        needs=task.needs,
    )
