"""What a backend server that runs tasks under a lease is asked, and answers."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

import attrs


class CallFailedError(Exception):
    """No answer came; the call may have been carried out, or may be later."""


class NotSentError(CallFailedError):
    """The call never left, as no connection could be opened."""


class BackendRestartedError(Exception):
    """The backend server has restarted since it was last known."""


class StartStatus(StrEnum):
    """What became of an order to start.

    ``OUTDATED`` means that a run of the same or a higher number was there.
    The others besides ``STARTED`` have changed nothing either.
    """

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_CAPACITY = "no_room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class EndKind(StrEnum):
    """How a run ended, by the backend server's word.

    ``NEVER`` is a run that was stopped before it had started.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    NEVER_STARTED = "never"
    OTHER = "other"


@attrs.frozen(kw_only=True)
class RunId:
    """One run of a task, as the backend server knows it."""

    task: str
    number: int


@attrs.frozen(kw_only=True)
class StartRequest:
    """Starts a run; refused if it arrives after the deadline.

    Attributes
    ----------
    deadline_ms
        On the backend server's clock; also extends its lease up to there.
    """

    run: RunId
    content: str
    deadline_ms: int
    fence: int


@attrs.frozen(kw_only=True)
class StartReply:
    """Answers :class:`StartOrder`; ``clock_ms`` is the backend server's clock."""

    status: StartStatus
    clock_ms: int | None = None


@attrs.frozen(kw_only=True)
class RunEnd:
    """The end of a run; ``sequence`` counts the ends of one life from 1."""

    sequence: int
    run: RunId
    kind: EndKind


@attrs.frozen(kw_only=True)
class RunProgress:
    """A run that goes on and the share of its work that is done."""

    run: RunId
    percent: int


@attrs.frozen(kw_only=True)
class PollRequest:
    """Renews the lease, acknowledges ends and waits for the next one.

    Attributes
    ----------
    deadline_ms
        New end of the lease on the backend server's clock, or ``None`` to leave
        it as it is.
    acknowledged
        Ends up to this sequence need not be told again.
    """

    fence: int
    deadline_ms: int | None
    acknowledged: int
    wait_ms: int = 0


@attrs.frozen(kw_only=True)
class PollReply:
    """Answers :class:`HoldOrder`; a fenced one lists nothing."""

    clock_ms: int
    fenced: bool = False
    active: tuple[RunProgress, ...] = ()
    ended: tuple[RunEnd, ...] = ()


class LeasedBackendClient(Protocol):
    """Calls one life of a backend server.

    Every call raises :class:`CallFailedError` if no answer came, and
    :class:`OtherLifeError` if another life answered.
    """

    async def start(self, request: StartRequest, timeout_s: float) -> StartReply:
        """Order a start."""

    async def stop(self, run: RunId, fence: int, timeout_s: float) -> None:
        """Order that a run stops, and that it never starts later."""

    async def poll(self, request: PollRequest, timeout_s: float) -> PollReply:
        """Renew the lease and learn what runs and what has ended."""

    def close(self) -> None:
        """Close the connections."""
