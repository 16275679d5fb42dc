"""The reasons for which an entry aborts a job in progress."""

from __future__ import annotations

from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.overload.refusal import RefusalCause

CANCELLED = Rejection(kind=FailureKind.CANCELLED, detail="cancelled by the caller")
DEADLINE_EXCEEDED = Rejection(
    kind=FailureKind.DEADLINE_EXCEEDED,
    detail="the deadline passed",
    cause=RefusalCause.DEADLINE,
)
NO_TIME_TO_START = Rejection(
    kind=FailureKind.OVERLOADED,
    detail="no worker became free in time to complete the request",
    cause=RefusalCause.LATEST_START,
)
LEASE_EXPIRED = Rejection(
    kind=FailureKind.OUTCOME_UNKNOWN,
    detail="the lease of this entry expired while the request was in progress",
)
STOPPED = Rejection(
    kind=FailureKind.CANCELLED, detail="the entry stopped before the request completed"
)

NO_SERVER_IN_TIME = "the queue ahead is too long for the request to start in time"
