"""Requests and replies between an agent and a backend server with a lease.

The agent renews the lease; when it expires, the backend server stops its runs.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple
from typing import Protocol

import attrs


class CallFailedError(Exception):
    """A call got no usable reply; it may have taken effect, or may still do so."""


class NotSentError(CallFailedError):
    """A call was not sent, because no connection could be opened."""


class UnreachableError(NotSentError):
    """A call was not sent, because opening a connection took too long.

    Other than a refused connection, this does not show that the process has ended.
    """


class BackendRestartedError(Exception):
    """The called incarnation of the backend server has ended."""


class RestartFoundError(BackendRestartedError):
    """The called incarnation has ended, and the call was not sent to the next one."""


class FencedOffError(Exception):
    """A call was refused, because a higher fencing token has been used."""


class StartStatus(StrEnum):
    """Result of a start request; all members except ``STARTED`` are refusals.

    ``OUTDATED`` means that the task already has a run of the same or a higher
    number.  A refused request has had no effect.
    """

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_CAPACITY = "no_room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class EndKind(StrEnum):
    """How a run ended, as reported by the backend server.

    ``NEVER_STARTED`` is a run that was stopped before it had started.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    NEVER_STARTED = "never"
    OTHER = "other"


class RunId(NamedTuple):
    """Identifies one run of a task on the backend server.

    It and the rows of a :class:`PollReply` are tuples, because each reply to a poll
    lists all active runs.
    """

    task: str
    number: int


@attrs.frozen(kw_only=True)
class StartRequest:
    """Asks the backend server to start a run, which also extends its lease.

    Attributes
    ----------
    content
        Specification of the work, as it came in the payload of the dispatch.
    deadline_ms
        New end of the lease on the backend server's clock, in milliseconds.  A
        request that arrives later is refused.
    fence
        Fencing token of the agent; a token below the highest one seen is refused.
    """

    run: RunId
    content: str
    deadline_ms: int
    fence: int


@attrs.frozen(kw_only=True)
class StartReply:
    """Reply to a :class:`StartRequest`.

    Attributes
    ----------
    clock_ms
        Reading of the backend server's clock, in milliseconds.
    """

    status: StartStatus
    clock_ms: int | None = None


class RunEnd(NamedTuple):
    """The end of a run.

    Attributes
    ----------
    sequence
        Number of this end, counted from 1 in each incarnation.
    """

    sequence: int
    run: RunId
    kind: EndKind


class RunProgress(NamedTuple):
    """An active run and the share of its work that is done, in percent."""

    run: RunId
    percent: int


@attrs.frozen(kw_only=True)
class PollRequest:
    """Renews the lease, acknowledges ended runs and waits for the next end.

    Attributes
    ----------
    fence
        Fencing token of the agent; a token below the highest one seen is refused.
    deadline_ms
        New end of the lease on the backend server's clock, in milliseconds, or
        ``None`` to leave it unchanged.
    acknowledged
        Highest sequence number of the ends that need not be listed again.
    wait_ms
        How long the reply may be delayed while there is no end to report, in
        milliseconds.
    """

    fence: int
    deadline_ms: int | None
    acknowledged: int
    wait_ms: int = 0


@attrs.frozen(kw_only=True)
class PollReply:
    """Reply to a :class:`PollRequest`.

    Attributes
    ----------
    clock_ms
        Reading of the backend server's clock, in milliseconds.
    started_ms
        Time of day at which this incarnation started, by its own clock, in
        milliseconds since 1970; 0 if unknown.
    fenced
        Whether a higher fencing token has been used; nothing is listed then.
    active
        Runs that have started and not ended.
    ended
        Ends that have not been acknowledged.
    """

    clock_ms: int
    started_ms: int = 0
    fenced: bool = False
    active: tuple[RunProgress, ...] = ()
    ended: tuple[RunEnd, ...] = ()


class LeasedBackendClient(Protocol):
    """Client of one incarnation of a backend server.

    Every call raises :class:`CallFailedError` if no usable reply came, and
    :class:`BackendRestartedError` if another incarnation replied.
    """

    async def start(self, request: StartRequest, timeout_s: float) -> StartReply:
        """Ask the backend server to start a run."""

    async def stop(self, run: RunId, fence: int, timeout_s: float) -> None:
        """Stop a run, and prevent it from starting if it has not started yet."""

    async def poll(self, request: PollRequest, timeout_s: float) -> PollReply:
        """Renew the lease and return the active and the ended runs."""

    def close(self) -> None:
        """Close the connections."""
