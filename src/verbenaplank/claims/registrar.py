"""State machine that grants each job identifier to one claimant at a time.

It does no I/O.  Times are identifier timestamps in milliseconds since the Unix
epoch.  Three bounds prevent a second grant of an identifier after the registrar
has lost its records, which it keeps in memory only:

* ``floor_ms`` never decreases; the retention of identifiers below it is over.
* ``abstain_until_ms`` is set at the start, and raised in a new member of a group.
  Identifiers up to it may have been granted by this registrar before its restart
  or by the old group, so it neither grants nor refuses them: it abstains.
* ``ceiling_ms`` is synced to disk before it is raised here.  No identifier above
  it is granted, so that after a restart the synced value is the next
  ``abstain_until_ms``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.claims.grants import Claimant
from verbenaplank.claims.grants import ClaimRecord
from verbenaplank.claims.grants import Grant
from verbenaplank.claims.grants import Owner
from verbenaplank.identifiers.job_id import job_timestamp_ms
from verbenaplank.protocol.claims import ClaimReply
from verbenaplank.protocol.claims import ClaimVerdict
from verbenaplank.protocol.claims import Lookup
from verbenaplank.protocol.claims import LookupReply
from verbenaplank.protocol.claims import LookupVerdict

if TYPE_CHECKING:
    from verbenaplank.protocol.claims import Claim
    from verbenaplank.protocol.claims import ClaimRelease

BUCKET_MS = 1_000
"""Identifiers with timestamps in the same interval of this length expire together."""

MAX_SHARED_OWNERS = 4_096
"""Largest number of owner objects kept for sharing between grants."""

NO_CEILING_MS = 1 << 62
"""Ceiling of a registrar without a disk, above all timestamps."""


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


def initial_abstain_until_ms(
    synced_ceiling_ms: int | None, now_ms: int, limits: RegistrarLimits
) -> int:
    """Return the timestamp up to which a starting registrar abstains.

    Parameters
    ----------
    synced_ceiling_ms
        The ceiling read from disk; 0 if this registrar has certainly never
        granted; ``None`` if the ceiling is unknown, as without a disk or after
        its loss.  Only with ``None`` does the result depend on the wall clock.
    now_ms
        Wall-clock time.
    """
    if synced_ceiling_ms is not None:
        return synced_ceiling_ms
    return now_ms + limits.max_clock_skew_ms


class Registrar:
    """Grants identifiers to claimants while the epoch that it has entered is open.

    Its memory is bounded by the rate of claims times the retention.

    Parameters
    ----------
    abstain_until_ms
        Timestamp up to which it abstains, see :func:`initial_abstain_until_ms`.
    ceiling_ms
        Largest timestamp that may be granted, as synced to disk.
    """

    def __init__(
        self,
        limits: RegistrarLimits,
        abstain_until_ms: int,
        ceiling_ms: int = NO_CEILING_MS,
    ) -> None:
        self._limits = limits
        self._epoch = 0
        self._open = False
        self._latest_grant_ms = 0
        self._abstain_until_ms = abstain_until_ms
        self._ceiling_ms = ceiling_ms
        self._floor_ms = 0
        self._records: dict[str, ClaimRecord] = {}
        self._buckets: dict[int, list[str]] = {}
        self._owners: dict[Owner, Owner] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def epoch(self) -> int:
        """Latest epoch of the registrar group that this registrar has entered."""
        return self._epoch

    @property
    def ceiling_ms(self) -> int:
        """Largest identifier timestamp that may be granted."""
        return self._ceiling_ms

    def raise_ceiling(self, ceiling_ms: int) -> None:
        """Raise the ceiling to a value that has been synced to disk."""
        self._ceiling_ms = max(self._ceiling_ms, ceiling_ms)

    def enter_epoch(self, epoch: int) -> int:
        """Enter a later epoch, and refuse all claims until it is opened.

        Claims of earlier epochs stay refused after that.  An epoch that is not later
        than the current one changes nothing.

        Returns
        -------
        int
            The latest timestamp that this registrar may have granted.  The new
            group opens with the greatest value of a majority of the old group.
        """
        if epoch > self._epoch:
            self._epoch = epoch
            self._open = False
        return max(self._abstain_until_ms, self._latest_grant_ms)

    def open_epoch(
        self, epoch: int, latest_grant_ms: int, *, is_new_member: bool
    ) -> None:
        """Start granting claims of an epoch.

        A majority of the old group must have entered the epoch.  A call for
        another epoch than the one entered here is ignored.

        Parameters
        ----------
        latest_grant_ms
            The greatest result of :meth:`enter_epoch` in that majority; 0 for
            the first group.
        is_new_member
            Whether this registrar was not a member of the old group.  It then
            abstains on all identifiers that the old group may have granted.  Since
            this has to hold after a restart too, its ceiling must have been synced
            up to ``latest_grant_ms`` before.

        Raises
        ------
        ValueError
            If the ceiling of a new member is below ``latest_grant_ms``.
        """
        if epoch != self._epoch:
            return
        if is_new_member and latest_grant_ms > self._ceiling_ms:
            raise ValueError("the ceiling is below the latest grant of the old group")
        if is_new_member:
            self._abstain_until_ms = max(self._abstain_until_ms, latest_grant_ms)
        self._open = True

    def claim(self, claim: Claim, now_ms: int) -> ClaimReply:
        """Answer one claim at the wall-clock time ``now_ms``."""
        self._expire(now_ms)
        if claim.epoch != self._epoch or not self._open:
            return self._reply(claim, ClaimVerdict.WRONG_EPOCH)
        timestamp_ms = _timestamp_ms(claim.job_id)
        may_have_granted = self._check_timestamp(timestamp_ms, now_ms)
        if may_have_granted is not None:
            return self._abstention_reply(claim, may_have_granted=may_have_granted)
        record = self._get_or_create_record(claim.job_id, timestamp_ms)
        owner = self._shared_owner(claim)
        if claim.attempt <= record.latest_released_attempt(owner.claimant):
            return self._reply(claim, ClaimVerdict.DEAD_ATTEMPT)
        if record.grant is None:
            self._latest_grant_ms = max(self._latest_grant_ms, timestamp_ms)
            record.grant = Grant(owner, claim.attempt, claim.digest)
        return self._grant_reply(claim, owner.claimant, record.grant)

    def release(self, release: ClaimRelease, now_ms: int) -> None:
        """Release an attempt and its claimant's earlier ones, and end their grant."""
        self._expire(now_ms)
        timestamp_ms = _timestamp_ms(release.job_id)
        known = release.job_id in self._records
        if not known and self._check_timestamp(timestamp_ms, now_ms) is not None:
            return
        record = self._get_or_create_record(release.job_id, timestamp_ms)
        claimant = Claimant(release.entry_id, release.entry_incarnation)
        record.release_attempts(claimant, release.attempt)

    def look_up(self, lookup: Lookup, now_ms: int) -> LookupReply:
        """Answer whether an identifier is granted at the wall-clock time ``now_ms``."""
        self._expire(now_ms)
        return LookupReply(
            number=lookup.number, verdict=self._lookup_verdict(lookup, now_ms)
        )

    def _lookup_verdict(self, lookup: Lookup, now_ms: int) -> LookupVerdict:
        if lookup.epoch != self._epoch or not self._open:
            return LookupVerdict.WRONG_EPOCH
        record = self._records.get(lookup.job_id)
        if record is not None and record.grant is not None:
            return LookupVerdict.GRANTED
        if self._check_timestamp(_timestamp_ms(lookup.job_id), now_ms):
            return LookupVerdict.UNKNOWN
        return LookupVerdict.NOT_GRANTED

    def _check_timestamp(self, timestamp_ms: int, now_ms: int) -> bool | None:
        """Return ``None`` if the identifier may be granted now.

        Otherwise return whether it may have been granted before.
        """
        if timestamp_ms <= self._abstain_until_ms or timestamp_ms < self._floor_ms:
            return True
        latest_ms = min(now_ms + self._limits.max_clock_skew_ms, self._ceiling_ms)
        if timestamp_ms > latest_ms:
            return False
        return None

    def _grant_reply(
        self, claim: Claim, claimant: Claimant, grant: Grant
    ) -> ClaimReply:
        is_owner = grant.owner.claimant == claimant
        if grant.digest != claim.digest:
            return self._reply(claim, ClaimVerdict.CONFLICT, grant)
        if is_owner and grant.attempt == claim.attempt:
            return self._reply(claim, ClaimVerdict.GRANTED, grant)
        if is_owner and grant.attempt > claim.attempt:
            return self._reply(claim, ClaimVerdict.DEAD_ATTEMPT)
        return self._reply(claim, ClaimVerdict.OWNED, grant)

    def _get_or_create_record(self, job_id: str, timestamp_ms: int) -> ClaimRecord:
        record = self._records.get(job_id)
        if record is None:
            record = self._records[job_id] = ClaimRecord()
            self._buckets.setdefault(timestamp_ms // BUCKET_MS, []).append(job_id)
        return record

    def _shared_owner(self, claim: Claim) -> Owner:
        """Return the owner of a claim, as an object shared between its grants."""
        claimant = Claimant(claim.entry_id, claim.entry_incarnation)
        owner = Owner(claimant, claim.owner_address)
        if len(self._owners) >= MAX_SHARED_OWNERS:
            self._owners.clear()
        return self._owners.setdefault(owner, owner)

    def _abstention_reply(self, claim: Claim, *, may_have_granted: bool) -> ClaimReply:
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
                del self._records[job_id]


def _timestamp_ms(job_id: str) -> int:
    """Return an identifier's timestamp, or one above all ceilings if malformed."""
    try:
        return job_timestamp_ms(job_id)
    except ValueError:
        return NO_CEILING_MS + 1
