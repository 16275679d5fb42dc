from __future__ import annotations

import heapq
import itertools
import math
import random
from typing import TYPE_CHECKING

import attrs

from verbenaplank.admission.budget import StartBudget
from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.entry.effects import JobCompleted
from verbenaplank.entry.effects import JobFailed
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.entry.engine import Engine
from verbenaplank.entry.submission import Submission
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.placement.task import Resources
from verbenaplank.protocol import work
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.protocol.membership import WorkerSize

if TYPE_CHECKING:
    from collections.abc import Callable

ONE_WAY_S = 0.0005
REPORT_PERIOD_S = 0.2
TICK_S = 0.05
FACTOR = 2.0
SPREAD = 0.4


@attrs.define
class Server:
    name: str
    rack: str
    cores: float
    speed: float
    used: float = 0.0
    held: dict[int, int] = attrs.field(factory=dict)
    silent: bool = False
    lost: bool = False

    def load(self) -> work.LoadReport:
        held = sum(self.held.values())
        return work.LoadReport(running=0, queued=0, cores_used=self.used, held=held)


class RackWorld:
    """Entries, and servers in racks, under a replayed load and a simulated clock."""

    def __init__(self, servers: list[Server], entries: int = 1, seed: int = 1) -> None:
        self.now_s = 0.0
        self.spread = SPREAD
        self.random = random.Random(seed)
        self.servers = {server.name: server for server in servers}
        self.latencies: dict[str, float] = {}
        self.failed: set[str] = set()
        self.starts: list[tuple[str, int, str]] = []
        self.ran: list[tuple[str, int]] = []
        self.held_most = 0
        self._waking: set[int] = set()
        self._received_s: dict[str, float] = {}
        self._rack_of: dict[str, str] = {}
        self._run_s: dict[str, float] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.engines = [self._entry(number) for number in range(entries)]
        for number, server in enumerate(servers):
            self.after(number * 0.01, lambda s=server: self._report(s))
        for number in range(entries):
            self.after(TICK_S, lambda n=number: self._tick(n))

    def _entry(self, number: int) -> Engine:
        fleet = Fleet(
            least_expected_completion, random.Random(self.random.random()), "norte"
        )
        engine = Engine(
            fleet=fleet,
            queue=GoalQueue(fleet.expected_run_time_s),
            retry_budget=StartBudget(1.0, 3.0),
            lease_held_since=lambda now_s: -math.inf,
            random=random.Random(self.random.random()),
        )
        for server in self.servers.values():
            engine.on_member_joined(self.member(server), 0.0)
            welcome = work.AgentWelcome(
                agent_id=server.name, incarnation="1", slots=1_000
            )
            engine.on_agent_connected(welcome, 0.0)
            engine.on_agent_message(
                server.name, work.FromAgent(load=server.load()), 0.0
            )
        return engine

    @staticmethod
    def member(server: Server, *, draining: bool = False) -> Member:
        return Member(
            member_id=server.name,
            role=MemberRole.AGENT,
            incarnation="1",
            data_centre=server.name[0],
            address="127.0.0.1:1",
            rack=server.rack,
            services=("s",),
            slots=1_000,
            draining=draining,
            worker=WorkerSize(cores=server.cores, memory_mb=128_000),
        )

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        at_s = self.now_s + delay_s
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run_until(self, end_s: float) -> None:
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def submit(
        self, entry: int, job: str, rack: str = "", tasks: int = 8, **changes: object
    ) -> None:
        fields: dict[str, object] = {
            "job_id": job,
            "service": "s",
            "team": "route",
            "digest": b"",
            "payloads": (b"0",) * tasks,
            "received_s": self.now_s,
            "deadline_s": self.now_s + 1.06,
            "latest_start_s": self.now_s + 0.97,
            "goal_s": self.now_s + 0.253,
            "urgent": True,
            "claimed": False,
            "exclusive": True,
            "max_runs": 4,
            "workload": "route",
            "needs": Resources(cores=2.6),
            "declared_run_time_s": 0.12,
            "preferred_rack": rack,
            "remote_factor": FACTOR,
        }
        submission = Submission(**(fields | changes))  # type: ignore[arg-type]
        self._received_s[job] = self.now_s
        self._rack_of[job] = rack
        self._run_s[job] = submission.declared_run_time_s
        self.engines[entry].submit(submission, self.now_s)
        self.flush(entry)

    def flush(self, entry: int) -> None:
        engine = self.engines[entry]
        for effect in engine.flush(self.now_s):
            if isinstance(effect, JobCompleted):
                job_s = self._received_s[effect.job_id]
                self.latencies[effect.job_id] = self.now_s - job_s
            elif isinstance(effect, JobFailed):
                self.failed.add(effect.job_id)
            elif isinstance(effect, SendToAgent):
                self._send(entry, effect)
        held = engine.holds.count()
        self.held_most = max(self.held_most, held)
        due_s = engine.next_hold_due_s() - self.now_s
        if due_s < TICK_S and entry not in self._waking:
            self._waking.add(entry)
            self.after(max(due_s, 0.001), lambda: self._wake(entry))

    def _wake(self, entry: int) -> None:
        self._waking.discard(entry)
        self.flush(entry)

    def _send(self, entry: int, effect: SendToAgent) -> None:
        server, item = self.servers[effect.agent_id], effect.item
        if isinstance(item, work.Dispatch):
            self.starts.append((item.job_id, item.task_index, server.name))
            self.after(ONE_WAY_S, lambda: self._start(entry, server, item))
        elif isinstance(item, work.HeldCount):
            server.held[entry] = item.tasks

    def _start(self, entry: int, server: Server, item: work.Dispatch) -> None:
        fields = {
            "job_id": item.job_id,
            "task_index": item.task_index,
            "dispatch_id": item.dispatch_id,
            "attempt": item.attempt,
        }
        if server.used + item.needs.cores > server.cores:
            reason = work.RefusalReason.FULL
            refusal = work.DispatchRefusal(**fields, reason=reason)
            self._reply(entry, server, work.FromAgent(refusals=(refusal,)))
            return
        server.used += item.needs.cores
        self.ran.append((item.job_id, item.task_index))
        rack = self._rack_of[item.job_id]
        run_s = self._run_s[item.job_id] / server.speed
        run_s *= FACTOR if rack and rack != server.rack else 1.0
        run_s *= self.random.lognormvariate(-(self.spread**2) / 2, self.spread)

        def end() -> None:
            server.used -= item.needs.cores
            result = work.TaskResult(
                **fields,
                outcome=work.TaskOutcome.SUCCEEDED,
                output=b"0",
                run_time_ms=run_s * 1_000,
            )
            self._reply(entry, server, work.FromAgent(results=(result,)))

        self.after(run_s, end)

    def _reply(self, entry: int, server: Server, message: work.FromAgent) -> None:
        if server.lost:
            return
        if not server.silent:
            message = attrs.evolve(message, load=server.load())
        self.after(ONE_WAY_S, lambda: self.receive(entry, server.name, message))

    def lose(self, name: str) -> None:
        """Cut a server off; it leaves the membership, and its runs have no result."""
        self.servers[name].lost = True
        for entry, engine in enumerate(self.engines):
            engine.on_agent_disconnected(name, self.now_s)
            engine.on_member_left(name, self.now_s)
            self.flush(entry)

    def drain(self, name: str) -> None:
        member = self.member(self.servers[name], draining=True)
        for entry, engine in enumerate(self.engines):
            engine.on_member_joined(member, self.now_s)
            self.flush(entry)

    def evacuate(self, data_centre: str) -> None:
        for entry, engine in enumerate(self.engines):
            engine._fleet.set_evacuated(frozenset((data_centre,)), self.now_s)
            engine.on_placement_changed()
            self.flush(entry)

    def placed(self, job: str) -> list[str]:
        """Return the racks of the servers to which tasks of a job were sent."""
        return [self.servers[name].rack for j, _, name in self.starts if j == job]

    def receive(self, entry: int, name: str, message: work.FromAgent) -> None:
        self.engines[entry].on_agent_message(name, message, self.now_s)
        self.flush(entry)

    def _report(self, server: Server) -> None:
        if not (server.silent or server.lost):
            for entry in range(len(self.engines)):
                self._reply(entry, server, work.FromAgent())
        self.after(REPORT_PERIOD_S, lambda: self._report(server))

    def _tick(self, entry: int) -> None:
        self.engines[entry].tick(self.now_s)
        self.flush(entry)
        self.after(TICK_S, lambda: self._tick(entry))
