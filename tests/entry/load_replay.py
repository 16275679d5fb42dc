"""Replays a load on entries that share agents, with injected time."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from entry.messages import SERVICE
from entry.messages import agent_member
from entry.messages import refused
from entry.messages import result
from entry.messages import revocation
from verbenaplank.admission.budget import StartBudget
from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.entry.effects import JobCompleted
from verbenaplank.entry.effects import JobFailed
from verbenaplank.entry.engine import Engine
from verbenaplank.entry.hopeless_jobs import HopelessJobs
from verbenaplank.entry.jobs import task_request
from verbenaplank.entry.routed_admission import RoutedAdmission
from verbenaplank.entry.routed_job import RoutedJob
from verbenaplank.entry.routed_job import apply_remote_factor
from verbenaplank.entry.routed_job import routed_submission
from verbenaplank.entry.service_loads import EntryView
from verbenaplank.entry.service_loads import ServiceLoads
from verbenaplank.outcome.failure import RunState
from verbenaplank.overload.job_memory import JobMemory
from verbenaplank.overload.loop_lag import LoopLag
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.placement.task import Resources
from verbenaplank.protocol import work
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.routing.table import Route
from verbenaplank.routing.weighing import weighs_waits

STEP_S = 0.01
TICK_S = 0.05
SLOTS = 64
SPREAD = 0.15

MAX_JOB_BYTES = 32_000_000


def route(name: str, priority: int) -> Route:
    return Route(
        name=name,
        host="one.example",
        path_prefix=f"/{name}/",
        service=SERVICE,
        priority=priority,
        target_latency_ms=61,
        stretch=1.6,
        max_attempts=2,
    )


SHORT, MEDIUM, LONG = route("short", 0), route("medium", 1), route("long", 2)


@attrs.frozen
class Kind:
    route: Route
    tasks: int
    cores: float
    run_s: float


@attrs.frozen
class Arrival:
    at_s: float
    kind: Kind
    entry: int = 0


@attrs.define
class End:
    """How a replayed job ended; ``wait_s`` is the time since its arrival."""

    kind: Kind
    at_s: float
    outcome: str = "open"
    wait_s: float = 0.0
    goal_s: float = 0.0
    useless_s: float = 0.0
    retry_after_s: float | None = None

    @property
    def worth(self) -> float:
        if self.outcome != "served":
            return 0.0
        return (
            1.0 if self.wait_s <= self.goal_s else 0.2 * (self.wait_s <= self.useless_s)
        )


def arrivals(
    kind: Kind, per_s: float, begin_s: float, end_s: float, seed: int, entry: int = 0
) -> list[Arrival]:
    source = random.Random(seed)
    found, at_s = [], begin_s
    while (at_s := at_s + source.expovariate(per_s)) < end_s:
        found.append(Arrival(at_s, kind, entry))
    return found


class ReplayedEntry:
    def __init__(self, replay: Replay, number: int) -> None:
        self.fleet = Fleet(least_expected_completion, random.Random(number), "Kochi")
        self.queue = GoalQueue(self.fleet.expected_run_time_s, self.fleet.pool_of_task)
        self.engine = Engine(
            fleet=self.fleet,
            queue=self.queue,
            retry_budget=StartBudget(0.1),
            lease_held_since=lambda _: 0.0,
        )
        view = EntryView(
            entry_count=lambda: len(replay.entries),
            is_current=lambda: True,
            time_left_s=lambda: 1e9,
        )
        loads = ServiceLoads(
            fleet=self.fleet,
            queue=self.queue,
            clock=lambda: replay.now_s,
            view=view,
            startup_ends_s=0.0,
        )
        self.admission = RoutedAdmission(
            memory=JobMemory(MAX_JOB_BYTES),
            fleet=self.fleet,
            loads=loads,
            loop_lag=LoopLag(),
            view=view,
        )
        self.queue.has_started = self.engine.dispatch_table.may_have_started
        self.engine.set_hopeless_finder(
            HopelessJobs(
                queue=self.queue,
                jobs=self.engine.jobs,
                dispatch_table=self.engine.dispatch_table,
                loads=loads,
                fleet=self.fleet,
            ).find
        )


class Replay:
    """Runs a load to its end; ``remote_factor`` above 1.6 enables weighing waits.

    With ``admits_all``, no job is refused on arrival, as if its wait was not known.
    """

    def __init__(
        self,
        *,
        agents: int,
        cores: float,
        entries: int = 1,
        remote_factor: float = 2.0,
        admits_all: bool = False,
    ) -> None:
        self.now_s = 0.0
        self.ends: dict[str, End] = {}
        self.cores = dict.fromkeys((f"agent-{i}" for i in range(agents)), cores)
        self.used: dict[str, float] = dict.fromkeys(self.cores, 0.0)
        self._events: list[tuple[float, int, object]] = []
        self._numbers = itertools.count()
        self._remote_factor = remote_factor
        self._admits_all = admits_all
        self._random = random.Random(7)
        self._running: dict[tuple[int, int], tuple[str, work.Dispatch]] = {}
        self.entries: list[ReplayedEntry] = []
        self.entries.extend(ReplayedEntry(self, i) for i in range(entries))
        for entry in self.entries:
            self.connect(entry)

    def connect(self, entry: ReplayedEntry) -> None:
        for agent_id, cores in self.cores.items():
            member = attrs.evolve(
                agent_member(agent_id, slots=SLOTS),
                worker=WorkerSize(cores=cores, memory_mb=1_000),
            )
            entry.engine.on_member_joined(member, self.now_s)
            welcome = work.AgentWelcome(agent_id=agent_id, incarnation="1", slots=SLOTS)
            entry.engine.on_agent_connected(welcome, self.now_s)

    def lose(self, agents: int) -> None:
        for agent_id in list(self.cores)[:agents]:
            del self.cores[agent_id]
            for entry in self.entries:
                entry.engine.on_member_left(agent_id, self.now_s)
                entry.engine.on_agent_disconnected(agent_id, self.now_s)

    def at(self, time_s: float, event: object) -> None:
        heapq.heappush(self._events, (time_s, next(self._numbers), event))

    def run(self, load: list[Arrival], until_s: float) -> list[End]:
        for arrival in load:
            self.at(arrival.at_s, arrival)
        next_tick_s = 0.0
        while self.now_s < until_s:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                event = heapq.heappop(self._events)[2]
                if isinstance(event, Arrival):
                    self._submit(event)
                else:
                    event()  # type: ignore[operator]
            if self.now_s >= next_tick_s:
                next_tick_s = self.now_s + TICK_S
                for number in range(len(self.entries)):
                    self._report(number)
                    self.entries[number].engine.tick(self.now_s)
            for number in range(len(self.entries)):
                self._flush(number)
        return list(self.ends.values())

    def _submit(self, arrival: Arrival) -> None:
        kind, entry = arrival.kind, self.entries[arrival.entry]
        key = f"job-{next(self._numbers)}"
        job = RoutedJob(
            key=key,
            route=kind.route,
            tasks=tuple(
                NamedTask(name=f"{key}.{i}", content="") for i in range(kind.tasks)
            ),
            needs=Resources(cores=kind.cores),
            estimate_s=kind.run_s,
            caller_timeout_s=1.54 + 3 * kind.run_s,
        )
        job = apply_remote_factor(job, self._remote_factor)
        end = End(kind, self.now_s, goal_s=job.goal_s, useless_s=3 * job.goal_s)
        self.ends[key] = end
        refusal = entry.admission.refusal(job)
        if refusal is not None and not self._admits_all:
            end.outcome, end.retry_after_s = "refused", refusal.retry_after_s
            return
        submission = attrs.evolve(
            routed_submission(job, key, self.now_s),
            weighs_waits=weighs_waits(kind.route, self._remote_factor),
        )
        if submission.weighs_waits:
            task = task_request(submission, 0)
            entry.queue.record_arrival(task, kind.tasks, self.now_s)
        entry.engine.submit(submission, self.now_s)

    def _flush(self, number: int) -> None:
        for effect in self.entries[number].engine.flush(self.now_s):
            if isinstance(effect, JobCompleted):
                self._end(effect.job_id, "served")
            elif isinstance(effect, JobFailed):
                failure = effect.failure
                not_run = failure.run is RunState.NOT_RUN
                self._end(effect.job_id, "refused late" if not_run else "unknown")
                self.ends[effect.job_id].retry_after_s = failure.retry_after_s
            elif isinstance(effect.item, work.Dispatch):
                self._start(number, effect.agent_id, effect.item)
            elif isinstance(effect.item, work.Stop):
                self._stop(number, effect.item.dispatch_id)
            elif isinstance(effect.item, work.Revoke):
                answer = revocation(effect.item, work.RevocationState.STARTED)
                message = work.FromAgent(revocations=(answer,))
                self._receive(number, effect.agent_id, message)

    def _start(self, number: int, agent_id: str, item: work.Dispatch) -> None:
        if (
            self.used.get(agent_id, 0.0) + item.needs.cores
            > self.cores.get(agent_id, 0.0) + 1e-6
        ):
            message = refused(item, work.RefusalReason.FULL)
            self.at(
                self.now_s + STEP_S, lambda: self._receive(number, agent_id, message)
            )
            return
        self.used[agent_id] += item.needs.cores
        self._running[number, item.dispatch_id] = (agent_id, item)
        run_s = self.ends[item.job_id].kind.run_s * self._random.lognormvariate(
            -SPREAD * SPREAD / 2, SPREAD
        )
        self.at(self.now_s + run_s, lambda: self._finish(number, item, run_s))

    def _finish(self, number: int, item: work.Dispatch, run_s: float) -> None:
        agent_id = self._stop(number, item.dispatch_id)
        if not agent_id:
            return
        answer = attrs.evolve(result(item, output=b"1"), run_time_ms=run_s * 1000)
        self._receive(
            number,
            agent_id,
            work.FromAgent(results=(answer,), load=self._load(agent_id)),
        )

    def _stop(self, number: int, dispatch_id: int) -> str:
        agent_id, item = self._running.pop((number, dispatch_id), ("", None))
        if item is None or agent_id not in self.cores:
            return ""
        self.used[agent_id] = max(0.0, self.used[agent_id] - item.needs.cores)
        return agent_id

    def _load(self, agent_id: str) -> work.LoadReport:
        running = sum(agent == agent_id for agent, _ in self._running.values())
        return work.LoadReport(
            running=running, queued=0, cores_used=self.used[agent_id]
        )

    def _report(self, number: int) -> None:
        for agent_id in self.cores:
            self._receive(number, agent_id, work.FromAgent(load=self._load(agent_id)))

    def _receive(self, number: int, agent_id: str, message: work.FromAgent) -> None:
        self.entries[number].engine.on_agent_message(agent_id, message, self.now_s)

    def _end(self, key: str, outcome: str) -> None:
        end = self.ends[key]
        end.outcome, end.wait_s = outcome, self.now_s - end.at_s
