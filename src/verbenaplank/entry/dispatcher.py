"""Assigns waiting tasks to agents and dispatches them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.admission.queue_protocol import Choice
from verbenaplank.crashes.limit import StartPermission
from verbenaplank.crashes.limit import start_permission
from verbenaplank.entry.effects import Effect
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.entry.holding_queue import level_of
from verbenaplank.placement.locality import Hold
from verbenaplank.placement.locality import Place
from verbenaplank.placement.locality import weighs_waiting
from verbenaplank.placement.unplaceable import UnplaceableNeeds
from verbenaplank.protocol.work import Dispatch

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from verbenaplank.crashes.history import CrashHistory
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.dispatch_table import DispatchTable
    from verbenaplank.entry.holding_queue import HoldingQueue
    from verbenaplank.entry.holding_queue import Level
    from verbenaplank.entry.holds import Holds
    from verbenaplank.entry.jobs import JobTable
    from verbenaplank.entry.submission import Submission
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.placement.task import TaskRequest

MS_PER_S = 1000


class Dispatcher:
    """Dispatches waiting tasks to connected agents that can take them."""

    def __init__(
        self,
        *,
        jobs: JobTable,
        dispatch_table: DispatchTable,
        queue: HoldingQueue,
        holds: Holds,
        fleet: Fleet,
        effects: list[Effect],
        on_dispatch: Callable[[DispatchRecord], None],
        crashes: CrashHistory,
    ) -> None:
        self._crashes = crashes
        self._jobs = jobs
        self._dispatch_table = dispatch_table
        self._queue = queue
        self._holds = holds
        self._fleet = fleet
        self._effects = effects
        self._on_dispatch = on_dispatch
        self._incarnations: dict[str, str] = {}

    def enable_agent(self, agent_id: str, incarnation: str) -> None:
        """Allow dispatches to an agent, addressed to the given incarnation."""
        self._incarnations[agent_id] = incarnation

    def disable_agent(self, agent_id: str) -> None:
        """Stop dispatching to an agent until it is enabled again."""
        self._incarnations.pop(agent_id, None)

    def is_agent_enabled(self, agent_id: str) -> bool:
        """Return whether dispatches can be sent to an agent."""
        return agent_id in self._incarnations

    def dispatch_waiting(self, now_s: float) -> None:
        """Dispatch waiting tasks until no agent can take any of them.

        The held tasks that are to be evaluated again go before the queued tasks of
        their level, and after those of the levels before it.
        """
        racks = self._queue.take_due(now_s)
        unplaceable: dict[str, UnplaceableNeeds] = defaultdict(UnplaceableNeeds)
        for level in self._holds.due_levels(racks):
            self._dispatch_queued(unplaceable, now_s, before=level)
            for rack, changed in racks.items():
                self._dispatch_held(rack, level, now_s, changed=changed)
        self._dispatch_queued(unplaceable, now_s)

    def _dispatch_queued(
        self,
        unplaceable: Mapping[str, UnplaceableNeeds],
        now_s: float,
        before: Level | None = None,
    ) -> None:
        """Dispatch or hold queued tasks, only those before a level if there is one."""
        if not len(self._queue):
            return
        chosen = _ChosenAgent()
        choose = self._agent_chooser(chosen, unplaceable, now_s, before)
        while len(self._queue):
            task = self._queue.pop(now_s, choose)
            if task is None:
                break
            if chosen.hold is not None:
                self._holds.hold(task, chosen.hold, now_s)
                continue
            if chosen.place is not None:
                self._holds.count_placed(task, chosen.place)
            self._dispatch(task, chosen.agent_id, now_s)

    def _dispatch_held(
        self, rack: str, level: Level, now_s: float, *, changed: bool
    ) -> None:
        """Decide again about the tasks of a level that are held for a rack."""
        for held, decision in self._holds.decide_again(
            rack, level, now_s, changed=changed, is_enabled=self.is_agent_enabled
        ):
            if not isinstance(decision, Place):
                continue
            self._holds.count_placed(held.task, decision)
            self._queue.record_start(held.task)
            self._dispatch(held.task, decision.member_id, now_s)

    def dispatch_elsewhere(self, task: TaskRequest, now_s: float) -> bool:
        """Dispatch another run of a task to an agent that is not to be avoided.

        Returns
        -------
        bool
            Whether such an agent can take the task now.
        """
        agent_id = self._choose_agent(task, now_s)
        if agent_id is None or agent_id in task.avoided_members:
            return False
        self._dispatch(task, agent_id, now_s)
        return True

    def _agent_chooser(
        self,
        chosen: _ChosenAgent,
        unplaceable: Mapping[str, UnplaceableNeeds],
        now_s: float,
        before: Level | None,
    ) -> Callable[[TaskRequest], Choice]:
        """Return a function that stores the agent chosen for a task in ``chosen``.

        Only a lack of capacity is reported as one; a task that the crash limit or
        ``before`` keeps back is not tried.
        The servers of a rack are added to the candidates of the tasks that prefer it,
        so what could not be placed is remembered by preferred rack.
        """

        def choose(task: TaskRequest) -> Choice:
            if before is not None and level_of(task) >= before:
                return Choice.NOT_NOW
            chosen.place = chosen.hold = None
            if not self._may_start(task):
                return Choice.NOT_NOW
            known = unplaceable[task.preferred_rack]
            if known.covers(task):
                return Choice.NO_CAPACITY
            if weighs_waiting(task):
                decision = self._holds.decide(task, now_s)
                if isinstance(decision, Hold):
                    chosen.hold = decision
                    return Choice.HELD
                chosen.place = decision
                agent_id = self._enabled(decision.member_id if decision else None)
            else:
                agent_id = self._choose_agent(task, now_s)
            if agent_id is None:
                if not self._fleet.avoids_servers(task):
                    known.add(task)
                return Choice.NO_CAPACITY
            chosen.agent_id = agent_id
            return Choice.PLACED

        return choose

    def _may_start(self, task: TaskRequest) -> bool:
        permission = start_permission(self._crashes, task.name)
        return permission is StartPermission.GRANTED

    def _choose_agent(self, task: TaskRequest, now_s: float) -> str | None:
        return self._enabled(self._fleet.choose_agent(task, now_s, len(self._queue)))

    def _enabled(self, agent_id: str | None) -> str | None:
        return agent_id if agent_id in self._incarnations else None

    def _dispatch(self, task: TaskRequest, agent_id: str, now_s: float) -> None:
        job = self._jobs.find_running(task.job_id)
        if job is None:
            return
        incarnation = self._incarnations[agent_id]
        record = self._dispatch_table.add(task, agent_id, incarnation, now_s)
        self._fleet.record_dispatch(agent_id, task, now_s)
        self._on_dispatch(record)
        dispatch = build_dispatch(
            job.submission, task, record.dispatch_id, incarnation, now_s
        )
        self._effects.append(SendToAgent(agent_id, dispatch))


@attrs.define
class _ChosenAgent:
    agent_id: str = ""
    place: Place | None = None
    hold: Hold | None = None


def build_dispatch(
    submission: Submission,
    task: TaskRequest,
    dispatch_id: int,
    agent_incarnation: str,
    now_s: float,
) -> Dispatch:
    """Return the dispatch message for a task."""
    return Dispatch(
        job_id=task.job_id,
        task_index=task.task_index,
        dispatch_id=dispatch_id,
        agent_incarnation=agent_incarnation,
        service=task.service,
        payload=submission.payloads[task.task_index],
        start_budget_ms=(task.deadline_s - now_s) * MS_PER_S,
        run_budget_ms=submission.run_timeout_ms,
        attempt=task.attempt,
        urgent=task.urgent,
        needs=task.needs,
    )
