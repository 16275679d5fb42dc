"""Data that a control instance keeps in its storage."""

from __future__ import annotations

import attrs

from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import StorageState


@attrs.frozen(kw_only=True)
class Identity:
    """The instance to which a storage belongs.

    Attributes
    ----------
    cluster_id
        Cluster to which the storage belongs; empty if it is not a member.
    """

    instance_id: str
    incarnation: str
    state: StorageState
    cluster_id: str = ""

    @property
    def replica(self) -> Replica:
        """Return the replica identity of the instance with this storage."""
        return Replica(instance_id=self.instance_id, incarnation=self.incarnation)


@attrs.frozen(kw_only=True)
class Vote:
    """The latest term seen, and the replica that received the vote in it."""

    term: int = 0
    voted_for: Replica | None = None


@attrs.frozen(kw_only=True)
class Snapshot:
    """The state after the entry at ``index``.

    Attributes
    ----------
    members
        Voters in force after that entry.
    data
        Encoded state of the replicated state machine.
    """

    index: int
    term: int
    members: tuple[Replica, ...]
    data: bytes


@attrs.frozen(kw_only=True)
class Write:
    """Data of one write; its parts become durable in the order of the fields.

    Attributes
    ----------
    vote
        The new vote; unchanged if ``None``.
    snapshot
        The new snapshot, which replaces all stored entries by ``entries``.
    entries
        Entries that replace the stored ones from the index of the first one on.
    identity
        The new identity, which becomes durable last.
    """

    sequence: int = 0
    vote: Vote | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
    identity: Identity | None = None


@attrs.frozen(kw_only=True)
class Stored:
    """Content of a storage at the time it was opened."""

    identity: Identity
    vote: Vote = Vote()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
