"""Messages between an entry and an agent."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.placement.task import NO_RESOURCES
from verbenaplank.placement.task import Resources


class TaskOutcome(StrEnum):
    """How the run of a task ended.

    ``NOT_STARTED`` means that the backend server refused to start it.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    STOPPED = "stopped"
    NOT_STARTED = "not_started"
    CONNECTION_LOST = "connection_lost"


class RefusalReason(StrEnum):
    """Why an agent refused a dispatch; a refused dispatch never starts.

    ``ALREADY_STARTED`` says less: the task has, or may have, started here by
    this dispatch or another one, and does not start again.
    """

    DRAINING = "draining"
    WRONG_INCARNATION = "wrong_incarnation"
    BUDGET_SPENT = "budget_spent"
    REVOKED = "revoked"
    ALREADY_STARTED = "already_started"
    LEASE_EXPIRED = "lease_expired"
    UNKNOWN_SERVICE = "unknown_service"
    FULL = "full"
    BACKEND_SERVER_DOWN = "backend_server_down"


class RevocationState(StrEnum):
    """What a revocation found."""

    REVOKED = "revoked"
    STARTED = "started"
    FINISHED = "finished"


@attrs.frozen(kw_only=True)
class EntryHello:
    """Opens a stream; the first message of an entry."""

    entry_id: str
    incarnation: str
    data_centre: str


@attrs.frozen(kw_only=True)
class AgentWelcome:
    """Answers :class:`EntryHello`; dispatches must carry this incarnation."""

    agent_id: str
    incarnation: str
    slots: int
    draining: bool = False


@attrs.frozen(kw_only=True)
class Dispatch:
    """One task for one agent.

    Attributes
    ----------
    dispatch_id
        Unique among the dispatches of one entry incarnation.
    attempt
        Counts the allowed runs of the task from 1; an agent starts each
        ``(job_id, task_index, attempt)`` at most once.
    agent_incarnation
        The incarnation that the dispatch is meant for.
    payload
        JSON text of the task.
    start_budget_ms
        The task must start within this time after the agent receives it.
    run_budget_ms
        The run is stopped after this time.
    """

    job_id: str
    task_index: int
    dispatch_id: int
    agent_incarnation: str
    service: str
    payload: bytes
    start_budget_ms: float
    run_budget_ms: float
    attempt: int = 1
    urgent: bool = False
    needs: Resources = NO_RESOURCES


@attrs.frozen(kw_only=True)
class Revoke:
    """Asks that a dispatch never starts, if it has not started.

    Attributes
    ----------
    agent_incarnation
        The incarnation that the dispatch was meant for; another one cannot
        tell whether it started.  Empty if it is surely the present one.
    """

    dispatch_id: int
    job_id: str
    task_index: int
    attempt: int = 1
    agent_incarnation: str = ""


@attrs.frozen(kw_only=True)
class Stop:
    """Asks that a running task is stopped where the backend server can."""

    dispatch_id: int
    job_id: str
    task_index: int
    attempt: int = 1


@attrs.frozen(kw_only=True)
class LeaseRenewal:
    """Renews the lease of everything that the entry has at the agent.

    Attributes
    ----------
    heard_clock_s
        The newest time of the agent's clock that the entry was told; the lease
        counts from it, so that a late renewal extends nothing.
    """

    lease_ms: float
    heard_clock_s: float | None = None


@attrs.frozen(kw_only=True)
class ToAgent:
    """Envelope from an entry to an agent.

    Attributes
    ----------
    results_received
        How many results the entry has received on this stream so far; the
        agent need not keep them any longer.
    """

    hello: EntryHello | None = None
    dispatches: tuple[Dispatch, ...] = ()
    revokes: tuple[Revoke, ...] = ()
    stops: tuple[Stop, ...] = ()
    renewal: LeaseRenewal | None = None
    results_received: int = 0


@attrs.frozen(kw_only=True)
class TaskResult:
    """The end of a task's run; ``output`` is JSON text."""

    job_id: str
    task_index: int
    dispatch_id: int
    outcome: TaskOutcome
    output: bytes = b""
    error: str = ""
    run_time_ms: float = 0.0
    wait_time_ms: float = 0.0
    attempt: int = 1


@attrs.frozen(kw_only=True)
class DispatchRefusal:
    """A dispatch that was refused and can never start."""

    job_id: str
    task_index: int
    dispatch_id: int
    reason: RefusalReason
    attempt: int = 1


@attrs.frozen(kw_only=True)
class Revocation:
    """Answers :class:`Revoke`; a finished task's result follows again."""

    job_id: str
    task_index: int
    dispatch_id: int
    state: RevocationState


@attrs.frozen(kw_only=True)
class LoadReport:
    """What an agent has of all entries together, sent along with replies.

    Attributes
    ----------
    clock_s
        The agent's monotonic clock when it made the report.
    """

    running: int
    queued: int
    draining: bool = False
    cores_used: float = 0.0
    memory_used_mb: float = 0.0
    clock_s: float | None = None


@attrs.frozen(kw_only=True)
class FromAgent:
    """Envelope from an agent to an entry."""

    welcome: AgentWelcome | None = None
    results: tuple[TaskResult, ...] = ()
    refusals: tuple[DispatchRefusal, ...] = ()
    revocations: tuple[Revocation, ...] = ()
    load: LoadReport | None = None
