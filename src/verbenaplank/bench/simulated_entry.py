"""Simulated entry that runs the real admission and placement code."""

from __future__ import annotations

import random
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

import attrs

from verbenaplank.admission.budget import retry_budget
from verbenaplank.admission.estimate import StartRate
from verbenaplank.admission.estimate import estimate
from verbenaplank.admission.queue import TaskQueue
from verbenaplank.bench.scenario import SLOTS_PER_SERVER
from verbenaplank.bench.simulated_agent import SimulatedAgent
from verbenaplank.bench.simulated_agent import SimulatedDispatch
from verbenaplank.bench.trace import TracedJob
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.task import TaskRequest
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from verbenaplank.bench.event_loop import EventLoop
    from verbenaplank.placement.policy import Policy

DATA_CENTRES = ("norte", "sur", "santa-fe")
LOCAL_ONE_WAY_DELAY_S = 0.000_25
REMOTE_ONE_WAY_DELAY_S = 0.001_5
SERVERS_PER_RACK = 3
JOB_DEADLINE_S = 30.0
MAX_RUNS = 3
DISPATCH_PERIOD_S = 0.02


@attrs.define(eq=False)
class _Job:
    traced: TracedJob
    remaining_tasks: int
    failed: bool = False


@attrs.define
class SimulationResult:
    """Results of a simulation, added up over all entries.

    Attributes
    ----------
    completed_jobs
        Each completed job with its response time in seconds.
    counts
        Numbers of useful and wasted messages, of failed runs, and of refused
        and failed jobs.
    """

    completed_jobs: list[tuple[TracedJob, float]] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)


class SimulatedEntry:
    """Entry that admits jobs, dispatches their tasks and collects the results."""

    def __init__(
        self,
        index: int,
        policy: Policy,
        agents: list[SimulatedAgent],
        loop: EventLoop,
        result: SimulationResult,
        service: str,
    ) -> None:
        self._data_centre = DATA_CENTRES[index]
        self.fleet = Fleet(policy, random.Random(index), self._data_centre)
        self._agents = {agent.agent_id: agent for agent in agents}
        self._loop = loop
        self._result = result
        self._queue = TaskQueue(work_s_of=self.fleet.expected_run_time_s)
        self._jobs: dict[str, _Job] = {}
        self._retries = retry_budget()
        self._start_rate = StartRate()
        self._has_quarantined = False
        for agent in agents:
            self._add_agent(agent, service)
        loop.call_later(DISPATCH_PERIOD_S, self._dispatch_periodically)

    def submit(self, traced: TracedJob) -> None:
        """Admit and queue a job that arrives now, or refuse it.

        A job is refused if its deadline is not expected to be met.
        """
        now_s = self._loop.now_s
        tasks = self._create_tasks(traced)
        forecast = estimate(
            tasks=len(tasks),
            tasks_ahead=self._queue.tasks_ahead(traced.urgent),
            start_rate_per_s=self._start_rate.per_s(now_s),
            slots=self.fleet.capacity.slots_of(traced.service),
            run_time_s=self.fleet.expected_run_time_s(tasks[0]),
            remaining_s=JOB_DEADLINE_S,
        )
        if not forecast.feasible:
            self._result.counts["refused_jobs"] += 1
            return
        self._jobs[traced.job_id] = _Job(traced, len(tasks))
        for task in tasks:
            self._queue.push(task, now_s)
        self._dispatch_queued()

    def _create_tasks(self, traced: TracedJob) -> list[TaskRequest]:
        return [
            TaskRequest(
                job_id=traced.job_id,
                task_index=index,
                service=traced.service,
                team=traced.team,
                urgent=traced.urgent,
                declared_run_time_s=traced.declared_run_time_s,
                deadline_s=self._loop.now_s + JOB_DEADLINE_S,
            )
            for index in range(len(traced.run_times_s))
        ]

    def _add_agent(self, agent: SimulatedAgent, service: str) -> None:
        member = Member(
            member_id=agent.agent_id,
            role=MemberRole.AGENT,
            incarnation="1",
            data_centre=_data_centre_of(agent),
            address="",
            rack=f"rack-{agent.index // SERVERS_PER_RACK}",
            services=(service,),
            slots=SLOTS_PER_SERVER,
        )
        self.fleet.add_or_update(member, 0.0)
        self.fleet.mark_connected(agent.agent_id, "1", SLOTS_PER_SERVER, 0.0)

    def _dispatch_periodically(self) -> None:
        self._dispatch_queued()
        self._loop.call_later(DISPATCH_PERIOD_S, self._dispatch_periodically)

    def _dispatch_queued(self) -> None:
        now_s = self._loop.now_s
        chosen_agent_id: str | None = None

        def find_agent(task: TaskRequest) -> bool:
            nonlocal chosen_agent_id
            chosen_agent_id = self.fleet.choose_agent(task, now_s, len(self._queue))
            return chosen_agent_id is not None

        while self._queue:
            task = self._queue.pop(now_s, find_agent)
            if task is None or chosen_agent_id is None:
                return
            self._dispatch(chosen_agent_id, task)

    def _dispatch(self, agent_id: str, task: TaskRequest) -> None:
        agent = self._agents[agent_id]
        one_way_delay_s = LOCAL_ONE_WAY_DELAY_S
        if _data_centre_of(agent) != self._data_centre:
            one_way_delay_s = REMOTE_ONE_WAY_DELAY_S
        self.fleet.record_dispatch(agent_id, task, self._loop.now_s)
        self._start_rate.record_starts(self._loop.now_s)
        if task.attempt == 1:
            self._retries.record_starts()

        def reply(
            outcome: TaskOutcome | None, run_s: float, report: LoadReport
        ) -> None:
            deliver = partial(
                self._receive_reply, agent_id, task, outcome, run_s, report
            )
            self._loop.call_later(one_way_delay_s, deliver)

        run_s = self._jobs[task.job_id].traced.run_times_s[task.task_index]
        dispatch = SimulatedDispatch(task=task, run_time_s=run_s, reply=reply)
        self._loop.call_later(one_way_delay_s, partial(agent.receive, dispatch))

    def _receive_reply(
        self,
        agent_id: str,
        task: TaskRequest,
        outcome: TaskOutcome | None,
        run_s: float,
        report: LoadReport,
    ) -> None:
        now_s = self._loop.now_s
        if outcome is None:
            self.fleet.remove_dispatch(agent_id, task, now_s)
            self._result.counts["wasted"] += 2
            self._queue.push(task, now_s)
        else:
            self.fleet.record_result(agent_id, task, outcome, run_s, now_s)
            if outcome is TaskOutcome.FAILED and not self._has_quarantined:
                self._result.counts["failed_before_quarantine"] += 1
                self._has_quarantined = bool(self.fleet.quarantined_agents(now_s))
            self._record_outcome(agent_id, task, outcome)
        self.fleet.record_load_report(agent_id, report, now_s)
        self._dispatch_queued()

    def _record_outcome(
        self, agent_id: str, task: TaskRequest, outcome: TaskOutcome
    ) -> None:
        job = self._jobs.get(task.job_id)
        if outcome is TaskOutcome.SUCCEEDED:
            self._result.counts["useful"] += 2
            if job is not None:
                self._record_task_success(job)
            return
        self._result.counts["failed_runs"] += 1
        self._result.counts["wasted"] += 2
        if job is None:
            return
        if task.attempt < MAX_RUNS and self._retries.try_take():
            avoided_members = task.avoided_members | {agent_id}
            retry = attrs.evolve(
                task, attempt=task.attempt + 1, avoided_members=avoided_members
            )
            self._queue.push(retry, self._loop.now_s)
            return
        self._result.counts["failed_jobs"] += 1
        del self._jobs[task.job_id]
        self._queue.remove_job(task.job_id)

    def _record_task_success(self, job: _Job) -> None:
        job.remaining_tasks -= 1
        if job.remaining_tasks:
            return
        response_s = self._loop.now_s - job.traced.arrival_s
        self._result.completed_jobs.append((job.traced, response_s))
        del self._jobs[job.traced.job_id]


def _data_centre_of(agent: SimulatedAgent) -> str:
    return DATA_CENTRES[agent.index % len(DATA_CENTRES)]
