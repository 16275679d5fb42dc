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
from entry.messages import agent_member
from verbenaplank.outcome.failure import Run
from verbenaplank.protocol import work

if TYPE_CHECKING:
    from verbenaplank.entry.submission import Submission

AGENTS = ("a", "b", "c")
OUTCOMES = (
    work.TaskOutcome.SUCCEEDED,
    work.TaskOutcome.SUCCEEDED,
    work.TaskOutcome.SUCCEEDED,
    work.TaskOutcome.FAILED,
    work.TaskOutcome.CONNECTION_LOST,
)
PICK = st.integers(min_value=0, max_value=1_000_000)
AGENT = st.sampled_from(AGENTS)


class EngineMachine(RuleBasedStateMachine):
    """Agents, streams and callers do what they like; the promises must hold."""

    def __init__(self) -> None:
        super().__init__()
        self.driver = Driver(*AGENTS, slots=2)
        self.driver.learn()
        self.agents = {name: AgentModel(name) for name in AGENTS}
        self.submitted: dict[str, Submission] = {}
        self.said: list[tuple[str, work.FromAgent]] = []

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

    @precondition(lambda self: self.submitted)
    @rule(pick=PICK)
    def cancel(self, pick: int) -> None:
        self.driver.cancel(f"job-{pick % len(self.submitted)}")
        self._settle()

    @rule(seconds=st.sampled_from([0.01, 0.3, 0.6, 3.0]))
    def pass_time(self, seconds: float) -> None:
        self.driver.advance(seconds)
        self._settle()

    @rule()
    def lapse_lease(self) -> None:
        self.driver.lease_since_s = float("inf")
        self.driver.advance(0.0)
        self.driver.lease_since_s = self.driver.now_s
        self._settle()

    @rule(name=AGENT, count=st.integers(1, 4))
    def deliver(self, name: str, count: int) -> None:
        agent = self.agents[name]
        for _ in range(min(count, len(agent.in_flight))):
            if agent.in_flight:
                self._say(agent, agent.receive(agent.in_flight.popleft()))

    @precondition(lambda self: any(a.strayed for a in self.agents.values()))
    @rule(name=AGENT, pick=PICK)
    def deliver_strayed(self, name: str, pick: int) -> None:
        agent = self.agents[name]
        if agent.strayed:
            item = agent.strayed.pop(pick % len(agent.strayed))
            self._say(agent, agent.receive(item))

    @rule(name=AGENT, count=st.integers(1, 3))
    def start(self, name: str, count: int) -> None:
        agent = self.agents[name]
        for dispatch_id in list(agent.accepted)[:count]:
            agent.start(dispatch_id)

    @rule(name=AGENT, outcome=st.sampled_from(OUTCOMES), pick=PICK)
    def end(self, name: str, outcome: work.TaskOutcome, pick: int) -> None:
        agent = self.agents[name]
        if agent.running:
            dispatch_id = list(agent.running)[pick % len(agent.running)]
            result = agent.end(dispatch_id, outcome)
            self._say(agent, work.FromAgent(results=(result,)))

    @precondition(lambda self: self.said)
    @rule(pick=PICK, name=AGENT)
    def repeat(self, pick: int, name: str) -> None:
        """An old message comes again, perhaps from another agent."""
        _, message = self.said[pick % len(self.said)]
        if self.agents[name].connected:
            self.driver.say(name, message)
            self._settle()

    @rule(name=AGENT)
    def break_stream(self, name: str) -> None:
        agent = self.agents[name]
        if agent.connected:
            agent.break_stream()
            self.driver.disconnect(name)
            self._settle()

    @rule(name=AGENT)
    def restart(self, name: str) -> None:
        agent = self.agents[name]
        was_connected = agent.connected
        agent.restart()
        if was_connected:
            self.driver.disconnect(name)
            self._settle()

    @rule(name=AGENT)
    def leave(self, name: str) -> None:
        agent = self.agents[name]
        if agent.member:
            agent.member = False
            self.driver.leave(name)
            self._settle()

    @rule(name=AGENT)
    def come_back(self, name: str) -> None:
        agent = self.agents[name]
        if agent.member and agent.connected:
            return
        agent.member = True
        member = agent_member(name, str(agent.incarnation), slots=2)
        self.driver.engine.member_joined(member, self.driver.now_s)
        if not agent.connected:
            agent.connected = True
            self.driver.connect(name, str(agent.incarnation), slots=2)
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
            if failure.run is Run.NOT_RUN:
                assert job_id not in started, f"{job_id} was said not to have run"
            if failure.run is Run.RAN:
                assert job_id in started, f"{job_id} was said to have run"

    @invariant()
    def answers_are_whole(self) -> None:
        for job_id, results in self.driver.completed.items():
            payloads = self.submitted[job_id].payloads
            assert results == tuple(b'["%b"]' % payload for payload in payloads)

    def teardown(self) -> None:
        """Let everything arrive and start that still can; all must be answered."""
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

    def _say(self, agent: AgentModel, message: work.FromAgent | None) -> None:
        if message is None or not agent.connected:
            return
        self.said.append((agent.agent_id, message))
        self.driver.say(agent.agent_id, message)
        self._settle()

    def _settle(self) -> None:
        """Put what the engine sent onto the agents' streams."""
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
