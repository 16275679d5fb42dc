"""Messages between an entry and a registrar."""

from __future__ import annotations

from enum import StrEnum

import attrs


class ClaimVerdict(StrEnum):
    """A registrar's answer to a claim.

    ``GRANTED``: the claimant owns the identifier.
    ``OWNED``: the identifier was granted to another claimant or attempt.
    ``CONFLICT``: it was granted for a request with another content.
    ``ABSTAINED``: the registrar can neither grant nor refuse the identifier.
    ``WRONG_EPOCH``: the claim names another epoch than the registrar's.
    ``DEAD_ATTEMPT``: the attempt was released, or a later one was granted.
    """

    GRANTED = "granted"
    OWNED = "owned"
    CONFLICT = "conflict"
    ABSTAINED = "abstained"
    WRONG_EPOCH = "wrong_epoch"
    DEAD_ATTEMPT = "dead_attempt"


@attrs.frozen(kw_only=True)
class Claim:
    """Request for the ownership of a job identifier.

    Attributes
    ----------
    attempt
        Number of this attempt of the claimant for the identifier, from 1.
    digest
        Digest of the request's content.
    epoch
        Epoch of the registrar group that the claimant knows.
    owner_address
        ``host:port`` at which other entries reach the claimant.
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
    """Release of an attempt and those before it, which are never granted again."""

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
    """Answer to a claim; it names the owner if the identifier has one.

    Attributes
    ----------
    owner_attempt
        The owner's attempt that was granted; it no longer changes once the owner
        has won the identifier.
    may_have_granted
        With ``ABSTAINED``: whether the registrar may have granted the identifier
        earlier and no longer knows it.
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
        Number of releases of this stream that the registrar has handled so far.
    """

    replies: tuple[ClaimReply, ...] = ()
    releases_handled: int = 0
