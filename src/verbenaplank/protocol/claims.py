"""Messages between an entry and a registrar."""

from __future__ import annotations

from enum import StrEnum

import attrs


class ClaimVerdict(StrEnum):
    """A registrar's answer to a claim.

    ``GRANTED``: the claimant owns the identifier.
    ``OWNED``: the identifier was granted to another claimant or attempt.
    ``CONFLICT``: it was granted for a request with different content.
    ``ABSTAINED``: the registrar can neither grant nor refuse the identifier.
    ``WRONG_EPOCH``: the claim's epoch differs from the registrar's.
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
        Sequence number, from 1, of the claimant's attempts to own the identifier.
    digest
        Digest of the content of the job's request.
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
    """Release of an attempt and all earlier ones; none of them is granted later."""

    job_id: str
    entry_id: str
    entry_incarnation: str
    attempt: int


class LookupVerdict(StrEnum):
    """A registrar's answer to a lookup.

    ``NOT_GRANTED``: it has granted the identifier to nobody who still holds it.
    ``GRANTED``: a claimant holds the identifier.
    ``UNKNOWN``: it may have granted the identifier earlier and no longer knows it.
    ``WRONG_EPOCH``: the lookup's epoch differs from the registrar's.
    """

    NOT_GRANTED = "not_granted"
    GRANTED = "granted"
    UNKNOWN = "unknown"
    WRONG_EPOCH = "wrong_epoch"


@attrs.frozen(kw_only=True)
class Lookup:
    """Question whether a job identifier is granted; it changes nothing.

    Attributes
    ----------
    number
        Sequence number of the lookup among those of the asking entry.
    epoch
        Epoch of the registrar group that the entry knows.
    """

    job_id: str
    number: int
    epoch: int


@attrs.frozen(kw_only=True)
class LookupReply:
    """Reply to the lookup with the same number."""

    number: int
    verdict: LookupVerdict


@attrs.frozen(kw_only=True)
class ToRegistrar:
    """Envelope from an entry to a registrar."""

    claims: tuple[Claim, ...] = ()
    releases: tuple[ClaimRelease, ...] = ()
    lookups: tuple[Lookup, ...] = ()


@attrs.frozen(kw_only=True)
class ClaimReply:
    """Reply to a claim; with ``OWNED`` and ``CONFLICT``, it names the owner.

    Attributes
    ----------
    owner_attempt
        The owner's attempt that was granted; it no longer changes once a majority
        of the registrars has granted the same attempt.
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
        Number of releases on this stream that the registrar has handled so far.
    """

    replies: tuple[ClaimReply, ...] = ()
    releases_handled: int = 0
    lookup_replies: tuple[LookupReply, ...] = ()
