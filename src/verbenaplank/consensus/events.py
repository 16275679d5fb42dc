"""Events that the Raft core handles."""

from __future__ import annotations

import attrs

from verbenaplank.protocol.consensus import PeerMessage


@attrs.frozen(kw_only=True)
class TimerExpired:
    """The time ``Core.next_due_s`` has been reached."""


@attrs.frozen(kw_only=True)
class MessageReceived:
    """A message from another instance was received."""

    message: PeerMessage


@attrs.frozen(kw_only=True)
class CommandProposed:
    """A local caller proposed a command; only a leader accepts it."""

    proposal_id: int
    command: bytes


@attrs.frozen(kw_only=True)
class ReadStarted:
    """A local caller requested the index for a linearizable read."""

    read_id: int


@attrs.frozen(kw_only=True)
class WritesSynced:
    """All writes up to this sequence number are durable."""

    sequence: int


@attrs.frozen(kw_only=True)
class StorageWritableChanged:
    """The storage stopped or resumed accepting writes."""

    writable: bool


@attrs.frozen(kw_only=True)
class SnapshotTaken:
    """A snapshot was taken of the state after applying the entry at ``index``."""

    index: int
    data: bytes


@attrs.frozen(kw_only=True)
class LeadershipTransferRequested:
    """A local caller asked this leader to transfer its leadership before it stops."""


@attrs.frozen(kw_only=True)
class LeaveRequested:
    """A local caller stops this replica and asks that a learner replace it."""


Event = (
    TimerExpired
    | MessageReceived
    | CommandProposed
    | ReadStarted
    | WritesSynced
    | StorageWritableChanged
    | SnapshotTaken
    | LeadershipTransferRequested
    | LeaveRequested
)
