from __future__ import annotations

import random
from typing import TYPE_CHECKING

from entry.messages import SERVICE
from entry.messages import SUCCEEDED
from entry.messages import TEAM
from entry.messages import agent_member
from entry.messages import refused
from entry.messages import result
from entry.messages import revocation
from verbenaplank.admission.budget import StartBudget
from verbenaplank.admission.queue import TaskQueue
from verbenaplank.entry.effects import JobCompleted
from verbenaplank.entry.effects import JobFailed
from verbenaplank.entry.engine import Engine
from verbenaplank.entry.submission import Submission
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.protocol import work
from verbenaplank.protocol.crash import Confinement
from verbenaplank.protocol.crash import CrashReport

if TYPE_CHECKING:
    from verbenaplank.outcome.failure import Failure


def submission(job_id: str = "job", count: int = 1, **changes: object) -> Submission:
    fields: dict[str, object] = {
        "job_id": job_id,
        "service": SERVICE,
        "team": TEAM,
        "digest": b"digest",
        "payloads": tuple(b"%d" % index for index in range(count)),
        "received_s": 0.0,
        "deadline_s": 10.0,
    }
    return Submission(**(fields | changes))  # type: ignore[arg-type]


class Driver:
    """Passes events to an engine and sorts its effects by kind."""

    def __init__(
        self,
        *agents: str,
        slots: int = 8,
        retry_share: float = 1.0,
        hedge_share: float = 1.0,
    ) -> None:
        self.now_s = 1.0
        self.lease_since_s = float("-inf")
        self.dispatches: list[tuple[str, work.Dispatch]] = []
        self.revokes: list[tuple[str, work.Revoke]] = []
        self.stops: list[tuple[str, work.Stop]] = []
        self.crash_reports: list[tuple[str, CrashReport]] = []
        self.confinements: list[tuple[str, Confinement]] = []
        self.completed: dict[str, tuple[bytes, ...]] = {}
        self.failed: dict[str, Failure] = {}
        fleet = Fleet(least_expected_completion, random.Random(1), "Kochi")
        self.fleet = fleet
        self.queue = TaskQueue()
        self.engine = Engine(
            fleet=fleet,
            queue=self.queue,
            retry_budget=StartBudget(retry_share, 3.0),
            hedge_budget=StartBudget(hedge_share, 3.0),
            lease_held_since=lambda now_s: self.lease_since_s,
        )
        for agent_id in agents:
            self.join(agent_id, slots=slots)

    def record_usual_latencies(self) -> None:
        """Complete 40 tasks in 0.1 s each, and discard their effects."""
        for number in range(40):
            self.submit(f"usual-{number}", deadline_s=99.0)
            self.now_s += 0.1
            self.finish(number)
        self.dispatches.clear()
        self.completed.clear()

    def join(self, agent_id: str, incarnation: str = "1", slots: int = 8) -> None:
        member = agent_member(agent_id, incarnation, slots)
        self.engine.on_member_joined(member, self.now_s)
        self.connect(agent_id, incarnation, slots)

    def connect(self, agent_id: str, incarnation: str = "1", slots: int = 8) -> None:
        welcome = work.AgentWelcome(
            agent_id=agent_id, incarnation=incarnation, slots=slots
        )
        self.engine.on_agent_connected(welcome, self.now_s)
        self.flush()

    def disconnect(self, agent_id: str) -> None:
        self.engine.on_agent_disconnected(agent_id, self.now_s)
        self.flush()

    def leave(self, agent_id: str) -> None:
        self.engine.on_member_left(agent_id, self.now_s)
        self.flush()

    def submit(self, job_id: str = "job", count: int = 1, **changes: object) -> None:
        self.engine.submit(submission(job_id, count, **changes), self.now_s)
        self.flush()

    def cancel(self, job_id: str = "job") -> None:
        self.engine.cancel(job_id, self.now_s)
        self.flush()

    def advance(self, seconds: float) -> None:
        self.now_s += seconds
        self.engine.tick(self.now_s)
        self.flush()

    def receive(self, agent_id: str, message: work.FromAgent) -> None:
        self.engine.on_agent_message(agent_id, message, self.now_s)
        self.flush()

    def finish(
        self,
        index: int,
        outcome: work.TaskOutcome = SUCCEEDED,
        output: bytes | None = None,
    ) -> None:
        """Receive the agent's result for the dispatch at an index."""
        agent_id, dispatch = self.dispatches[index]
        self.receive(
            agent_id, work.FromAgent(results=(result(dispatch, outcome, output),))
        )

    def refuse(
        self, index: int, reason: work.RefusalReason = work.RefusalReason.DRAINING
    ) -> None:
        agent_id, dispatch = self.dispatches[index]
        self.receive(agent_id, refused(dispatch, reason))

    def answer_revoke(self, index: int, state: work.RevocationState) -> None:
        """Receive the agent's reply to the revoke of the dispatch at an index."""
        agent_id, dispatch = self.dispatches[index]
        answer = revocation(dispatch, state)
        self.receive(agent_id, work.FromAgent(revocations=(answer,)))

    def flush(self) -> None:
        for effect in self.engine.flush(self.now_s):
            if isinstance(effect, JobCompleted):
                assert effect.job_id not in self.completed | self.failed
                self.completed[effect.job_id] = effect.results
            elif isinstance(effect, JobFailed):
                assert effect.job_id not in self.completed | self.failed
                self.failed[effect.job_id] = effect.failure
            elif isinstance(effect.item, work.Dispatch):
                self.dispatches.append((effect.agent_id, effect.item))
            elif isinstance(effect.item, work.Revoke):
                self.revokes.append((effect.agent_id, effect.item))
            elif isinstance(effect.item, Confinement):
                self.confinements.append((effect.agent_id, effect.item))
            elif isinstance(effect.item, CrashReport):
                self.crash_reports.append((effect.agent_id, effect.item))
            else:
                self.stops.append((effect.agent_id, effect.item))
