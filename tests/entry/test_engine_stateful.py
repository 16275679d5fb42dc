from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from entry.agent_model import AgentModel
from entry.agent_model import Task
from entry.driver import Driver
from entry.driver import submission
from entry.messages import SUCCEEDED
from entry.messages import agent_member
from verbenaplank.outcome.failure import RunState
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from verbenaplank.entry.submission import Submission

AGENTS = ("a", "b", "c")
OUTCOME = st.sampled_from(
    [SUCCEEDED, SUCCEEDED, TaskOutcome.FAILED, TaskOutcome.CONNECTION_LOST]
)
PICK = st.integers(min_value=0, max_value=1_000_000)
AGENT = st.sampled_from(AGENTS)


class EngineMachine(RuleBasedStateMachine):
    """Runs random events of agents, streams and callers against the engine.

    The invariants guard against tasks that start too often, wrong statements about
    what has run, and incomplete or missing responses.
    """

    def __init__(self) -> None:
        super().__init__()
        self.driver = Driver(*AGENTS, slots=2)
        self.driver.record_usual_latencies()
        self.agents = {name: AgentModel(name) for name in AGENTS}
        self.submitted: dict[str, Submission] = {}
        self.delivered: list[tuple[str, FromAgent]] = []

    @rule(count=st.integers(1, 5), max_runs=st.sampled_from([1, 1, 1, 2, 3]))
    def submit(self, count: int, max_runs: int) -> None:
        job_id = f"job-{len(self.submitted)}"
        request = submission(
            job_id,
            count if max_runs == 1 else 1,
            claimed=max_runs == 1,
            max_runs=max_runs,
            received_s=self.driver.now_s,
            deadline_s=self.driver.now_s + 5.0,
        )
        self.submitted[job_id] = request
        self.driver.engine.submit(request, self.driver.now_s)
        self._settle()

    @rule(steps=st.lists(st.sampled_from(["deliver", "start", "end"]), max_size=5))
    def work(self, steps: list[str]) -> None:
        """Let all agents receive, start and end their dispatches in some order."""
        for agent in self.agents.values():
            for step in steps:
                self._work(agent, step)

    @rule(name=AGENT, outcome=OUTCOME)
    def work_to_an_end(self, name: str, outcome: TaskOutcome) -> None:
        agent = self.agents[name]
        for step in ("deliver", "start", "end"):
            self._work(agent, step, outcome)

    @precondition(lambda self: any(a.strayed for a in self.agents.values()))
    @rule(pick=PICK)
    def deliver_strayed(self, pick: int) -> None:
        agents = [agent for agent in self.agents.values() if agent.strayed]
        agent = agents[pick % len(agents)]
        item = agent.strayed.pop(pick % len(agent.strayed))
        self._say(agent, agent.receive(item))

    @precondition(lambda self: self.delivered)
    @rule(pick=PICK, name=AGENT)
    def repeat(self, pick: int, name: str) -> None:
        """Repeat an old message, possibly from another agent."""
        _, message = self.delivered[pick % len(self.delivered)]
        if self.agents[name].connected:
            self.driver.receive(name, message)
            self._settle()

    @precondition(lambda self: all(agent.connected for agent in self.agents.values()))
    @rule(name=AGENT, fault=st.sampled_from(["break", "break", "restart", "leave"]))
    def fail(self, name: str, fault: str) -> None:
        agent = self.agents[name]
        if fault == "restart":
            agent.restart()
        else:
            agent.break_stream()
        self.driver.disconnect(name)
        if fault == "leave":
            self.driver.leave(name)
        self._settle()

    @precondition(
        lambda self: not all(agent.connected for agent in self.agents.values())
    )
    @rule()
    def come_back(self) -> None:
        for agent in self.agents.values():
            if not agent.connected:
                agent.connected = True
                self.driver.join(agent.agent_id, str(agent.incarnation), slots=2)
        self._settle()

    @rule(name=AGENT)
    def blink(self, name: str) -> None:
        """Let an agent leave and rejoin the membership while its stream is open."""
        agent = self.agents[name]
        self.driver.leave(name)
        member = agent_member(name, str(agent.incarnation), slots=2)
        self.driver.engine.on_member_joined(member, self.driver.now_s)
        self._settle()

    @precondition(lambda self: self.submitted)
    @rule(pick=PICK, event=st.sampled_from(["cancel", "time", "time", "lapse"]))
    def pass_time(self, pick: int, event: str) -> None:
        if event == "cancel":
            self.driver.cancel(f"job-{pick % len(self.submitted)}")
        elif event == "lapse":
            self.driver.lease_since_s = float("inf")
            self.driver.advance(0.0)
            self.driver.lease_since_s = self.driver.now_s
        else:
            self.driver.advance((0.01, 0.2, 0.6, 3.0)[pick % 4])
        self._settle()

    @invariant()
    def no_task_starts_more_often_than_allowed(self) -> None:
        for (job_id, index), count in self._starts().items():
            allowed = self.submitted[job_id].max_runs
            assert count <= allowed, f"task {index} of {job_id} started {count} times"

    @invariant()
    def not_run_is_true(self) -> None:
        started = {job_id for job_id, _ in self._starts()}
        for job_id, failure in self.driver.failed.items():
            if failure.run is RunState.NOT_RUN:
                assert job_id not in started, f"{job_id} was said not to have run"
            if failure.run is RunState.RAN:
                assert job_id in started, f"{job_id} was said to have run"

    @invariant()
    def answers_are_whole(self) -> None:
        for job_id, results in self.driver.completed.items():
            payloads = self.submitted[job_id].payloads
            assert results == tuple(b'["%b"]' % payload for payload in payloads)

    def teardown(self) -> None:
        """Deliver and start whatever still can; every job must be answered."""
        for agent in self.agents.values():
            while agent.strayed or agent.in_flight:
                source = agent.strayed or agent.in_flight
                agent.receive(source.pop())
            for dispatch_id in list(agent.accepted):
                agent.start(dispatch_id)
        self.driver.advance(10.0)
        self.driver.advance(1.0)
        self.no_task_starts_more_often_than_allowed()
        self.not_run_is_true()
        answered = self.driver.completed.keys() | self.driver.failed.keys()
        assert answered == self.submitted.keys()
        assert len(self.driver.engine.jobs) == 0
        assert len(self.driver.queue) == 0

    def _work(
        self, agent: AgentModel, step: str, outcome: TaskOutcome = SUCCEEDED
    ) -> None:
        if step == "deliver" and agent.in_flight:
            for _ in range(len(agent.in_flight)):
                self._say(agent, agent.receive(agent.in_flight.popleft()))
        elif step == "start":
            for dispatch_id in list(agent.accepted):
                agent.start(dispatch_id)
        elif step == "end":
            for dispatch_id in list(agent.running)[:2]:
                ended = agent.end(dispatch_id, outcome)
                self._say(agent, FromAgent(results=(ended,)))

    def _say(self, agent: AgentModel, message: FromAgent | None) -> None:
        if message is None or not agent.connected:
            return
        self.delivered.append((agent.agent_id, message))
        self.driver.receive(agent.agent_id, message)
        self._settle()

    def _settle(self) -> None:
        """Put the items that the engine sent onto the agents' streams."""
        self.driver.flush()
        driver = self.driver
        for sent in (driver.dispatches, driver.revokes, driver.stops):
            for name, item in sent:
                agent = self.agents[name]
                if agent.connected:
                    agent.in_flight.append(item)
            sent.clear()

    def _starts(self) -> Counter[Task]:
        total: Counter[Task] = Counter()
        for agent in self.agents.values():
            total.update(agent.starts)
        return total


EngineMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, derandomize=True, deadline=None
)
TestEngine = EngineMachine.TestCase
