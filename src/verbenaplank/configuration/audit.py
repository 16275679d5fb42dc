"""The audit trail: a hash chain with one record for each command."""

from __future__ import annotations

import hashlib
from collections import deque
from itertools import islice
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_RECORDS = 50_000
"""Maximum number of records in the trail; the oldest are removed first."""

INITIAL_DIGEST = "0" * 64
"""The digest that the first record is chained to."""


@attrs.frozen(kw_only=True)
class AuditRecord:
    """One command and its outcome.

    Attributes
    ----------
    sequence
        Number of the record, counted from 1 without gaps.
    at_ms
        Wall-clock time at which a control instance received the command, in
        milliseconds since the Unix epoch.
    subject
        What the command changed, such as a section's name or a member's id.
    version
        Version of the subject after the command.
    digest
        Hexadecimal SHA-256 over the previous record's digest and this record.
    """

    sequence: int
    at_ms: int
    actor: str
    command_id: str
    action: str
    subject: str
    version: int
    outcome: str
    detail: str = ""
    digest: str = ""


@attrs.frozen(kw_only=True)
class AuditPage:
    """Consecutive records and the digest that the first of them is chained to."""

    anchor: str
    records: tuple[AuditRecord, ...]


class AuditChainError(Exception):
    """A record of the trail was changed, removed or inserted."""


class AuditTrail:
    """The newest audit records and the digest of the record before them."""

    def __init__(
        self, records: Iterable[AuditRecord] = (), anchor: str = INITIAL_DIGEST
    ) -> None:
        self._records = deque(records)
        self._anchor = anchor

    @property
    def anchor(self) -> str:
        """Return the digest that the oldest record here is chained to."""
        return self._anchor

    @property
    def records(self) -> tuple[AuditRecord, ...]:
        """Return all records of the trail, oldest first."""
        return tuple(self._records)

    def page(self, after: int, limit: int) -> AuditPage:
        """Return at most ``limit`` records with sequence numbers above ``after``."""
        first = self._records[0].sequence if self._records else 1
        skipped = min(max(after + 1 - first, 0), len(self._records))
        records = tuple(islice(self._records, skipped, skipped + max(limit, 0)))
        anchor = self._records[skipped - 1].digest if skipped else self._anchor
        return AuditPage(anchor=anchor, records=records)

    def append(
        self,
        *,
        at_ms: int,
        actor: str,
        command_id: str,
        action: str,
        subject: str,
        version: int,
        outcome: str,
        detail: str = "",
    ) -> None:
        """Append a record to the chain; remove the oldest one beyond the maximum."""
        last = self._records[-1] if self._records else None
        record = AuditRecord(
            sequence=last.sequence + 1 if last else 1,
            at_ms=at_ms,
            actor=actor,
            command_id=command_id,
            action=action,
            subject=subject,
            version=version,
            outcome=outcome,
            detail=detail,
        )
        digest = record_digest(record, last.digest if last else self._anchor)
        self._records.append(attrs.evolve(record, digest=digest))
        if len(self._records) > MAX_RECORDS:
            self._anchor = self._records.popleft().digest


def record_digest(record: AuditRecord, previous: str) -> str:
    """Return the digest of a record chained to the digest ``previous``."""
    content = msgspec.json.encode(attrs.evolve(record, digest=previous))
    return hashlib.sha256(content).hexdigest()


def verify_chain(records: Iterable[AuditRecord], anchor: str) -> None:
    """Verify the digests and the sequence numbers of consecutive records.

    Raises
    ------
    AuditChainError
        If a sequence number is missing or a record does not match its digest.
    """
    previous = anchor
    sequence: int | None = None
    for record in records:
        if sequence is not None and record.sequence != sequence + 1:
            raise AuditChainError(f"audit record {sequence + 1} is missing")
        if record.digest != record_digest(record, previous):
            raise AuditChainError(
                f"audit record {record.sequence} does not match its digest"
            )
        previous = record.digest
        sequence = record.sequence
