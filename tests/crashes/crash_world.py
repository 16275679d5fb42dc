"""Entries, agents and backend servers in one process, with a clock and random faults.

The engines, the exchange of crash reports and the recognition of crashes are the real
ones; backend servers, streams and callers are models.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import ExitStack
from typing import TYPE_CHECKING

import attrs

from entry.driver import Driver
from entry.messages import result
from verbenaplank.agent.active_run import ActiveRun
from verbenaplank.agent.crash_feed import CrashFeed
from verbenaplank.agent.crash_watch import CrashWatch
from verbenaplank.agent.crash_watch import WatchedServer
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.protocol import work

if TYPE_CHECKING:
    from verbenaplank.protocol.crash import CrashReport

STEP_S = 0.05
LEASE_S = 1.2
RESTART_S = 3.0
RUN_S = 0.3
CALLER_PAUSE_S = 1.3
LOST = work.TaskOutcome.CONNECTION_LOST
GIVEN_UP = "several backend servers crashed"


@attrs.define(eq=False)
class Run:
    """A run on a backend server, and the entry that waits for it."""

    entry: Entry
    dispatch: work.Dispatch
    active: ActiveRun
    name: str
    ends_s: float


@attrs.define(eq=False)
class Entry:
    """One incarnation of an entry."""

    driver: Driver
    handled: int = 0
    stops_handled: int = 0
    reports_handled: int = 0
    killed: bool = False

    def send_report(self, report: CrashReport) -> None:
        """Stand for the streams from agents, when a report comes from here."""


@attrs.define(eq=False)
class Agent:
    """One incarnation of an agent with its backend server."""

    name: str
    incarnation: int
    feed: CrashFeed
    watch: CrashWatch
    runs: list[Run] = attrs.field(factory=list)
    lost: list[tuple[float, Run]] = attrs.field(factory=list)
    crashed_s: float | None = None
    cut_until_s: float | None = None
    streams: ExitStack = attrs.field(factory=ExitStack)


@attrs.define
class Job:
    """A job of one task, and what its caller has seen."""

    name: str
    deadly: bool
    crash_delay_s: float
    attempts: int = 0
    waiting: Entry | None = None
    next_attempt_s: float = 0.0
    succeeded: bool = False
    given_up: bool = False


class World:
    """A few entries and agents, and callers that submit their jobs again.

    Attributes
    ----------
    crashes
        Crashes of backend servers by the task under which they happened.
    starts_after_third
        Starts of a task after three backend servers had crashed under it.
    """

    def __init__(self, seed: int, agents: int = 6, entries: int = 3) -> None:
        self.random = random.Random(seed)
        self.now_s = 1.0
        self.crashes: Counter[str] = Counter()
        self.starts_after_third: Counter[str] = Counter()
        self.jobs: dict[str, Job] = {}
        self._numbers = 0
        self.agents: dict[str, Agent] = {}
        for number in range(agents):
            self.agents[f"agent-{number}"] = self._new_agent(f"agent-{number}")
        self.entries = [self._new_entry() for _ in range(entries)]

    def submit(self, *, deadly: bool) -> Job:
        """Add a caller with a job, which is submitted at the next step."""
        self._numbers += 1
        delay_s = self.random.choice((0.0, 0.0, 0.15))
        job = Job(f"job-{self._numbers}.0.0.0", deadly, delay_s)
        self.jobs[job.name] = job
        return job

    def step(self) -> None:
        """Advance the clock by one step, and let everybody act once."""
        self.now_s += STEP_S
        for agent in list(self.agents.values()):
            self._advance_agent(agent)
        for entry in self.entries:
            entry.driver.advance(STEP_S)
            self._handle_effects(entry)
        for job in self.jobs.values():
            self._advance_caller(job)

    def kill_entry(self) -> None:
        """Replace an entry by a new one that knows nothing."""
        index = self.random.randrange(len(self.entries))
        old = self.entries[index]
        old.killed = True
        for job in self.jobs.values():
            if job.waiting is old:
                job.waiting = None
                job.next_attempt_s = self.now_s + CALLER_PAUSE_S
        for agent in self.agents.values():
            agent.runs = [run for run in agent.runs if run.entry is not old]
            agent.lost = [item for item in agent.lost if item[1].entry is not old]
        self.entries[index] = self._new_entry()

    def kill_agent(self) -> None:
        """Replace an agent by a new one that knows nothing; its runs end."""
        name = self.random.choice(sorted(self.agents))
        old = self.agents[name]
        self.agents[name] = agent = self._new_agent(name)
        agent.crashed_s = old.crashed_s
        old.streams.close()
        for entry in self.entries:
            entry.driver.disconnect(name)
            entry.driver.join(name, incarnation=str(agent.incarnation))
            self._connect(entry, agent)

    def cut(self) -> None:
        """Cut a backend server off from its agent for longer than its lease."""
        agent = self.random.choice(list(self.agents.values()))
        if agent.crashed_s is None and agent.cut_until_s is None:
            agent.cut_until_s = self.now_s + LEASE_S + 0.2
            self._lose_runs(agent)

    def _new_agent(self, name: str) -> Agent:
        self._numbers += 1
        feed = CrashFeed(lambda: self.now_s)
        watch = self._new_watch(name, self._numbers, feed)
        return Agent(name, self._numbers, feed, watch)

    def _new_watch(self, name: str, incarnation: int, feed: CrashFeed) -> CrashWatch:
        server = WatchedServer(
            agent_id=name, backend_server=name, incarnation=str(incarnation)
        )
        feed.set_served(server)
        return CrashWatch(server, lambda: self.now_s, feed.add)

    def _new_entry(self) -> Entry:
        driver = Driver()
        driver.now_s = self.now_s
        entry = Entry(driver)
        for agent in self.agents.values():
            driver.join(agent.name, incarnation=str(agent.incarnation))
            self._connect(entry, agent)
        return entry

    def _connect(self, entry: Entry, agent: Agent) -> None:
        def send(report: CrashReport) -> None:
            if self.agents.get(agent.name) is agent and not entry.killed:
                message = work.FromAgent(crashes=(report,))
                entry.driver.receive(agent.name, message)

        agent.streams.enter_context(agent.feed.subscribe(send))

    def _advance_agent(self, agent: Agent) -> None:
        if agent.cut_until_s is not None and self.now_s >= agent.cut_until_s:
            agent.cut_until_s = None
            agent.watch.on_answer()
        if agent.crashed_s is not None and self.now_s >= agent.crashed_s + RESTART_S:
            agent.crashed_s = None
            agent.watch.on_replaced([], planned=False)
            self._numbers += 1
            agent.watch = self._new_watch(agent.name, self._numbers, agent.feed)
        for lost_s, run in list(agent.lost):
            if self.now_s >= lost_s:
                agent.lost.remove((lost_s, run))
                self._reply(agent, run, LOST)
        for run in list(agent.runs):
            self._advance_run(agent, run)

    def _advance_run(self, agent: Agent, run: Run) -> None:
        if run not in agent.runs:
            return
        job = self.jobs[run.name]
        crash_s = run.ends_s - RUN_S + job.crash_delay_s
        if job.deadly and self.now_s >= crash_s:
            self.crashes[run.name] += 1
            agent.crashed_s = self.now_s
            self._lose_runs(agent)
        elif self.now_s >= run.ends_s:
            agent.runs.remove(run)
            run.active.end.set_result(EndKind.DONE)
            self._reply(agent, run, work.TaskOutcome.SUCCEEDED)

    def _lose_runs(self, agent: Agent) -> None:
        agent.watch.on_silent([run.active for run in agent.runs], refused=False)
        agent.watch.on_silent([run.active for run in agent.runs], refused=True)
        for run in agent.runs:
            run.active.end.set_result(EndKind.LEASE_EXPIRED)
            agent.lost.append((self.now_s + LEASE_S, run))
        agent.runs.clear()

    def _reply(self, agent: Agent, run: Run, outcome: work.TaskOutcome) -> None:
        if not run.entry.killed:
            reply = work.FromAgent(results=(result(run.dispatch, outcome),))
            run.entry.driver.receive(agent.name, reply)

    def _handle_effects(self, entry: Entry) -> None:
        driver = entry.driver
        for name, report in driver.crash_reports[entry.reports_handled :]:
            self.agents[name].feed.add(report, entry.send_report)
        entry.reports_handled = len(driver.crash_reports)
        while entry.handled < len(driver.dispatches):
            name, dispatch = driver.dispatches[entry.handled]
            entry.handled += 1
            self._start(entry, self.agents[name], dispatch)
        for name, stop in driver.stops[entry.stops_handled :]:
            self._stop(self.agents[name], stop.dispatch_id, entry)
        entry.stops_handled = len(driver.stops)

    def _start(self, entry: Entry, agent: Agent, dispatch: work.Dispatch) -> None:
        name = dispatch.payload.decode()
        refused = agent.crashed_s is not None or agent.cut_until_s is not None
        if refused or dispatch.agent_incarnation != str(agent.incarnation):
            refusal = work.DispatchRefusal(
                job_id=dispatch.job_id,
                task_index=dispatch.task_index,
                dispatch_id=dispatch.dispatch_id,
                reason=work.RefusalReason.BACKEND_SERVER_DOWN,
            )
            entry.driver.receive(agent.name, work.FromAgent(refusals=(refusal,)))
            return
        if self.crashes[name] >= 3:
            self.starts_after_third[name] += 1
        end: asyncio.Future[EndKind] = asyncio.get_running_loop().create_future()
        active = ActiveRun(RunId(task=name, number=dispatch.attempt), end, "route")
        if self.jobs[name].crash_delay_s:
            active.start_acknowledged = True
            active.started_s = self.now_s
        run = Run(entry, dispatch, active, name, self.now_s + RUN_S)
        agent.runs.append(run)

    def _stop(self, agent: Agent, dispatch_id: int, entry: Entry) -> None:
        for run in list(agent.runs):
            if run.entry is entry and run.dispatch.dispatch_id == dispatch_id:
                agent.runs.remove(run)
                run.active.end.set_result(EndKind.STOPPED)
                self._reply(agent, run, work.TaskOutcome.STOPPED)

    def _advance_caller(self, job: Job) -> None:
        if job.succeeded or job.given_up:
            return
        if job.waiting is None:
            if self.now_s >= job.next_attempt_s:
                self._submit_again(job)
            return
        job_id = f"{job.name}/{job.attempts}"
        driver = job.waiting.driver
        if job_id in driver.completed:
            job.succeeded = True
        elif job_id in driver.failed:
            failure = driver.failed[job_id]
            job.given_up = GIVEN_UP in failure.detail
            job.waiting = None
            job.next_attempt_s = self.now_s + CALLER_PAUSE_S

    def _submit_again(self, job: Job) -> None:
        job.attempts += 1
        entry = self.random.choice(self.entries)
        job.waiting = entry
        entry.driver.submit(
            f"{job.name}/{job.attempts}",
            payloads=(job.name.encode(),),
            task_names=(job.name,),
            claimed=False,
            exclusive=True,
            max_runs=4,
            received_s=self.now_s,
            deadline_s=self.now_s + 10.0,
        )
