"""State of a run on a leased backend server until its end is known."""

from __future__ import annotations

import asyncio
import math

import attrs

from verbenaplank.agent.backend import RunReport
from verbenaplank.agent.former_lives import LONGEST_DOUBT_S
from verbenaplank.agent.lease_holder import LeaseHolder
from verbenaplank.agent.lease_holder import UnlimitedLeaseHolder
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.protocol.work import TaskOutcome

STALL_TIMEOUT_S = 0.7
"""Shortest time without progress after which a run is stopped as stalled."""

STALL_STEP_FACTOR = 4.0
"""A run is stalled only if it makes no progress for this many times its mean time per
percent."""

NULL_OUTPUT = b"null"
"""Output of a successful task, because a leased backend server returns no result."""

OWNER_LOSS_MARGIN_S = 0.4
"""How long a run may outlast the lease of its entry.

The callers of a lost entry may be back 1.3 s after the loss.  The lease of the entry
takes 0.8 s of that time; what is left allows for clocks that run 2% slow and for the
time that the backend server takes to end runs.
"""

MAX_STOP_S = 1.5
"""How long a run may outlast the request to stop it.

A task must have ended 3 s after its job's cancel was acknowledged.
"""

OUTCOME_BY_END = {
    EndKind.DONE: TaskOutcome.SUCCEEDED,
    EndKind.FAILED: TaskOutcome.FAILED,
    EndKind.STOPPED: TaskOutcome.STOPPED,
    EndKind.LEASE_EXPIRED: TaskOutcome.CONNECTION_LOST,
    EndKind.NEVER_STARTED: TaskOutcome.NOT_STARTED,
    EndKind.OTHER: TaskOutcome.CONNECTION_LOST,
}


@attrs.define(eq=False)
class ActiveRun:
    """A run that may still be active on the backend server.

    Attributes
    ----------
    end
        Future that holds how the run ended, once that is known.
    visible_after_poll
        Number of the latest poll when the start or stop was acknowledged; the reply
        to a later poll lists the run as active unless it has ended.
    start_acknowledged
        Whether the backend server acknowledged the start.
    owner
        The entry for which the task runs.
    unanswered_start_s
        Monotonic time at which the last start request without an answer was sent.
    stop_requested_s
        Monotonic time at which the agent began to stop the run; infinity if it has
        not.
    stalled
        Whether the agent is stopping the run because it made no progress.
    workload
        Name of a kind of task; empty if unknown.
    percent
        Share of the work that is done, in percent.
    progressed_s
        Monotonic time of the latest change of ``percent``.
    """

    run_id: RunId
    end: asyncio.Future[EndKind]
    workload: str = ""
    owner: LeaseHolder = attrs.field(factory=UnlimitedLeaseHolder)
    visible_after_poll: int | None = None
    start_acknowledged: bool = False
    unanswered_start_s: float = -math.inf
    stop_requested_s: float = math.inf
    stalled: bool = False
    started_s: float = 0.0
    percent: int = 0
    progressed_s: float = 0.0

    @property
    def stop_requested(self) -> bool:
        """Whether the agent is stopping the run."""
        return self.stop_requested_s < math.inf

    @property
    def must_end_by_s(self) -> float:
        """Return the monotonic time by which the run must have ended.

        It moves on while the entry renews its lease.
        """
        owner_limit_s = self.owner.lease_until_s + OWNER_LOSS_MARGIN_S
        return min(owner_limit_s, self.stop_requested_s + MAX_STOP_S)

    def is_in_doubt(self, now_s: float) -> bool:
        """Return whether a later life of the backend server may begin the run.

        It may carry out a start request that got no answer in the present life.
        """
        return not self.end.done() and now_s - self.unanswered_start_s < LONGEST_DOUBT_S

    def update_progress(self, percent: int, now_s: float) -> bool:
        """Record the progress and return whether the run is stalled."""
        if percent != self.percent:
            self.percent = percent
            self.progressed_s = now_s
        step_s = (self.progressed_s - self.started_s) / max(self.percent, 1)
        limit_s = max(STALL_TIMEOUT_S, STALL_STEP_FACTOR * step_s)
        return now_s - max(self.progressed_s, self.started_s) > limit_s


def infer_end(run: ActiveRun) -> EndKind:
    """Infer how a run ended if a poll reply lists it neither as active nor as ended.

    The backend server lists the end of every run that has started until that end is
    acknowledged.  So a stopped run whose start was not acknowledged never started.
    """
    if run.stop_requested and not run.start_acknowledged:
        return EndKind.NEVER_STARTED
    return EndKind.STOPPED if run.stop_requested else EndKind.LEASE_EXPIRED


def record_end(run: ActiveRun, kind: EndKind) -> None:
    """Record the end of a run, unless one is recorded already."""
    if not run.end.done():
        run.end.set_result(kind)


def report_for_run(run: ActiveRun, kind: EndKind) -> RunReport:
    """Return the report for the end of a run that had started.

    A run that was stopped because it stalled is reported as ``CONNECTION_LOST``.
    """
    if run.stalled and kind is EndKind.STOPPED:
        return RunReport(TaskOutcome.CONNECTION_LOST, error="the run stalled")
    return report_for_end(kind)


def report_for_end(kind: EndKind, error: str = "") -> RunReport:
    """Return the report for an end; ``error`` defaults to the kind of the end."""
    outcome = OUTCOME_BY_END[kind]
    if outcome is TaskOutcome.SUCCEEDED:
        return RunReport(outcome, output=NULL_OUTPUT)
    return RunReport(outcome, error=error or kind)
