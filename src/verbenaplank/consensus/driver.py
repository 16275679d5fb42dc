"""Event-loop driver of the Raft core: feeds it events and executes its effects."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol

from verbenaplank.consensus.effects import Apply
from verbenaplank.consensus.effects import MembershipProposed
from verbenaplank.consensus.effects import ProposalAppended
from verbenaplank.consensus.effects import ProposalRejected
from verbenaplank.consensus.effects import ReadAnswered
from verbenaplank.consensus.effects import Restore
from verbenaplank.consensus.effects import Save
from verbenaplank.consensus.effects import Send
from verbenaplank.consensus.events import SnapshotTaken
from verbenaplank.consensus.events import StorageWritableChanged
from verbenaplank.consensus.events import TimerExpired
from verbenaplank.consensus.events import WritesSynced
from verbenaplank.protocol.consensus import LogEntryKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.consensus.apply_tracker import ApplyTracker
    from verbenaplank.consensus.core import Core
    from verbenaplank.consensus.effects import Effect
    from verbenaplank.consensus.events import Event
    from verbenaplank.protocol.consensus import LogEntry
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import Replica
    from verbenaplank.storage.model import Write

_logger = logging.getLogger(__name__)


CallerReply = ProposalAppended | ProposalRejected | ReadAnswered
"""Effects that answer a proposal or a read of a local caller."""


class StateMachine(Protocol):
    """Replicated state machine to which committed commands are applied.

    Its methods must not raise.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the complete state in encoded form."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state by that of a snapshot."""


class Driver:
    """Feeds events to one core and executes its effects on the event loop.

    Parameters
    ----------
    core
        The Raft core of this replica.
    machine
        State machine to which committed commands are applied.
    clock
        Returns the monotonic time in seconds.
    applied
        Records the applied entries and wakes the callers that wait for them.
    enqueue_write
        Queues a write; :meth:`on_writes_synced` must be called once it is durable.
    send
        Sends a message to another instance.
    snapshot_every_entries
        Number of applied entries after which a snapshot is taken and the log is
        compacted.
    """

    def __init__(
        self,
        core: Core,
        machine: StateMachine,
        clock: MonotonicClock,
        *,
        applied: ApplyTracker,
        enqueue_write: Callable[[Write], None],
        send: Callable[[PeerMessage], None],
        snapshot_every_entries: int,
    ) -> None:
        self.core = core
        self._machine = machine
        self._clock = clock
        self._applied = applied
        self._enqueue_write = enqueue_write
        self._send = send
        self._on_leader_change: Callable[[Replica | None], None] = _ignore
        self._on_reply: Callable[[CallerReply], None] = _ignore
        self._snapshot_every_entries = snapshot_every_entries
        self._queued_sequence = 0
        self._synced_sequence = 0
        self._deferred: deque[tuple[int, PeerMessage]] = deque()
        self._leader: Replica | None = None
        self._voters: tuple[Replica, ...] = ()
        self._timer: asyncio.TimerHandle | None = None

    def set_callbacks(
        self,
        on_reply: Callable[[CallerReply], None],
        on_leader_change: Callable[[Replica | None], None],
    ) -> None:
        """Set the callbacks for replies to local callers and for leader changes."""
        self._on_reply = on_reply
        self._on_leader_change = on_leader_change

    def start(self) -> None:
        """Start the core and execute its first effects."""
        self._execute(self.core.start(self._clock()))

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def step(self, event: Event) -> None:
        """Feed an event to the core and execute its effects."""
        self._execute(self.core.handle(event, self._clock()))

    def on_writes_synced(self, sequence: int) -> None:
        """Send the messages deferred until these writes were durable; notify the core.

        All writes up to the sequence number ``sequence`` are durable.
        """
        self._synced_sequence = sequence
        while self._deferred and self._deferred[0][0] <= sequence:
            self._send(self._deferred.popleft()[1])
        self.step(WritesSynced(sequence=sequence))

    def on_writable_changed(self, writable: bool) -> None:
        """Notify the core that the storage stopped or resumed accepting writes."""
        self.step(StorageWritableChanged(writable=writable))

    def _execute(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            self._execute_one(effect)
        self._detect_leader_change()
        self._detect_voter_change()
        if self._snapshot_due():
            data = self._machine.snapshot()
            taken = SnapshotTaken(index=self._applied.index, data=data)
            self._execute(self.core.handle(taken, self._clock()))
        self._set_timer()

    def _execute_one(self, effect: Effect) -> None:
        match effect:
            case Send(message=message, after_sync=after_sync):
                self._send_or_defer(message, after_sync=after_sync)
            case Save(write=write):
                self._queued_sequence = write.sequence
                self._enqueue_write(write)
            case Apply(entries=entries):
                self._apply(entries)
            case Restore(snapshot=snapshot):
                self._machine.restore(snapshot.data)
                self._applied.record_restored(snapshot.index)
            case MembershipProposed():
                _log_membership_change(effect)
            case ProposalAppended() | ProposalRejected() | ReadAnswered():
                self._on_reply(effect)

    def _send_or_defer(self, message: PeerMessage, *, after_sync: bool) -> None:
        if after_sync and self._synced_sequence < self._queued_sequence:
            self._deferred.append((self._queued_sequence, message))
        else:
            self._send(message)

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            is_command = entry.kind is LogEntryKind.COMMAND
            result = b""
            if is_command:
                result = self._machine.apply(entry.index, entry.data)
            self._applied.record_applied(entry, result)

    def _snapshot_due(self) -> bool:
        compacted = self.core.state.log.base_index
        return self._applied.index - compacted >= self._snapshot_every_entries

    def _detect_leader_change(self) -> None:
        leader = self.core.state.leader
        if leader == self._leader:
            return
        self._leader = leader
        name = leader.instance_id if leader else None
        _logger.info("leader changed: term %d, leader %s", self.core.state.term, name)
        self._on_leader_change(leader)

    def _detect_voter_change(self) -> None:
        voters = self.core.state.members
        if voters == self._voters:
            return
        self._voters = voters
        names = [voter.instance_id for voter in voters]
        _logger.info("voters in force changed", extra={"voters": names})

    def _set_timer(self) -> None:
        """Schedule a wake-up for the core's next deadline.

        A timer that is due no later is kept, since deadlines often move later. If
        it fires before the deadline, it is scheduled again.
        """
        due_s = self.core.next_due_s
        loop = asyncio.get_running_loop()
        when = loop.time() + max(0.0, due_s - self._clock())
        if self._timer is not None and self._timer.when() <= when:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_at(when, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._clock() >= self.core.next_due_s:
            self.step(TimerExpired())
        else:
            self._set_timer()


def _log_membership_change(proposed: MembershipProposed) -> None:
    change = proposed.change
    _logger.info(
        "voter is added" if change.adds else "voter is removed",
        extra={
            "voter": change.voter.instance_id,
            "reason": change.reason.value,
            "voters": len(change.members),
            "log_index": proposed.index,
            "silence_s": round(proposed.silence_s, 3),
        },
    )


def _ignore(_: object) -> None:
    """Do nothing; stands in until the callbacks are set."""
