"""Messages between entries, to await the answer to a job or to cancel it."""

from __future__ import annotations

from enum import StrEnum

import attrs


class AttachState(StrEnum):
    """State of a job at its owner.

    ``ANSWERED``: the reply carries the answer.
    ``PENDING``: there is no answer yet; the asking entry asks again.
    ``UNKNOWN``: the owner does not know the job.
    ``CONFLICT``: the job has another content than the request's digest.
    """

    ANSWERED = "answered"
    PENDING = "pending"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


@attrs.frozen(kw_only=True)
class AttachRequest:
    """Request to a job's owner for the answer to the job.

    Attributes
    ----------
    digest
        Digest of the expected content; empty accepts any content.
    wait_ms
        How long the owner may wait for the answer.
    offset_bytes
        Offset in the answer's body from which the reply is to begin.
    """

    job_id: str
    digest: bytes = b""
    wait_ms: float = 0.0
    offset_bytes: int = 0


@attrs.frozen(kw_only=True)
class AttachReply:
    """Answer to :class:`AttachRequest`, with the owner's own HTTP answer.

    Attributes
    ----------
    status
        HTTP status that the owner gave to its caller.
    body
        Part of the body, from the requested offset on.
    size_bytes
        Length of the whole body.
    """

    state: AttachState
    status: int = 0
    body: bytes = b""
    size_bytes: int = 0


@attrs.frozen(kw_only=True)
class CancelRequest:
    """Request to a job's owner to cancel the job."""

    job_id: str


@attrs.frozen(kw_only=True)
class CancelReply:
    """Answer to :class:`CancelRequest`.

    Attributes
    ----------
    cancelled
        Whether the owner knew the job and had not answered it yet.
    """

    cancelled: bool
