"""The core of the replicated log: events and a time in, effects out."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from verbenaplank.consensus import election
from verbenaplank.consensus import following
from verbenaplank.consensus import formation
from verbenaplank.consensus import reads
from verbenaplank.consensus import replication
from verbenaplank.consensus.admission import admit_learners
from verbenaplank.consensus.effects import ProposalAppended
from verbenaplank.consensus.effects import ProposalRejected
from verbenaplank.consensus.effects import Restore
from verbenaplank.consensus.events import CommandProposed
from verbenaplank.consensus.events import HandOverAsked
from verbenaplank.consensus.events import MessageReceived
from verbenaplank.consensus.events import ReadStarted
from verbenaplank.consensus.events import SnapshotTaken
from verbenaplank.consensus.events import StorageChanged
from verbenaplank.consensus.events import TimePassed
from verbenaplank.consensus.events import WritesSynced
from verbenaplank.consensus.initial_state import initial_state
from verbenaplank.consensus.state import GroupRules
from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import become_follower
from verbenaplank.consensus.state import on_synced
from verbenaplank.consensus.state import reset_election_timer
from verbenaplank.consensus.state import save
from verbenaplank.protocol.consensus import EntryKind
from verbenaplank.storage.model import Snapshot

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from verbenaplank.consensus.effects import Effect
    from verbenaplank.consensus.events import Event
    from verbenaplank.consensus.state import State
    from verbenaplank.consensus.state import Timing
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.storage.model import Stored

FIXED_GROUP = GroupRules()

_UNFORMED_BODIES = frozenset(
    {"hello", "hello_reply", "foundation", "append_request", "snapshot_chunk"}
)
_ANY_CLUSTER_BODIES = frozenset({"hello", "hello_reply"})
_TERMLESS_BODIES = frozenset(
    {"hello", "hello_reply", "foundation", "read_request", "read_reply"}
)
_HANDLERS: dict[str, Callable[[State, PeerMessage, Any], None]] = {
    "append_request": following.on_append_request,
    "append_reply": replication.on_append_reply,
    "vote_request": election.on_vote_request,
    "vote_reply": election.on_vote_reply,
    "snapshot_chunk": following.on_snapshot_chunk,
    "snapshot_reply": replication.on_snapshot_reply,
    "hello": formation.on_hello,
    "hello_reply": formation.on_hello_reply,
    "foundation": formation.on_foundation,
    "read_request": reads.on_read_request,
    "read_reply": reads.on_read_reply,
}


class Core:
    """Decides for one replica; it reads no clock and performs no I/O.

    Parameters
    ----------
    stored
        What the replica's storage held.
    peer_ids
        Identifiers of all instances, this one included.
    timing
        Periods, in seconds.
    random
        Source of the election timeouts.
    now_s
        The monotonic time of the start.
    group
        How the voters come together; by default they are the instances named.
    """

    def __init__(
        self,
        stored: Stored,
        peer_ids: tuple[str, ...],
        timing: Timing,
        random: random.Random,
        now_s: float,
        group: GroupRules = FIXED_GROUP,
    ) -> None:
        self.state = initial_state(stored, peer_ids, timing, random, now_s, group)

    def start(self, now_s: float) -> list[Effect]:
        """Return what is to be done before the first event."""
        state = self.state
        state.now_s = now_s
        if state.snapshot:
            state.effects.append(Restore(snapshot=state.snapshot))
        reset_election_timer(state)
        if state.members == (state.replica,):
            state.election_due_s = now_s
        state.hello_due_s = now_s if not state.is_member else _hello_delay_s(state)
        return self._finish()

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Return what an event leads to."""
        state = self.state
        state.now_s = max(state.now_s, now_s)
        match event:
            case TimePassed():
                _on_time_passed(state)
            case MessageReceived(message=message):
                _on_message(state, message)
            case CommandProposed(proposal_id=proposal_id, command=command):
                _on_command(state, proposal_id, command)
            case ReadStarted(read_id=read_id):
                reads.start_read(state, read_id)
            case WritesSynced(sequence=sequence):
                on_synced(state, sequence)
            case SnapshotTaken(index=index, data=data):
                _on_snapshot_taken(state, index, data)
            case StorageChanged(writable=writable):
                _on_storage_changed(state, writable=writable)
            case HandOverAsked():
                replication.start_hand_over(state)
        return self._finish()

    @property
    def next_due_s(self) -> float:
        """Return when :class:`TimePassed` is next needed."""
        state = self.state
        if state.role is Role.LEADER:
            return state.heartbeat_due_s
        return min(state.election_due_s, state.hello_due_s)

    def is_current(self, now_s: float) -> bool:
        """Return whether a quorum backed this state within a lease.

        The leader's state is then the newest one; a follower's holds all that
        was committed a lease ago.
        """
        state = self.state
        if state.role is not Role.LEADER:
            return now_s < state.backed_s + state.timing.lease_s
        if state.commit_index < state.term_start_index:
            return False
        answered_s = replication.quorum_answered_s(state)
        return now_s < answered_s + state.timing.lease_s

    def _finish(self) -> list[Effect]:
        state = self.state
        if state.role is Role.LEADER:
            _lead(state)
        reads.settle_reads(state)
        effects = state.effects
        state.effects = []
        return effects


def _on_time_passed(state: State) -> None:
    if state.role is Role.LEADER:
        replication.step_down_without_quorum(state)
        if state.role is Role.LEADER and state.now_s >= state.heartbeat_due_s:
            replication.send_heartbeats(state)
        return
    if state.now_s >= state.hello_due_s:
        _announce_if_unheard(state)
    if state.now_s >= state.election_due_s:
        if election.may_stand(state):
            election.start_pre_vote(state)
        else:
            reset_election_timer(state)


def _announce_if_unheard(state: State) -> None:
    unheard_s = state.heard_s + 2 * state.timing.election_timeout_s
    if state.is_member and state.now_s < unheard_s:
        state.hello_due_s = _hello_delay_s(state)
        return
    formation.announce(state)


def _hello_delay_s(state: State) -> float:
    return state.now_s + 2 * state.timing.election_timeout_s


def _on_message(state: State, message: PeerMessage) -> None:
    found = _body_of(message)
    if found is None or not _is_for(state, message, found[0]):
        return
    name, body = found
    if name == "vote_request" and election.ignores_vote_request(state, body):
        return
    if name == "hand_over":
        _on_hand_over(state, message)
        return
    if name not in _TERMLESS_BODIES:
        _note_term(state, message, name, body)
    _HANDLERS[name](state, message, body)


def _body_of(message: PeerMessage) -> tuple[str, Any] | None:
    for name in (*_HANDLERS, "hand_over"):
        body = getattr(message, name)
        if body is not None:
            return name, body
    return None


def _is_for(state: State, message: PeerMessage, name: str) -> bool:
    """Return whether a message is meant for this replica and its cluster."""
    recipient = message.recipient
    if recipient.instance_id != state.replica.instance_id:
        return False
    if recipient.incarnation != state.replica.incarnation:
        return name == "hello" and not recipient.incarnation
    if not state.is_member:
        return name in _UNFORMED_BODIES
    same = message.cluster_id == state.identity.cluster_id
    return same or name in _ANY_CLUSTER_BODIES


def _note_term(state: State, message: PeerMessage, name: str, body: Any) -> None:
    """Follow a newer term; a pre-vote's term is not one yet."""
    if name in ("append_request", "snapshot_chunk") or message.term <= state.term:
        return
    if name == "vote_request" and body.pre_vote:
        return
    if name == "vote_reply" and body.pre_vote and body.granted:
        return
    become_follower(state, message.term, None)


def _on_hand_over(state: State, message: PeerMessage) -> None:
    follows = message.term == state.term and state.role is Role.FOLLOWER
    if follows and election.may_stand(state):
        election.start_election(state, hand_over=True)


def _on_command(state: State, proposal_id: int, command: bytes) -> None:
    accepts = state.writable and not state.hands_over
    if state.role is not Role.LEADER or not accepts:
        state.effects.append(ProposalRejected(proposal_id=proposal_id))
        return
    index = replication.propose(state, EntryKind.COMMAND, command)
    state.effects.append(
        ProposalAppended(proposal_id=proposal_id, index=index, term=state.term)
    )


def _on_storage_changed(state: State, *, writable: bool) -> None:
    state.writable = writable
    if not writable and state.role is not Role.FOLLOWER:
        become_follower(state, state.term, None)


def _on_snapshot_taken(state: State, index: int, data: bytes) -> None:
    term = state.log.term_at(index)
    if term is None or index <= state.log.base_index or index > state.commit_index:
        return
    covered = [item for item in state.member_history if item[0] <= index]
    snapshot = Snapshot(index=index, term=term, members=covered[-1][1], data=data)
    state.log.compact(index, term)
    state.member_history = state.member_history[len(covered) - 1 :]
    state.snapshot = snapshot
    save(state, snapshot=snapshot, entries=tuple(state.log.entries))


def _lead(state: State) -> None:
    if state.heartbeat_due_s is math.inf:
        state.heartbeat_due_s = state.now_s + state.timing.heartbeat_s
    replication.advance_commit(state)
    admit_learners(state)
    if state.hands_over:
        replication.finish_hand_over(state)
