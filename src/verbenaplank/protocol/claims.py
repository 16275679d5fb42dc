"""Messages between an entry and a registrar."""

from __future__ import annotations

from enum import StrEnum

import attrs


class ClaimVerdict(StrEnum):
    """A registrar's answer to a claim."""

    GRANTED = "granted"
    OWNED = "owned"
    CONFLICT = "conflict"
    ABSTAINED = "abstained"
    WRONG_EPOCH = "wrong_epoch"
    DEAD_ATTEMPT = "dead_attempt"


@attrs.frozen(kw_only=True)
class Claim:
    """Asks for the ownership of a job identifier.

    Attributes
    ----------
    attempt
        Counts the claimant's tries for this identifier from 1.
    digest
        Digest of the request's content.
    epoch
        Epoch of the registrar group that the claimant knows.
    owner_address
        ``host:port`` where other entries reach the claimant.
    """

    job_id: str
    entry_id: str
    entry_incarnation: str
    attempt: int
    digest: bytes
    epoch: int
    owner_address: str


@attrs.frozen(kw_only=True)
class ClaimRelease:
    """Gives up one attempt; that attempt can never be granted again."""

    job_id: str
    entry_id: str
    entry_incarnation: str
    attempt: int


@attrs.frozen(kw_only=True)
class ToRegistrar:
    """Envelope from an entry to a registrar."""

    claims: tuple[Claim, ...] = ()
    releases: tuple[ClaimRelease, ...] = ()


@attrs.frozen(kw_only=True)
class ClaimReply:
    """Answers a claim; names the owner when the identifier is taken.

    Attributes
    ----------
    owner_attempt
        Attempt of the owner that holds the grant; it stays the same once the
        owner has won.
    may_have_granted
        On ``ABSTAINED``: whether the registrar may have granted the identifier
        before and no longer knows.
    """

    job_id: str
    attempt: int
    verdict: ClaimVerdict
    owner_entry_id: str = ""
    owner_incarnation: str = ""
    owner_address: str = ""
    owner_attempt: int = 0
    epoch: int = 0
    may_have_granted: bool = False


@attrs.frozen(kw_only=True)
class FromRegistrar:
    """Envelope from a registrar to an entry.

    Attributes
    ----------
    releases_handled
        How many releases of this stream the registrar has handled so far.
    """

    replies: tuple[ClaimReply, ...] = ()
    releases_handled: int = 0
