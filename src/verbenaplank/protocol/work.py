"""Messages between an entry and an agent."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.placement.task import NO_RESOURCES
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.crash import Confinement
from verbenaplank.protocol.crash import CrashReport


class TaskOutcome(StrEnum):
    """How the run of a task ended.

    ``NOT_STARTED`` means that the backend server refused to start the task.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    STOPPED = "stopped"
    NOT_STARTED = "not_started"
    CONNECTION_LOST = "connection_lost"


class RefusalReason(StrEnum):
    """Why an agent refused a dispatch.

    A refused dispatch never starts its task, except that ``ALREADY_STARTED`` means
    that this dispatch or another one has, or may have, started the task on this
    agent before. The task does not start again.
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
    """State in which a revocation found a dispatch."""

    REVOKED = "revoked"
    STARTED = "started"
    FINISHED = "finished"


@attrs.frozen(kw_only=True)
class EntryHello:
    """First message of an entry on a stream to an agent."""

    entry_id: str
    incarnation: str
    data_centre: str


@attrs.frozen(kw_only=True)
class AgentWelcome:
    """Reply to :class:`EntryHello`.

    Attributes
    ----------
    incarnation
        Incarnation of the agent, which each dispatch must carry.
    slots
        Number of tasks that the backend server can run at the same time.
    """

    agent_id: str
    incarnation: str
    slots: int
    draining: bool = False


@attrs.frozen(kw_only=True)
class Dispatch:
    """Assignment of one task to one agent.

    Attributes
    ----------
    dispatch_id
        Unique among the dispatches of one entry incarnation.
    attempt
        Number of the run of the task that this dispatch permits, from 1; an agent
        starts each ``(job_id, task_index, attempt)`` at most once.
    agent_incarnation
        Incarnation of the agent that may start the task.
    payload
        JSON text of the task.
    start_budget_ms
        Time after the receipt by the agent within which the task must start, in
        milliseconds.
    run_budget_ms
        Time after its start at which the run is stopped, in milliseconds.
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
    """Request that a dispatch which has not started yet never starts.

    Attributes
    ----------
    agent_incarnation
        Incarnation of the agent that received the dispatch; another one cannot
        know whether it started. Empty if it is known to be the current one.
    """

    dispatch_id: int
    job_id: str
    task_index: int
    attempt: int = 1
    agent_incarnation: str = ""


@attrs.frozen(kw_only=True)
class Stop:
    """Request to stop a running task, if the backend server supports that."""

    dispatch_id: int
    job_id: str
    task_index: int
    attempt: int = 1


@attrs.frozen
class HeldCount:
    """Number of tasks that an entry holds for an agent's rack.

    It is sent as a field of :class:`ToAgent`.
    """

    tasks: int


@attrs.frozen(kw_only=True)
class LeaseRenewal:
    """Renewal of the lease for all dispatches of the entry at the agent.

    Attributes
    ----------
    lease_ms
        Duration of the lease, in milliseconds.
    heard_clock_s
        Newest reading of the agent's clock that the entry has received, in
        seconds. The lease starts at that time, so that a delayed renewal does not
        extend the lease.
    """

    lease_ms: float
    heard_clock_s: float | None = None


@attrs.frozen(kw_only=True)
class ToAgent:
    """Envelope from an entry to an agent.

    Attributes
    ----------
    results_received
        Number of results that the entry has received on this stream so far; the
        agent need not keep them any longer.
    crashes, confinements
        Crash reports and confined workloads that the agent may not know.
    held
        Tasks that the entry holds for the agent's rack; ``None`` if the number is
        unchanged.
    """

    hello: EntryHello | None = None
    dispatches: tuple[Dispatch, ...] = ()
    revokes: tuple[Revoke, ...] = ()
    stops: tuple[Stop, ...] = ()
    renewal: LeaseRenewal | None = None
    results_received: int = 0
    crashes: tuple[CrashReport, ...] = ()
    confinements: tuple[Confinement, ...] = ()
    held: int | None = None


@attrs.frozen(kw_only=True)
class TaskResult:
    """Result of a task's run; ``output`` is JSON text."""

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
    """Reply to a dispatch that the agent refuses, with the reason.

    Attributes
    ----------
    evacuated
        Whether the agent's data centre is evacuated, if the reason is ``DRAINING``.
    """

    job_id: str
    task_index: int
    dispatch_id: int
    reason: RefusalReason
    attempt: int = 1
    evacuated: bool = False


@attrs.frozen(kw_only=True)
class Revocation:
    """Reply to :class:`Revoke`; if the task has finished, its result is resent."""

    job_id: str
    task_index: int
    dispatch_id: int
    state: RevocationState


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of an agent from the tasks of all entries, sent along with replies.

    Attributes
    ----------
    clock_s
        The agent's monotonic clock when it made the report, in seconds.
    cold_remaining_ms
        How much longer the backend server stays slow after a start, in milliseconds.
    held
        Tasks that all entries together hold for the rack of this agent.
    cold_span_ms
        Duration of the whole cold time that ``cold_remaining_ms`` is left of.
    """

    running: int
    queued: int
    draining: bool = False
    cores_used: float = 0.0
    memory_used_mb: float = 0.0
    clock_s: float | None = None
    cold_remaining_ms: float = 0.0
    held: int = 0
    cold_span_ms: float = 0.0


@attrs.frozen(kw_only=True)
class FromAgent:
    """Envelope from an agent to an entry.

    Attributes
    ----------
    crashes, confinements
        Crash reports and confined workloads that the entry may not know.
    """

    welcome: AgentWelcome | None = None
    results: tuple[TaskResult, ...] = ()
    refusals: tuple[DispatchRefusal, ...] = ()
    revocations: tuple[Revocation, ...] = ()
    load: LoadReport | None = None
    crashes: tuple[CrashReport, ...] = ()
    confinements: tuple[Confinement, ...] = ()
