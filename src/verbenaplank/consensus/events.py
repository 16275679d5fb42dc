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
    """The leader was asked to transfer its leadership, as it is about to stop."""


Event = (
    TimerExpired
    | MessageReceived
    | CommandProposed
    | ReadStarted
    | WritesSynced
    | StorageWritableChanged
    | SnapshotTaken
    | LeadershipTransferRequested
)
