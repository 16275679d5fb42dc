"""Simulation of entries that hold tasks for racks, with the engine of the product.

The network, the agents and the backend servers are simulated.  Jobs are not refused on
arrival; those that cannot start in time fail at their latest start.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from verbenaplank.admission.budget import StartBudget
from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.bench import locality_scenario as load
from verbenaplank.bench.event_loop import EventLoop
from verbenaplank.bench.locality_rules import DATA_CENTRE
from verbenaplank.bench.locality_rules import Oracle
from verbenaplank.bench.locality_rules import Rule
from verbenaplank.bench.locality_rules import make_fleet
from verbenaplank.bench.locality_servers import SimulatedServer
from verbenaplank.entry.effects import JobCompleted
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.entry.engine import Engine
from verbenaplank.entry.routed_job import USELESS_AFTER_FACTOR
from verbenaplank.entry.routed_job import RoutedJob
from verbenaplank.entry.routed_job import routed_submission
from verbenaplank.placement.task import Resources
from verbenaplank.protocol import work
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import WorkerSize
from verbenaplank.routing.table import Route

if TYPE_CHECKING:
    from verbenaplank.bench.locality_scenario import LocalityJob
    from verbenaplank.bench.locality_scenario import LocalityScenario
    from verbenaplank.placement.task import TaskRequest

ONE_WAY_DELAY_S = 0.0005
REPORT_PERIOD_S = 0.2
TICK_PERIOD_S = 0.05
MIN_WAKE_S = 0.001
DRAIN_S = 6.0
WARM_UP_S = 3.0
SLOTS = 1_000
"""More than the cores allow, so that cores are what servers run short of."""

SERVICE = "bench"


@attrs.define
class LocalityResult:
    """Results of one simulation.

    Attributes
    ----------
    latencies_s
        Time from arrival to answer of each completed job, in seconds.
    hold_times_s
        Duration of each hold, in seconds.
    counts
        Tasks placed locally and remotely, holds, holds given up, and dispatches that a
        full server refused.
    """

    latencies_s: dict[str, float] = attrs.field(factory=dict)
    hold_times_s: list[float] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)


class LocalitySimulation:
    """Runs the jobs of one scenario under one rule."""

    def __init__(
        self, scenario: LocalityScenario, rule: Rule, jobs: list[LocalityJob]
    ) -> None:
        self.result = LocalityResult()
        self._loop = EventLoop()
        self._jobs: dict[str, LocalityJob] = {}
        self._waking: set[int] = set()
        self._servers = {
            name: SimulatedServer(
                name,
                name.partition("/")[0],
                load.cores_of(index),
                load.speed_of(index),
            )
            for index, name in enumerate(load.server_names())
        }
        self._engines = [
            self._make_engine(rule, random.Random(f"{scenario.seed} {number}"))
            for number in range(scenario.entries)
        ]
        for index, server in enumerate(self._servers.values()):
            offset_s = index * REPORT_PERIOD_S / len(self._servers)
            self._loop.call_later(offset_s, lambda s=server: self._report(s))  # type: ignore[misc]
        for number in range(scenario.entries):
            self._tick(number)
        for job in jobs:
            self._loop.call_later(job.arrival_s, lambda job=job: self._submit(job))  # type: ignore[misc]

    def run(self, until_s: float) -> LocalityResult:
        """Run up to a simulated time, and return the results."""
        self._loop.run(until_s)
        for engine in self._engines:
            self.result.counts.update(attrs.asdict(engine.holds.counts))
        return self.result

    def _make_engine(self, rule: Rule, source: random.Random) -> Engine:
        fleet = make_fleet(rule, source)
        engine = Engine(
            fleet=fleet,
            queue=GoalQueue(fleet.expected_run_time_s),
            retry_budget=StartBudget(1.0, 3.0),
            lease_held_since=lambda now_s: -math.inf,
            random=source,
        )
        engine.holds.on_end = lambda _, held_s: self.result.hold_times_s.append(held_s)
        if isinstance(fleet, Oracle):
            fleet.servers = self._servers
            fleet.run_time_s_of = self._true_run_time_s
            fleet.held_before = self._held_before
        for server in self._servers.values():
            engine.on_member_joined(_member(server), 0.0)
            welcome = work.AgentWelcome(
                agent_id=server.name, incarnation="1", slots=SLOTS
            )
            engine.on_agent_connected(welcome, 0.0)
            message = work.FromAgent(load=server.report())
            engine.on_agent_message(server.name, message, 0.0)
        return engine

    def _submit(self, job: LocalityJob) -> None:
        self._jobs[job.job_id] = job
        routed = RoutedJob(
            key=job.job_id,
            route=_route(job.kind),
            tasks=tuple(
                NamedTask(name=f"{job.job_id}.{index}", content="")
                for index in range(job.kind.tasks)
            ),
            needs=Resources(cores=job.kind.cores),
            estimate_s=job.estimate_s,
            caller_timeout_s=load.CALLER_TIMEOUT_S + 3.0 * job.estimate_s,
            preferred_rack=job.rack,
            remote_factor=load.REMOTE_FACTOR,
        )
        submission = routed_submission(routed, job.job_id, self._loop.now_s)
        self._engines[job.entry].submit(submission, self._loop.now_s)
        self._flush(job.entry)

    def _flush(self, entry: int) -> None:
        engine = self._engines[entry]
        for effect in engine.flush(self._loop.now_s):
            if isinstance(effect, JobCompleted):
                arrival_s = self._jobs[effect.job_id].arrival_s
                self.result.latencies_s[effect.job_id] = self._loop.now_s - arrival_s
            elif isinstance(effect, SendToAgent):
                self._send(entry, self._servers[effect.agent_id], effect.item)
        left_s = engine.next_hold_due_s() - self._loop.now_s
        if left_s < TICK_PERIOD_S and entry not in self._waking:
            self._waking.add(entry)
            self._loop.call_later(max(left_s, MIN_WAKE_S), lambda: self._wake(entry))

    def _wake(self, entry: int) -> None:
        self._waking.discard(entry)
        self._flush(entry)

    def _send(self, entry: int, server: SimulatedServer, item: object) -> None:
        if isinstance(item, work.HeldCount):
            server.held[entry] = item.tasks
        elif isinstance(item, work.Dispatch):
            run_s = self._run_time_s(server, item)
            key = (item.job_id, item.task_index, item.attempt)
            end_s = self._loop.now_s + ONE_WAY_DELAY_S + run_s
            server.ends_s[key] = (end_s, item.needs.cores)
            self._loop.call_later(
                ONE_WAY_DELAY_S, lambda: self._start(entry, server, item, run_s)
            )

    def _start(
        self, entry: int, server: SimulatedServer, item: work.Dispatch, run_s: float
    ) -> None:
        key = (item.job_id, item.task_index, item.attempt)
        if not server.has_cores(item.needs.cores):
            del server.ends_s[key]
            self.result.counts["refused"] += 1
            refusal = work.DispatchRefusal(
                job_id=item.job_id,
                task_index=item.task_index,
                dispatch_id=item.dispatch_id,
                attempt=item.attempt,
                reason=work.RefusalReason.FULL,
            )
            self._reply(entry, server, work.FromAgent(refusals=(refusal,)))
            return
        server.used += item.needs.cores

        def end() -> None:
            server.used -= item.needs.cores
            del server.ends_s[key]
            result = work.TaskResult(
                job_id=item.job_id,
                task_index=item.task_index,
                dispatch_id=item.dispatch_id,
                attempt=item.attempt,
                outcome=work.TaskOutcome.SUCCEEDED,
                output=b"0",
                run_time_ms=run_s * 1_000.0,
            )
            self._reply(entry, server, work.FromAgent(results=(result,)))

        self._loop.call_later(run_s, end)

    def _run_time_s(self, server: SimulatedServer, item: work.Dispatch) -> float:
        job = self._jobs[item.job_id]
        is_remote = bool(job.rack) and job.rack != server.rack
        factor = load.REMOTE_FACTOR if is_remote else 1.0
        return job.run_times_s[item.task_index] * factor / server.speed

    def _reply(
        self, entry: int, server: SimulatedServer, message: work.FromAgent
    ) -> None:
        message = attrs.evolve(message, load=server.report())

        def deliver() -> None:
            now_s = self._loop.now_s
            self._engines[entry].on_agent_message(server.name, message, now_s)
            self._flush(entry)

        self._loop.call_later(ONE_WAY_DELAY_S, deliver)

    def _report(self, server: SimulatedServer) -> None:
        for entry in range(len(self._engines)):
            self._reply(entry, server, work.FromAgent())
        self._loop.call_later(REPORT_PERIOD_S, lambda: self._report(server))

    def _tick(self, entry: int) -> None:
        self._engines[entry].tick(self._loop.now_s)
        self._flush(entry)
        self._loop.call_later(TICK_PERIOD_S, lambda: self._tick(entry))

    def _true_run_time_s(self, task: TaskRequest) -> float:
        return self._jobs[task.job_id].run_times_s[task.task_index]

    def _held_before(self, task: TaskRequest) -> int:
        return sum(
            held.task.goal_s < task.goal_s
            or (
                held.task.job_id == task.job_id
                and held.task.task_index < task.task_index
            )
            for engine in self._engines
            for held in engine.holds.held_for(task.preferred_rack)
        )


def score(job: LocalityJob, latency_s: float | None) -> float:
    """Return the score of a response: 1 by its goal, a fifth by three times that."""
    goal_s = load.STRETCH * job.estimate_s + load.TARGET_LATENCY_MS / 1_000.0
    if latency_s is None or latency_s > USELESS_AFTER_FACTOR * goal_s:
        return 0.0
    return 1.0 if latency_s <= goal_s else 0.2


def _route(kind: load.Kind) -> Route:
    return Route(
        name=kind.name,
        host="bench.example",
        path_prefix=f"/{kind.name}/",
        service=SERVICE,
        priority=kind.priority,
        target_latency_ms=load.TARGET_LATENCY_MS,
        stretch=load.STRETCH,
        max_attempts=2,
    )


def _member(server: SimulatedServer) -> Member:
    return Member(
        member_id=server.name,
        role=MemberRole.AGENT,
        incarnation="1",
        data_centre=DATA_CENTRE,
        address="",
        rack=server.rack,
        services=(SERVICE,),
        slots=SLOTS,
        worker=WorkerSize(cores=server.cores, memory_mb=1_000_000),
    )
