"""Tracks all dispatches and derives from them whether a failed request has run.

This is the only place that builds the failures an entry returns.  A failure says
``not_run`` only if the job is sealed and none of its dispatches has started or can
still start.  A sealed job accepts no further dispatch.
"""

from __future__ import annotations

from collections import defaultdict
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from verbenaplank.outcome.failure import Failure
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.failure import RunState
from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenaplank.outcome.rejection import Rejection


class DispatchState(StrEnum):
    """State of a dispatch as far as the entry knows it.

    An ``OUTSTANDING`` dispatch was sent and may start at any time.  A ``STARTED``
    one is known to have started.  The other states are final: ``NEVER_STARTED``
    was refused or revoked, ``FINISHED`` has ended, and ``LOST`` may have run, but
    its outcome will never be known.
    """

    OUTSTANDING = "outstanding"
    STARTED = "started"
    FINISHED = "finished"
    NEVER_STARTED = "never_started"
    LOST = "lost"


OPEN_STATES = frozenset({DispatchState.OUTSTANDING, DispatchState.STARTED})


class SealedJobError(RuntimeError):
    """A dispatch was rejected because its job accepts no further dispatches."""


@attrs.define(kw_only=True)
class DispatchRecord:
    """One dispatch of a task to an agent, with its state.

    Attributes
    ----------
    agent_incarnation
        Incarnation of the agent process that it was sent to.
    sent_s
        Monotonic time at which it was sent, in seconds.
    revoke_sent
        Whether a revoke has been sent for it.
    """

    dispatch_id: int
    task: TaskRequest
    agent_id: str
    agent_incarnation: str
    sent_s: float
    state: DispatchState = DispatchState.OUTSTANDING
    revoke_sent: bool = False

    @property
    def is_started(self) -> bool:
        """Return whether the dispatch is known to have started."""
        return self.state is DispatchState.STARTED


@attrs.define
class _JobDispatchCounts:
    sealed: bool = False
    released: bool = False
    outstanding: int = 0
    started: int = 0
    lost: int = 0


class DispatchTable:
    """Holds the open dispatches of one entry incarnation, by id, agent and job.

    A record is kept until its state is final, even after its job has completed,
    so that late messages still find it.  The counts of a job are kept until the
    job is released and none of its dispatches is open.
    """

    def __init__(self) -> None:
        self._next_id = 1
        self._open: dict[int, DispatchRecord] = {}
        self._by_agent: dict[str, dict[int, DispatchRecord]] = defaultdict(dict)
        self._by_job: dict[str, dict[int, DispatchRecord]] = {}
        self._counts: dict[str, _JobDispatchCounts] = {}

    def __len__(self) -> int:
        return len(self._open)

    def open_job(self, job_id: str) -> None:
        """Start tracking the dispatches of a job."""
        self._counts[job_id] = _JobDispatchCounts()
        self._by_job[job_id] = {}

    def add(
        self, task: TaskRequest, agent_id: str, agent_incarnation: str, now_s: float
    ) -> DispatchRecord:
        """Add a dispatch before it is sent, and return its record.

        Raises
        ------
        SealedJobError
            If the job is sealed or is not tracked.
        """
        counts = self._counts.get(task.job_id)
        if counts is None or counts.sealed:
            raise SealedJobError(task.job_id)
        record = DispatchRecord(
            dispatch_id=self._next_id,
            task=task,
            agent_id=agent_id,
            agent_incarnation=agent_incarnation,
            sent_s=now_s,
        )
        self._next_id += 1
        counts.outstanding += 1
        self._open[record.dispatch_id] = record
        self._by_agent[agent_id][record.dispatch_id] = record
        self._by_job[task.job_id][record.dispatch_id] = record
        return record

    def find(self, dispatch_id: int, agent_id: str) -> DispatchRecord | None:
        """Return an open dispatch if it was sent to the given agent, or ``None``."""
        record = self._open.get(dispatch_id)
        if record is None or record.agent_id != agent_id:
            return None
        return record

    def mark_started(self, record: DispatchRecord) -> None:
        """Mark a dispatch as started; has no effect if it is not outstanding."""
        if record.state is not DispatchState.OUTSTANDING:
            return
        record.state = DispatchState.STARTED
        counts = self._counts_of(record)
        counts.outstanding -= 1
        counts.started += 1

    def mark_finished(self, record: DispatchRecord) -> None:
        """Mark a dispatch as started and ended, and close it."""
        self.mark_started(record)
        self._close(record, DispatchState.FINISHED)

    def mark_never_started(self, record: DispatchRecord) -> None:
        """Close a dispatch that was refused or revoked and can never start.

        Raises
        ------
        ValueError
            If the dispatch is known to have started.
        """
        counts = self._counts_of(record)
        if record.state is DispatchState.STARTED:
            raise ValueError(f"dispatch {record.dispatch_id} has already started")
        counts.outstanding -= 1
        self._close(record, DispatchState.NEVER_STARTED)

    def mark_lost(self, record: DispatchRecord) -> None:
        """Close a dispatch whose outcome will never be known.

        It counts as started, since it may have run.
        """
        self.mark_started(record)
        self._counts_of(record).lost += 1
        self._close(record, DispatchState.LOST)

    def open_for_agent(self, agent_id: str) -> tuple[DispatchRecord, ...]:
        """Return the open dispatches of an agent, oldest first."""
        return tuple(self._by_agent.get(agent_id, {}).values())

    def has_open_dispatches(self, agent_id: str) -> bool:
        """Return whether an agent has open dispatches."""
        return bool(self._by_agent.get(agent_id))

    def open_for_job(self, job_id: str) -> tuple[DispatchRecord, ...]:
        """Return the open dispatches of a job, oldest first."""
        return tuple(self._by_job.get(job_id, {}).values())

    def open_for_task(self, job_id: str, task_index: int) -> tuple[DispatchRecord, ...]:
        """Return the open dispatches of a task, oldest first."""
        records: Iterable[DispatchRecord] = self._by_job.get(job_id, {}).values()
        return tuple(r for r in records if r.task.task_index == task_index)

    def agents_with_open_dispatches(self) -> tuple[str, ...]:
        """Return the ids of the agents that have open dispatches."""
        return tuple(agent for agent, records in self._by_agent.items() if records)

    def seal(self, job_id: str) -> None:
        """Reject all further dispatches of a job."""
        if job_id in self._counts:
            self._counts[job_id].sealed = True

    def may_still_start(self, job_id: str) -> bool:
        """Return whether any dispatch of a job is outstanding."""
        counts = self._counts.get(job_id)
        return counts is not None and counts.outstanding > 0

    def may_have_started(self, job_id: str) -> bool:
        """Return whether a dispatch of a job has started or still may start."""
        counts = self._counts.get(job_id)
        return counts is not None and bool(
            counts.outstanding or counts.started or counts.lost
        )

    def make_failure(self, rejection: Rejection, job_id: str = "") -> Failure:
        """Seal a job and return its failure, including whether any of it has run.

        Parameters
        ----------
        rejection
            The reason for the failure.
        job_id
            The job; empty for a request that was refused before it became a job
            and therefore has no dispatches.
        """
        self.seal(job_id)
        return Failure(
            kind=rejection.kind,
            detail=rejection.detail,
            run=self._run_state(rejection, self._counts.get(job_id)),
            findings=rejection.findings,
            retry_after_s=rejection.retry_after_s,
            cause=rejection.cause,
        )

    def release_job(self, job_id: str) -> None:
        """Seal a job and remove its counts once none of its dispatches is open."""
        self.seal(job_id)
        if job_id in self._counts:
            self._counts[job_id].released = True
            self._remove_if_released(job_id)

    def _run_state(
        self, rejection: Rejection, counts: _JobDispatchCounts | None
    ) -> RunState:
        unknown = (FailureKind.OUTCOME_UNKNOWN, FailureKind.UNKNOWN_JOB)
        if rejection.kind in unknown or not rejection.knows_id:
            return RunState.MAY_HAVE_RUN
        if counts is None:
            return RunState.NOT_RUN
        if counts.outstanding or counts.lost:
            return RunState.MAY_HAVE_RUN
        return RunState.RAN if counts.started else RunState.NOT_RUN

    def _counts_of(self, record: DispatchRecord) -> _JobDispatchCounts:
        return self._counts[record.task.job_id]

    def _close(self, record: DispatchRecord, state: DispatchState) -> None:
        record.state = state
        job_id = record.task.job_id
        del self._open[record.dispatch_id]
        del self._by_agent[record.agent_id][record.dispatch_id]
        del self._by_job[job_id][record.dispatch_id]
        self._remove_if_released(job_id)

    def _remove_if_released(self, job_id: str) -> None:
        if self._counts[job_id].released and not self._by_job[job_id]:
            del self._counts[job_id]
            del self._by_job[job_id]
