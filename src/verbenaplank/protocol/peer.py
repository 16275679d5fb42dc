"""Messages between entries: attaching to an owner's answer, and cancelling."""

from __future__ import annotations

from enum import StrEnum

import attrs


class AttachState(StrEnum):
    """What the owner knows of a job; ``PENDING`` means to ask again."""

    ANSWERED = "answered"
    PENDING = "pending"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


@attrs.frozen(kw_only=True)
class AttachRequest:
    """Asks the owner for a job's answer.

    Attributes
    ----------
    digest
        Digest of the content; empty to ask for whatever the id belongs to.
    wait_ms
        How long the owner may wait for the answer.
    offset_bytes
        Where the part of the answer's body begins that is asked for.
    """

    job_id: str
    digest: bytes = b""
    wait_ms: float = 0.0
    offset_bytes: int = 0


@attrs.frozen(kw_only=True)
class AttachReply:
    """The owner's answer: the very HTTP status and body that it gave.

    Attributes
    ----------
    body
        A part of the body, from the offset that was asked for.
    size_bytes
        Length of the whole body.
    """

    state: AttachState
    status: int = 0
    body: bytes = b""
    size_bytes: int = 0


@attrs.frozen(kw_only=True)
class CancelRequest:
    """Asks the owner to cancel a job."""

    job_id: str


@attrs.frozen(kw_only=True)
class CancelReply:
    """Whether the owner knew the job and it was not yet answered."""

    cancelled: bool
