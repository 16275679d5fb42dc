"""The entry's scheduling state machine, without I/O.

It covers a request from its admission to its response.  Each method handles one
event at a given time and appends the resulting actions to ``effects``.  After a
batch of events the caller runs :meth:`Engine.flush` once and carries out the
returned effects in order.
"""

from __future__ import annotations

import random as random_module
from typing import TYPE_CHECKING

from verbenaplank.admission.budget import HEDGE_SHARE
from verbenaplank.admission.budget import StartBudget
from verbenaplank.entry import decision_log
from verbenaplank.entry.abort_reasons import CANCELLED
from verbenaplank.entry.abort_reasons import DEADLINE_EXCEEDED
from verbenaplank.entry.abort_reasons import LEASE_EXPIRED
from verbenaplank.entry.abort_reasons import NO_SERVER_IN_TIME
from verbenaplank.entry.abort_reasons import NO_TIME_TO_START
from verbenaplank.entry.abort_reasons import STOPPED
from verbenaplank.entry.agent_message_handler import AgentMessageHandler
from verbenaplank.entry.crash_confinement import CrashConfinement
from verbenaplank.entry.crash_exchange import CrashExchange
from verbenaplank.entry.crashing_jobs import CrashingJobs
from verbenaplank.entry.disconnected_agents import DisconnectedAgents
from verbenaplank.entry.dispatch_table import DispatchTable
from verbenaplank.entry.dispatcher import Dispatcher
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.entry.evacuated_jobs import EVACUATED
from verbenaplank.entry.evacuated_jobs import EvacuatedJobs
from verbenaplank.entry.hedge import Hedger
from verbenaplank.entry.holding_queue import HoldingQueue
from verbenaplank.entry.holds import Holds
from verbenaplank.entry.jobs import JobTable
from verbenaplank.entry.lease_expiry import LeaseExpiry
from verbenaplank.entry.retry import RetryQueue
from verbenaplank.entry.timer_queue import TimerQueue
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.overload.refusal import RefusalCause
from verbenaplank.protocol.work import LoadReport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from verbenaplank.admission.queue_protocol import TaskQueueProtocol
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.effects import Effect
    from verbenaplank.entry.submission import Submission
    from verbenaplank.overload.hopeless import HopelessJob
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.work import AgentWelcome
    from verbenaplank.protocol.work import FromAgent

STALL_CHECK_PERIOD_S = 0.2


def find_none(now_s: float) -> Sequence[HopelessJob]:
    """Return no hopeless jobs; the default until a finder is set."""
    return ()


def ignore_rack(rack: str, tasks: int, now_s: float) -> None:
    """Do nothing; the default for ``on_rack_named``."""


def ignore_dispatch(record: DispatchRecord) -> None:
    """Do nothing; the default for ``on_dispatch``."""


class Engine:
    """Schedules the jobs of one entry incarnation.

    Parameters
    ----------
    fleet
        Load and state of the agents; selects the agent of each task.
    queue
        Tasks that wait for an agent with a free slot.
    retry_budget
        Limits retries to a share of the first attempts.
    hedge_budget
        The same limit for hedged runs; the default share if ``None``.
    lease_held_since
        Takes the current monotonic time and returns the monotonic time since
        which the entry's lease has been held without a gap, or infinity if the
        lease has expired.  Both are in seconds.
    on_dispatch
        Called with the record of each dispatch.
    random
        Ranks the tasks that several entries hold for one rack; seeded by the
        operating system if ``None``.

    Attributes
    ----------
    effects
        Actions that have not been returned by :meth:`flush` yet.
    dispatch_table
        The open dispatches.  It builds each failure from their states.
    jobs
        The jobs in progress.
    counts
        Counts of ignored messages and of dispatches that were refused, revoked or
        lost; exported as metrics.
    holds
        The tasks that are held for a server that is about to be free.
    on_rack_named
        Called with the rack that the tasks of a job prefer, their number and the time.
    crashes
        The crash reports of agents.
    confinement
        The workloads that are confined because of crashes.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        queue: TaskQueueProtocol,
        retry_budget: StartBudget,
        hedge_budget: StartBudget | None = None,
        lease_held_since: Callable[[float], float],
        on_dispatch: Callable[[DispatchRecord], None] = ignore_dispatch,
        random: random_module.Random | None = None,
    ) -> None:
        self.effects: list[Effect] = []
        self.dispatch_table = DispatchTable()
        self.crashes = CrashExchange(self.effects)
        self.confinement = CrashConfinement(fleet)
        self._queue = HoldingQueue(queue)
        self.holds = Holds(self._queue, fleet, random or random_module.Random())
        self._queue.on_drop = self.holds.drop
        self.jobs = JobTable(self.dispatch_table, self._queue, self.effects)
        self._crashing_jobs = CrashingJobs(self.jobs, self.crashes)
        self._evacuated_jobs = EvacuatedJobs(self.jobs, self.dispatch_table, fleet)
        self._fleet = fleet
        self._lease_held_since = lease_held_since
        self._lease_expiry = LeaseExpiry(self.jobs, lease_held_since)
        self._deadlines: TimerQueue[str] = TimerQueue()
        self._latest_starts: TimerQueue[str] = TimerQueue()
        self._members: dict[str, Member] = {}
        self._connected: dict[str, AgentWelcome] = {}
        self._retry_queue = RetryQueue(
            dispatch_table=self.dispatch_table,
            queue=self._queue,
            budget=retry_budget,
        )
        self._budgets = (retry_budget, hedge_budget or StartBudget(HEDGE_SHARE))
        self._hedger = Hedger(
            jobs=self.jobs, dispatch_table=self.dispatch_table, budget=self._budgets[-1]
        )
        self._message_handler = AgentMessageHandler(
            jobs=self.jobs,
            dispatch_table=self.dispatch_table,
            fleet=fleet,
            retry_queue=self._retry_queue,
            latencies=self._hedger.latencies,
        )
        self._dispatcher = Dispatcher(
            jobs=self.jobs,
            dispatch_table=self.dispatch_table,
            queue=self._queue,
            holds=self.holds,
            fleet=fleet,
            effects=self.effects,
            on_dispatch=self._record_dispatch,
            crashes=self.crashes.history,
        )
        self._on_dispatch = on_dispatch
        self.on_rack_named: Callable[[str, int, float], None] = ignore_rack
        self._stalls_checked_s = float("-inf")
        self._disconnected_agents = DisconnectedAgents()
        self.counts = self._message_handler.counts
        self._find_hopeless: Callable[[float], Sequence[HopelessJob]] = find_none

    def set_hopeless_finder(
        self, find: Callable[[float], Sequence[HopelessJob]]
    ) -> None:
        """Set the function that returns the queued jobs to refuse at a time."""
        self._find_hopeless = find

    def submit(self, submission: Submission, now_s: float) -> None:
        """Add a request and queue its tasks.

        If its id needs a claim, this entry must own it already.  The claim takes
        time, so the request fails here if the lease has expired since the request
        arrived or if its deadline has passed.
        """
        self.confinement.on_job(submission, now_s)
        if submission.preferred_rack:
            tasks = len(submission.payloads)
            self.on_rack_named(submission.preferred_rack, tasks, now_s)
        self.jobs.add(submission, now_s)
        self._deadlines.add(submission.job_id, submission.deadline_s)
        if submission.latest_start_s < submission.deadline_s:
            self._latest_starts.add(submission.job_id, submission.latest_start_s)
        if submission.claimed and submission.received_s < self._lease_held_since(now_s):
            self.jobs.abort(submission.job_id, LEASE_EXPIRED, now_s)
        elif now_s >= submission.deadline_s:
            self.jobs.abort(submission.job_id, DEADLINE_EXCEEDED, now_s)
        else:
            self._crashing_jobs.give_up(submission.job_id, now_s)

    def cancel(self, job_id: str, now_s: float) -> bool:
        """Cancel a job and return whether it was in progress."""
        return self.jobs.abort(job_id, CANCELLED, now_s)

    def on_member_joined(self, member: Member, now_s: float) -> None:
        """Add an agent to the fleet, or update one that changed."""
        agent_id = member.member_id
        self._members[agent_id] = member
        self._fleet.add_or_update(member, now_s)
        self._mark_due(agent_id)
        welcome = self._connected.get(agent_id)
        if welcome is not None and not self._dispatcher.is_agent_enabled(agent_id):
            self._enable_dispatch(welcome, now_s)

    def on_member_left(self, agent_id: str, now_s: float) -> None:
        """Stop dispatching to an agent that left the membership.

        While its stream stays open, results of its running tasks are accepted.
        """
        self._mark_due(agent_id)
        self._members.pop(agent_id, None)
        self._fleet.remove(agent_id, now_s)
        self._dispatcher.disable_agent(agent_id)
        if agent_id not in self._connected:
            self._message_handler.mark_non_exclusive_lost(agent_id, now_s)

    def on_agent_connected(self, welcome: AgentWelcome, now_s: float) -> None:
        """Reconcile the dispatches of an agent whose stream has opened.

        New dispatches to it are enabled if it is a member.
        """
        agent_id = welcome.agent_id
        self._disconnected_agents.remove(agent_id)
        self._connected[agent_id] = welcome
        self.crashes.send_all(agent_id)
        for confinement in self.confinement.current(now_s):
            self.effects.append(SendToAgent(agent_id, confinement))
        self._message_handler.reconcile_agent(agent_id, welcome.incarnation, now_s)
        if agent_id in self._members:
            rack = self._members[agent_id].rack
            self.effects += self.holds.count_for_new_stream(agent_id, rack)
            self._enable_dispatch(welcome, now_s)

    def on_agent_disconnected(self, agent_id: str, now_s: float) -> None:
        """Stop dispatching to an agent whose stream has closed."""
        self._disconnected_agents.add(agent_id, now_s)
        self._connected.pop(agent_id, None)
        self._dispatcher.disable_agent(agent_id)
        self._fleet.mark_disconnected(agent_id, now_s)
        self._mark_due(agent_id)
        if agent_id not in self._members:
            self._message_handler.mark_non_exclusive_lost(agent_id, now_s)

    def on_agent_message(self, agent_id: str, message: FromAgent, now_s: float) -> None:
        """Handle the revocations, refusals, results and load in a message."""
        self._lease_expiry.fail_jobs(now_s)
        for report in message.crashes:
            if self.crashes.receive(report, agent_id, self._connected, now_s):
                self.confinement.on_crash(report, now_s)
                self._crashing_jobs.give_up_suspects(report, now_s)
        for confinement in message.confinements:
            self.confinement.on_confinement(confinement, now_s)
        if message.confinements:
            self._update_confinement(now_s)
        for revocation in message.revocations:
            self._message_handler.handle_revocation(agent_id, revocation, now_s)
        for refusal in message.refusals:
            self._message_handler.handle_refusal(agent_id, refusal, now_s)
        for result in message.results:
            self._message_handler.handle_result(agent_id, result, now_s)
        if message.load is not None:
            self._fleet.record_load_report(agent_id, message.load, now_s)
        member = self._members.get(agent_id)
        if member is not None:
            self._queue.mark_changed(member.rack)

    def tick(self, now_s: float) -> None:
        """Apply the timeouts that have passed, and start due retries and hedges.

        This also revokes the unstarted dispatches of stalled agents and answers the
        failing jobs that are ready.
        """
        self._lease_expiry.fail_jobs(now_s)
        for job_id in self._deadlines.pop_due(now_s):
            self.jobs.abort(job_id, DEADLINE_EXCEEDED, now_s)
        for job_id in self._latest_starts.pop_due(now_s):
            if self._queue.has_tasks_of(job_id):
                self.jobs.abort(job_id, NO_TIME_TO_START, now_s)
        for hopeless in self._find_hopeless(now_s):
            rejection = Rejection(
                kind=FailureKind.OVERLOADED,
                detail=f"{NO_SERVER_IN_TIME}: expected wait is {hopeless.wait_s:.2f} s",
                retry_after_s=hopeless.wait_s,
                cause=RefusalCause.HOPELESS,
            )
            self.jobs.abort(hopeless.job_id, rejection, now_s)
        for job_id in self._evacuated_jobs.find(now_s):
            self.jobs.abort(job_id, EVACUATED, now_s)
        for agent_id in self._disconnected_agents.pop_runs_ended(now_s):
            decision_log.agent_runs_ended(agent_id)
            self._message_handler.mark_all_lost(agent_id, now_s)
        self._retry_queue.requeue_due(now_s, self.jobs.is_running)
        self._hedger.hedge_due(now_s, self._dispatcher.dispatch_elsewhere)
        self.effects += self.holds.changed_counts(self._connected, self._members, now_s)
        self._revoke_stalled(now_s)
        self._update_confinement(now_s)
        self.jobs.complete_ready_failures(now_s)

    def stop(self, now_s: float) -> None:
        """Fail every job that is still in progress."""
        for job in self.jobs:
            self.jobs.fail(job, STOPPED, now_s)

    def flush(self, now_s: float) -> list[Effect]:
        """Dispatch the tasks that an agent can take, and return all effects."""
        self._lease_expiry.fail_jobs(now_s)
        self._dispatcher.dispatch_waiting(now_s)
        effects = self.effects.copy()
        self.effects.clear()
        return effects

    def _enable_dispatch(self, welcome: AgentWelcome, now_s: float) -> None:
        """Enable dispatches to a connected member.

        Does nothing if the stream and the membership name different incarnations.
        """
        agent_id = welcome.agent_id
        if welcome.incarnation != self._members[agent_id].incarnation:
            return
        slots = welcome.slots
        self._fleet.mark_connected(agent_id, welcome.incarnation, slots, now_s)
        if welcome.draining:
            load = LoadReport(running=0, queued=0, draining=True)
            self._fleet.record_load_report(agent_id, load, now_s)
        self._dispatcher.enable_agent(agent_id, welcome.incarnation)

    def next_hold_due_s(self) -> float:
        """Return the monotonic time by which held tasks need the next flush."""
        return self._queue.next_due_s()

    @property
    def queued_tasks(self) -> int:
        """Return the number of queued tasks that are not held."""
        return len(self._queue)

    def on_placement_changed(self) -> None:
        """Have all held tasks evaluated, as drains or evacuations have changed."""
        self._queue.mark_all_due()

    def _mark_due(self, agent_id: str) -> None:
        """Have the tasks that are held for an agent's rack evaluated again."""
        member = self._members.get(agent_id)
        if member is not None:
            self._queue.mark_due(member.rack)

    def _record_dispatch(self, record: DispatchRecord) -> None:
        if record.task.attempt == 1:
            for budget in self._budgets:
                budget.record_starts()
        self._hedger.watch(record)
        self._on_dispatch(record)

    def _revoke_stalled(self, now_s: float) -> None:
        """Revoke the unstarted dispatches of agents that finish no tasks."""
        if now_s < self._stalls_checked_s + STALL_CHECK_PERIOD_S:
            return
        self._stalls_checked_s = now_s
        for agent_id in self._fleet.stalled_agents(now_s):
            self._message_handler.revoke_outstanding(agent_id)

    def _update_confinement(self, now_s: float) -> None:
        for confinement in self.confinement.update(now_s):
            for agent_id in self._connected:
                self.effects.append(SendToAgent(agent_id, confinement))
