"""A registrar: grants each job identifier to at most one claimant.

A core without I/O.  Times are identifier timestamps in milliseconds since the
Unix epoch.  Three bounds keep a grant from being repeated after memory is lost:

* ``floor_ms`` only rises; identifiers below it have left the retention.
* ``amnesia_ms`` is set at the start; the registrar may have granted identifiers
  up to it in an earlier life, so it abstains on them.
* ``ceiling_ms`` is synced to disk before it is raised here; no identifier above
  it is granted, so after a restart the synced value is the next ``amnesia_ms``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.identifiers.job_id import job_timestamp_ms
from verbenaplank.protocol.claims import ClaimReply
from verbenaplank.protocol.claims import ClaimVerdict

if TYPE_CHECKING:
    from verbenaplank.protocol.claims import Claim
    from verbenaplank.protocol.claims import ClaimRelease

BUCKET_MS = 1_000
"""Identifiers whose timestamps share this many milliseconds expire together."""

NO_CEILING_MS = 1 << 62
"""Ceiling of a registrar that has no disk."""


@attrs.frozen(kw_only=True)
class RegistrarLimits:
    """Limits of a registrar, in milliseconds.

    Attributes
    ----------
    retention_ms
        How long after its timestamp an identifier can be claimed.
    max_clock_skew_ms
        How far in the future an identifier's timestamp may lie.
    """

    retention_ms: int
    max_clock_skew_ms: int


@attrs.frozen
class Claimant:
    """One incarnation of an entry."""

    entry_id: str
    incarnation: str


@attrs.frozen
class Owner:
    """A claimant and where other entries reach it."""

    claimant: Claimant
    address: str


@attrs.frozen
class Grant:
    """A granted identifier."""

    owner: Owner
    attempt: int
    digest: bytes


@attrs.define
class _Entry:
    """What is known of one identifier; a dead attempt is never granted."""

    grant: Grant | None = None
    dead_attempts: dict[Claimant, int] = attrs.field(factory=dict)


def amnesia_after_start_ms(
    synced_ceiling_ms: int | None, now_ms: int, limits: RegistrarLimits
) -> int:
    """Return up to which timestamp a starting registrar abstains.

    Parameters
    ----------
    synced_ceiling_ms
        The ceiling read from disk; 0 if this registrar has surely never
        granted; ``None`` if that is unknown, as without a disk or after its
        loss.  Only in the last case does the result rest on the wall clock.
    """
    if synced_ceiling_ms is not None:
        return synced_ceiling_ms
    return now_ms + limits.max_clock_skew_ms


class Registrar:
    """Grants identifiers, in memory bounded by rate times retention.

    It grants nothing before :meth:`open_epoch`.
    """

    def __init__(
        self,
        limits: RegistrarLimits,
        amnesia_ms: int,
        ceiling_ms: int = NO_CEILING_MS,
    ) -> None:
        self._limits = limits
        self._epoch = 0
        self._open = False
        self._latest_grant_ms = 0
        self._amnesia_ms = amnesia_ms
        self._ceiling_ms = ceiling_ms
        self._floor_ms = 0
        self._entries: dict[str, _Entry] = {}
        self._buckets: dict[int, list[str]] = {}
        self._owners: dict[Owner, Owner] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def epoch(self) -> int:
        """Epoch of the registrar group in force here."""
        return self._epoch

    @property
    def ceiling_ms(self) -> int:
        """Largest identifier timestamp that may be granted."""
        return self._ceiling_ms

    def raise_ceiling(self, ceiling_ms: int) -> None:
        """Allow timestamps up to a ceiling that has been synced to disk."""
        self._ceiling_ms = max(self._ceiling_ms, ceiling_ms)

    def enter_epoch(self, epoch: int) -> int:
        """Refuse the claims of earlier epochs from now on.

        Returns
        -------
        int
            The latest timestamp that this registrar may have granted; the new
            group opens with the greatest of a majority of the old group.
        """
        if epoch > self._epoch:
            self._epoch = epoch
            self._open = False
        return max(self._amnesia_ms, self._latest_grant_ms)

    def open_epoch(self, epoch: int, latest_grant_ms: int, *, newcomer: bool) -> None:
        """Grant claims of an epoch that a majority of the old group has entered.

        Parameters
        ----------
        latest_grant_ms
            The greatest result of :meth:`enter_epoch` in that majority; 0 for
            the first group.
        newcomer
            Whether this registrar was not a member of the old group; it then
            abstains on what the old group may have granted, also after a
            restart, for which its ceiling has to be synced that far before.

        Raises
        ------
        ValueError
            If a newcomer's ceiling is below ``latest_grant_ms``.
        """
        if epoch != self._epoch:
            return
        if newcomer and latest_grant_ms > self._ceiling_ms:
            raise ValueError("the ceiling is below what the old group has granted")
        if newcomer:
            self._amnesia_ms = max(self._amnesia_ms, latest_grant_ms)
        self._open = True

    def claim(self, claim: Claim, now_ms: int) -> ClaimReply:
        """Answer one claim at the wall-clock time ``now_ms``."""
        self._expire(now_ms)
        if claim.epoch != self._epoch or not self._open:
            return self._reply(claim, ClaimVerdict.WRONG_EPOCH)
        abstention = self._abstention(claim.job_id, now_ms)
        if abstention is not None:
            return self._abstain(claim, may_have_granted=abstention)
        entry = self._entry(claim.job_id)
        claimant = Claimant(claim.entry_id, claim.entry_incarnation)
        if claim.attempt <= entry.dead_attempts.get(claimant, 0):
            return self._reply(claim, ClaimVerdict.DEAD_ATTEMPT)
        if entry.grant is None:
            entry.grant = self._grant(claim, claimant)
        return self._answer(claim, claimant, entry.grant)

    def release(self, release: ClaimRelease, now_ms: int) -> None:
        """Make an attempt and those before it dead, and end their grant."""
        self._expire(now_ms)
        known = release.job_id in self._entries
        if not known and self._abstention(release.job_id, now_ms) is not None:
            return
        entry = self._entry(release.job_id)
        claimant = Claimant(release.entry_id, release.entry_incarnation)
        dead = max(release.attempt, entry.dead_attempts.get(claimant, 0))
        entry.dead_attempts[claimant] = dead
        grant = entry.grant
        if grant and grant.owner.claimant == claimant and grant.attempt <= dead:
            entry.grant = None

    def _abstention(self, job_id: str, now_ms: int) -> bool | None:
        """Return ``None`` to go on, or whether the id may have been granted."""
        try:
            timestamp_ms = job_timestamp_ms(job_id)
        except ValueError:
            return False
        if timestamp_ms <= self._amnesia_ms or timestamp_ms < self._floor_ms:
            return True
        latest_ms = min(now_ms + self._limits.max_clock_skew_ms, self._ceiling_ms)
        if timestamp_ms > latest_ms:
            return False
        return None

    def _answer(self, claim: Claim, claimant: Claimant, grant: Grant) -> ClaimReply:
        is_owner = grant.owner.claimant == claimant
        if grant.digest != claim.digest:
            return self._reply(claim, ClaimVerdict.CONFLICT, grant)
        if is_owner and grant.attempt == claim.attempt:
            return self._reply(claim, ClaimVerdict.GRANTED, grant)
        if is_owner and grant.attempt > claim.attempt:
            return self._reply(claim, ClaimVerdict.DEAD_ATTEMPT)
        return self._reply(claim, ClaimVerdict.OWNED, grant)

    def _entry(self, job_id: str) -> _Entry:
        entry = self._entries.get(job_id)
        if entry is None:
            entry = self._entries[job_id] = _Entry()
            bucket = job_timestamp_ms(job_id) // BUCKET_MS
            self._buckets.setdefault(bucket, []).append(job_id)
        return entry

    def _grant(self, claim: Claim, claimant: Claimant) -> Grant:
        timestamp_ms = job_timestamp_ms(claim.job_id)
        self._latest_grant_ms = max(self._latest_grant_ms, timestamp_ms)
        owner = Owner(claimant, claim.owner_address)
        return Grant(self._owners.setdefault(owner, owner), claim.attempt, claim.digest)

    def _abstain(self, claim: Claim, *, may_have_granted: bool) -> ClaimReply:
        return ClaimReply(
            job_id=claim.job_id,
            attempt=claim.attempt,
            verdict=ClaimVerdict.ABSTAINED,
            epoch=self._epoch,
            may_have_granted=may_have_granted,
        )

    def _reply(
        self, claim: Claim, verdict: ClaimVerdict, grant: Grant | None = None
    ) -> ClaimReply:
        if grant is None or verdict is ClaimVerdict.GRANTED:
            return ClaimReply(
                job_id=claim.job_id,
                attempt=claim.attempt,
                verdict=verdict,
                epoch=self._epoch,
            )
        return ClaimReply(
            job_id=claim.job_id,
            attempt=claim.attempt,
            verdict=verdict,
            owner_entry_id=grant.owner.claimant.entry_id,
            owner_incarnation=grant.owner.claimant.incarnation,
            owner_address=grant.owner.address,
            owner_attempt=grant.attempt,
            epoch=self._epoch,
        )

    def _expire(self, now_ms: int) -> None:
        floor_ms = (now_ms - self._limits.retention_ms) // BUCKET_MS * BUCKET_MS
        if floor_ms <= self._floor_ms:
            return
        self._floor_ms = floor_ms
        expired = [start for start in self._buckets if start * BUCKET_MS < floor_ms]
        for start in expired:
            for job_id in self._buckets.pop(start):
                del self._entries[job_id]
