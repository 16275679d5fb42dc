"""What the storage of a control instance keeps."""

from __future__ import annotations

import attrs

from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import StorageState


@attrs.frozen(kw_only=True)
class Identity:
    """Whose storage this is.

    Attributes
    ----------
    cluster_id
        The cluster that the storage belongs to; empty if it is no member.
    """

    instance_id: str
    incarnation: str
    state: StorageState
    cluster_id: str = ""

    @property
    def replica(self) -> Replica:
        """Return the replica that this storage makes of the instance."""
        return Replica(instance_id=self.instance_id, incarnation=self.incarnation)


@attrs.frozen(kw_only=True)
class Vote:
    """The newest term seen, and whom the instance voted for in it."""

    term: int = 0
    voted_for: Replica | None = None


@attrs.frozen(kw_only=True)
class Snapshot:
    """The state after the entry at ``index``, with the voters then in force."""

    index: int
    term: int
    members: tuple[Replica, ...]
    data: bytes


@attrs.frozen(kw_only=True)
class Write:
    """What is to become durable together, in this order.

    Attributes
    ----------
    snapshot
        Replaces all entries by ``entries``, which follow it.
    entries
        Written from the index of the first one on; later entries of the log
        are dropped.
    identity
        Becomes durable last.
    """

    sequence: int = 0
    vote: Vote | None = None
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
    identity: Identity | None = None


@attrs.frozen(kw_only=True)
class StoredState:
    """What a storage held when it was opened."""

    identity: Identity
    vote: Vote = Vote()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
