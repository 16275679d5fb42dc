"""A run on a leased backend server whose end is not known, no I/O."""

from __future__ import annotations

import asyncio

import attrs

from verbenaplank.agent.backend import RunReport
from verbenaplank.agent.lease_protocol import EndKind
from verbenaplank.agent.lease_protocol import RunId
from verbenaplank.protocol.work import TaskOutcome

STALL_TIMEOUT_S = 0.7
"""A run without progress for so long is stopped."""

STALL_STEPS = 4.0
"""Unless one step of its progress takes that long, so many times over."""

OK = b"null"
"""The output of a task that only tells that it is done."""

OUTCOMES = {
    EndKind.DONE: TaskOutcome.SUCCEEDED,
    EndKind.FAILED: TaskOutcome.FAILED,
    EndKind.STOPPED: TaskOutcome.STOPPED,
    EndKind.LEASE_EXPIRED: TaskOutcome.CONNECTION_LOST,
    EndKind.NEVER_STARTED: TaskOutcome.NOT_STARTED,
    EndKind.OTHER: TaskOutcome.CONNECTION_LOST,
}


@attrs.define(eq=False)
class ActiveRun:
    """A run whose end is not known.

    Attributes
    ----------
    acknowledged
        Whether the order to start was answered.
    started_call
        Number of the newest hold call when the start was acknowledged; an
        answer to a later one lists the run unless it is over.
    """

    name: RunId
    end: asyncio.Future[EndKind]
    started_call: int | None = None
    acknowledged: bool = False
    stop_asked: bool = False
    stalled: bool = False
    started_s: float = 0.0
    percent: int = 0
    moved_s: float = 0.0

    def update_progress(self, percent: int, now_s: float) -> bool:
        """Note the progress; return whether there has been none for too long."""
        if percent != self.percent:
            self.percent = percent
            self.moved_s = now_s
        usual_s = (self.moved_s - self.started_s) / max(self.percent, 1)
        limit_s = max(STALL_TIMEOUT_S, STALL_STEPS * usual_s)
        return now_s - max(self.moved_s, self.started_s) > limit_s


def infer_end(run: ActiveRun) -> EndKind:
    """Return how a run ended that is listed neither as active nor as ended.

    Every end of a run that has started is listed until it is acknowledged.
    """
    if run.stop_asked and not run.acknowledged:
        return EndKind.NEVER_STARTED
    return EndKind.STOPPED if run.stop_asked else EndKind.LEASE_EXPIRED


def record_end(run: ActiveRun, kind: EndKind) -> None:
    """Note the end of a run; the first one counts."""
    if not run.end.done():
        run.end.set_result(kind)


def report_for_run(run: ActiveRun, kind: EndKind) -> RunReport:
    """Return the report of a run that had started."""
    if run.stalled and kind is EndKind.STOPPED:
        return RunReport(TaskOutcome.CONNECTION_LOST, error="the run stood still")
    return report_for_end(kind)


def report_for_end(kind: EndKind, error: str = "") -> RunReport:
    """Return the report of an end."""
    outcome = OUTCOMES[kind]
    if outcome is TaskOutcome.SUCCEEDED:
        return RunReport(outcome, output=OK)
    return RunReport(outcome, error=error or kind)
