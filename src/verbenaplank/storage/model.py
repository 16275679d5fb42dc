"""Data that a control instance stores for consensus."""

from __future__ import annotations

import attrs

from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import StorageState


@attrs.frozen(kw_only=True)
class Identity:
    """The instance, incarnation and cluster that a data folder belongs to.

    Attributes
    ----------
    incarnation
        Identifies this storage among those that the instance has had.
    cluster_id
        The cluster of the storage; empty while it is not a member of one.
    """

    instance_id: str
    incarnation: str
    state: StorageState
    cluster_id: str = ""

    @property
    def replica(self) -> Replica:
        """Return the instance together with the incarnation of this storage."""
        return Replica(instance_id=self.instance_id, incarnation=self.incarnation)


@attrs.frozen(kw_only=True)
class Vote:
    """The newest term seen, and the replica that got the vote in it, if any."""

    term: int = 0
    voted_for: Replica | None = None


@attrs.frozen(kw_only=True)
class Snapshot:
    """The encoded state after the log entry at ``index``, with its voters."""

    index: int
    term: int
    members: tuple[Replica, ...]
    data: bytes


@attrs.frozen(kw_only=True)
class Write:
    """One write to the storage, whose parts become durable in field order.

    Attributes
    ----------
    sequence
        Number by which the writer reports that the write is durable.
    snapshot
        Replaces the whole stored log; ``entries`` are those that follow it.
    entries
        Replace the stored entries from the index of the first one on.
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
    """What a data folder held when it was opened."""

    identity: Identity
    vote: Vote = Vote()
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()
