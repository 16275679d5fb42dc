"""Runs the core: feeds it events and carries out its effects."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol

from verbenaplank.consensus.effects import Apply
from verbenaplank.consensus.effects import ProposalAppended
from verbenaplank.consensus.effects import ProposalRejected
from verbenaplank.consensus.effects import ReadAnswered
from verbenaplank.consensus.effects import Restore
from verbenaplank.consensus.effects import Save
from verbenaplank.consensus.effects import Send
from verbenaplank.consensus.events import SnapshotTaken
from verbenaplank.consensus.events import StorageChanged
from verbenaplank.consensus.events import TimePassed
from verbenaplank.consensus.events import WritesSynced
from verbenaplank.protocol.consensus import EntryKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.consensus.core import Core
    from verbenaplank.consensus.effects import Effect
    from verbenaplank.consensus.events import Event
    from verbenaplank.consensus.waiting import AppliedIndex
    from verbenaplank.protocol.consensus import LogEntry
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.protocol.consensus import Replica
    from verbenaplank.storage.model import Write

_logger = logging.getLogger(__name__)


Answer = ProposalAppended | ProposalRejected | ReadAnswered


class StateMachine(Protocol):
    """What the replicated commands act on; its methods must not fail."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole content."""

    def restore(self, data: bytes) -> None:
        """Replace the whole content."""


class Driver:
    """Performs the effects of one core on the event loop.

    Parameters
    ----------
    core
        The decisions.
    machine
        Receives committed commands.
    applied
        Tells waiting callers what was applied.
    put_write
        Queues a write; :meth:`synced` must be called once it is durable.
    send
        Sends a message to another instance.
    snapshot_every_entries
        After how many applied entries the log is compacted.
    """

    def __init__(
        self,
        core: Core,
        machine: StateMachine,
        clock: MonotonicClock,
        *,
        applied: AppliedIndex,
        put_write: Callable[[Write], None],
        send: Callable[[PeerMessage], None],
        snapshot_every_entries: int,
    ) -> None:
        self.core = core
        self._machine = machine
        self._clock = clock
        self._applied = applied
        self._put_write = put_write
        self._send = send
        self._on_leader: Callable[[Replica | None], None] = _ignore
        self._on_answer: Callable[[Answer], None] = _ignore
        self._snapshot_every_entries = snapshot_every_entries
        self._put_sequence = 0
        self._synced_sequence = 0
        self._held_back: deque[tuple[int, PeerMessage]] = deque()
        self._leader: Replica | None = None
        self._timer: asyncio.TimerHandle | None = None

    def listen(
        self,
        on_answer: Callable[[Answer], None],
        on_leader: Callable[[Replica | None], None],
    ) -> None:
        """Pass on the answers to local callers, and each change of the leader."""
        self._on_answer = on_answer
        self._on_leader = on_leader

    def start(self) -> None:
        """Perform what the core wants before its first event."""
        self._perform(self.core.start(self._clock()))

    def stop(self) -> None:
        """Perform nothing more when time passes."""
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def step(self, event: Event) -> None:
        """Feed an event to the core and carry out what it leads to."""
        self._perform(self.core.handle(event, self._clock()))

    def synced(self, sequence: int) -> None:
        """Go on with what waited for writes up to this sequence number."""
        self._synced_sequence = sequence
        while self._held_back and self._held_back[0][0] <= sequence:
            self._send(self._held_back.popleft()[1])
        self.step(WritesSynced(sequence=sequence))

    def writable(self, writable: bool) -> None:
        """Tell the core whether the storage accepts writes."""
        self.step(StorageChanged(writable=writable))

    def _perform(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            self._perform_one(effect)
        self._note_leader()
        if self._snapshot_due():
            data = self._machine.snapshot()
            taken = SnapshotTaken(index=self._applied.index, data=data)
            self._perform(self.core.handle(taken, self._clock()))
        self._set_timer()

    def _perform_one(self, effect: Effect) -> None:
        match effect:
            case Send(message=message, after_sync=after_sync):
                self._send_or_hold(message, after_sync=after_sync)
            case Save(write=write):
                self._put_sequence = write.sequence
                self._put_write(write)
            case Apply(entries=entries):
                self._apply(entries)
            case Restore(snapshot=snapshot):
                self._machine.restore(snapshot.data)
                self._applied.restored(snapshot.index)
            case ProposalAppended() | ProposalRejected() | ReadAnswered():
                self._on_answer(effect)

    def _send_or_hold(self, message: PeerMessage, *, after_sync: bool) -> None:
        if after_sync and self._synced_sequence < self._put_sequence:
            self._held_back.append((self._put_sequence, message))
        else:
            self._send(message)

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            is_command = entry.kind is EntryKind.COMMAND
            result = b""
            if is_command:
                result = self._machine.apply(entry.index, entry.data)
            self._applied.applied(entry, result)

    def _snapshot_due(self) -> bool:
        compacted = self.core.state.log.base_index
        return self._applied.index - compacted >= self._snapshot_every_entries

    def _note_leader(self) -> None:
        leader = self.core.state.leader
        if leader == self._leader:
            return
        self._leader = leader
        name = leader.instance_id if leader else None
        _logger.info("term %d: leader is %s", self.core.state.term, name)
        self._on_leader(leader)

    def _set_timer(self) -> None:
        """Wake up when the core needs it, and not for deadlines moved later."""
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
            self.step(TimePassed())
        else:
            self._set_timer()


def _ignore(_: object) -> None:
    """Do nothing."""
