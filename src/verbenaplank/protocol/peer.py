"""Messages between entries, to wait for the answer to a job or to cancel jobs."""

from __future__ import annotations

from enum import StrEnum

import attrs


class AttachState(StrEnum):
    """State of a job at its owner.

    ``ANSWERED``: the reply carries the answer.
    ``PENDING``: there is no answer yet; the requesting entry must ask again.
    ``UNKNOWN``: the owner does not know the job.
    ``CONFLICT``: the job's content does not match the request's digest.
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
        How long the owner may wait for the answer, in milliseconds.
    offset_bytes
        Offset in the answer's body at which the returned part is to begin.
    """

    job_id: str
    digest: bytes = b""
    wait_ms: float = 0.0
    offset_bytes: int = 0


@attrs.frozen(kw_only=True)
class AttachReply:
    """Reply to :class:`AttachRequest`, with the HTTP answer that the owner gave.

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
    """Reply to :class:`CancelRequest`.

    Attributes
    ----------
    cancelled
        Whether the owner knew the job and had not answered it yet.
    """

    cancelled: bool


@attrs.frozen(kw_only=True)
class RoutedJobName:
    """A routed job, by its route and the key that its caller chose."""

    route: str
    key: str


@attrs.frozen(kw_only=True)
class RoutedCancelRequest:
    """Request to cancel those of some routed jobs that the called entry runs."""

    jobs: tuple[RoutedJobName, ...]


@attrs.frozen(kw_only=True)
class RoutedCancelReply:
    """Reply to :class:`RoutedCancelRequest`.

    Attributes
    ----------
    cancelled
        For each job of the request, whether the entry ran it and stops it.
    """

    cancelled: tuple[bool, ...]
