"""Messages between entries: attaching to an owner's answer, and cancelling."""

from __future__ import annotations

from enum import StrEnum

import attrs


class AttachState(StrEnum):
    """What the owner knows of a job."""

    ANSWERED = "answered"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


@attrs.frozen(kw_only=True)
class AttachRequest:
    """Asks the owner for a job's answer, waiting until there is one."""

    job_id: str
    digest: bytes = b""
    wait_ms: float = 0.0


@attrs.frozen(kw_only=True)
class AttachReply:
    """The owner's answer: the very HTTP status and body that it gave."""

    state: AttachState
    status: int = 0
    body: bytes = b""


@attrs.frozen(kw_only=True)
class CancelRequest:
    """Asks the owner to cancel a job."""

    job_id: str


@attrs.frozen(kw_only=True)
class CancelReply:
    """Whether the owner knew the job and it was not yet answered."""

    cancelled: bool
