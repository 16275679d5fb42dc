"""What happens to the core of the replicated log."""

from __future__ import annotations

import attrs

from verbenaplank.protocol.consensus import PeerMessage


@attrs.frozen(kw_only=True)
class TimerExpired:
    """The time that the core waited for has come."""


@attrs.frozen(kw_only=True)
class MessageReceived:
    """A message from another instance arrived."""

    message: PeerMessage


@attrs.frozen(kw_only=True)
class CommandProposed:
    """A command is to be replicated; only a leader accepts it."""

    proposal_id: int
    command: bytes


@attrs.frozen(kw_only=True)
class ReadStarted:
    """A linearizable read asks for the index that it must wait for."""

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
    """The state machine's content after the entry at ``index``."""

    index: int
    data: bytes


@attrs.frozen(kw_only=True)
class LeadershipTransferRequested:
    """The leader is about to stop and passes its duty on."""


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
