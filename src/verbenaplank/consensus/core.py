"""Raft core without I/O: turns an event and a time into a list of effects."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from verbenaplank.consensus import election
from verbenaplank.consensus import follower
from verbenaplank.consensus import formation
from verbenaplank.consensus import leaving
from verbenaplank.consensus import reads
from verbenaplank.consensus import replication
from verbenaplank.consensus.effects import ProposalAppended
from verbenaplank.consensus.effects import ProposalRejected
from verbenaplank.consensus.effects import Restore
from verbenaplank.consensus.events import CommandProposed
from verbenaplank.consensus.events import LeadershipTransferRequested
from verbenaplank.consensus.events import LeaveRequested
from verbenaplank.consensus.events import MessageReceived
from verbenaplank.consensus.events import ReadStarted
from verbenaplank.consensus.events import SnapshotTaken
from verbenaplank.consensus.events import StorageWritableChanged
from verbenaplank.consensus.events import TimerExpired
from verbenaplank.consensus.events import WritesSynced
from verbenaplank.consensus.initial_state import initial_state
from verbenaplank.consensus.learner_promotion import promote_learners
from verbenaplank.consensus.state import GroupRules
from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import become_follower
from verbenaplank.consensus.state import on_synced
from verbenaplank.consensus.state import reset_election_timer
from verbenaplank.consensus.state import save
from verbenaplank.protocol.consensus import LogEntryKind
from verbenaplank.storage.model import Snapshot

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from verbenaplank.consensus.effects import Effect
    from verbenaplank.consensus.events import Event
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.consensus.state import Timing
    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.storage.model import StoredState

FIXED_GROUP = GroupRules()

VOTER_HELLO_ELECTION_TIMEOUTS = 2.0
LEARNER_HELLO_ELECTION_TIMEOUTS = 0.5

_NON_MEMBER_BODIES = frozenset(
    {"hello", "hello_reply", "foundation", "append_request", "snapshot_chunk"}
)
_ANY_CLUSTER_BODIES = frozenset({"hello", "hello_reply"})
_TERMLESS_BODIES = frozenset(
    {"hello", "hello_reply", "foundation", "read_request", "read_reply"}
)
_HANDLERS: dict[str, Callable[[ReplicaState, PeerMessage, Any], None]] = {
    "append_request": follower.on_append_request,
    "append_reply": replication.on_append_reply,
    "vote_request": election.on_vote_request,
    "vote_reply": election.on_vote_reply,
    "snapshot_chunk": follower.on_snapshot_chunk,
    "snapshot_reply": replication.on_snapshot_reply,
    "hello": formation.on_hello,
    "hello_reply": formation.on_hello_reply,
    "foundation": formation.on_foundation,
    "leave_request": leaving.on_leave_request,
    "leave_reply": leaving.on_leave_reply,
    "read_request": reads.on_read_request,
    "read_reply": reads.on_read_reply,
}


class Core:
    """Deterministic Raft state machine of one replica.

    It reads no clock and performs no I/O. The caller passes the time with each
    event and executes the returned effects in order.

    Parameters
    ----------
    stored
        Content of the replica's storage when it was opened.
    peer_ids
        Identifiers of the instances that the settings name, usually including this
        one.
    timing
        Heartbeat interval and election timeout.
    random
        Source of randomness for the election timeouts.
    now_s
        Monotonic time of the start, in seconds.
    group
        Rules for bootstrapping the group and choosing its voters. By default the
        voters are exactly the instances in ``peer_ids``.
    """

    def __init__(
        self,
        stored: StoredState,
        peer_ids: tuple[str, ...],
        timing: Timing,
        random: random.Random,
        now_s: float,
        group: GroupRules = FIXED_GROUP,
    ) -> None:
        self.state = initial_state(stored, peer_ids, timing, random, now_s, group)

    def start(self, now_s: float) -> list[Effect]:
        """Return the effects to execute before the first event.

        If this replica is the only voter, an election is due at once.
        """
        state = self.state
        state.now_s = now_s
        if state.snapshot:
            state.effects.append(Restore(snapshot=state.snapshot))
        reset_election_timer(state)
        if state.members == (state.replica,):
            state.election_due_s = now_s
        state.hello_due_s = now_s if not state.is_member else _next_hello_s(state)
        return self._take_effects()

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Apply an event at a monotonic time in seconds and return its effects."""
        state = self.state
        state.now_s = max(state.now_s, now_s)
        match event:
            case TimerExpired():
                _on_timer_expired(state)
            case MessageReceived(message=message):
                _on_message(state, message)
            case CommandProposed(proposal_id=proposal_id, command=command):
                _on_command_proposed(state, proposal_id, command)
            case ReadStarted(read_id=read_id):
                reads.start_read(state, read_id)
            case WritesSynced(sequence=sequence):
                on_synced(state, sequence)
            case SnapshotTaken(index=index, data=data):
                _on_snapshot_taken(state, index, data)
            case StorageWritableChanged(writable=writable):
                _on_storage_writable_changed(state, writable=writable)
            case LeadershipTransferRequested():
                replication.start_leadership_transfer(state)
            case LeaveRequested():
                leaving.request_leave(state)
        return self._take_effects()

    @property
    def next_due_s(self) -> float:
        """Return the time at which the next :class:`TimerExpired` event is due."""
        state = self.state
        if state.role is Role.LEADER:
            return state.heartbeat_due_s
        return min(state.election_due_s, state.hello_due_s)

    def is_current(self, now_s: float) -> bool:
        """Return whether a quorum confirmed this replica's state recently.

        Recently means within the duration of a lease. If so, a leader's state
        includes every acknowledged command, and a follower's includes every command
        acknowledged at least that long ago.
        """
        state = self.state
        if state.role is not Role.LEADER:
            return now_s < state.quorum_confirmed_s + state.timing.lease_s
        if state.commit_index < state.term_start_index:
            return False
        acknowledged_s = replication.quorum_acknowledged_s(state)
        return now_s < acknowledged_s + state.timing.lease_s

    def _take_effects(self) -> list[Effect]:
        state = self.state
        if state.role is Role.LEADER:
            _advance_leader(state)
        reads.answer_ready_reads(state)
        effects = state.effects
        state.effects = []
        return effects


def _on_timer_expired(state: ReplicaState) -> None:
    if state.role is Role.LEADER:
        replication.step_down_without_quorum(state)
        if state.role is Role.LEADER and state.now_s >= state.heartbeat_due_s:
            replication.send_heartbeats(state)
        return
    if state.now_s >= state.hello_due_s:
        _send_hello_if_leaderless(state)
    if state.now_s >= state.election_due_s:
        if election.is_electable(state):
            election.start_pre_vote(state)
        else:
            reset_election_timer(state)


def _send_hello_if_leaderless(state: ReplicaState) -> None:
    hello_after_s = state.last_leader_contact_s + _hello_delay_s(state)
    if state.is_member and state.now_s < hello_after_s:
        state.hello_due_s = _next_hello_s(state)
        return
    formation.send_hello_or_bootstrap(state)


def _next_hello_s(state: ReplicaState) -> float:
    return state.now_s + _hello_delay_s(state)


def _hello_delay_s(state: ReplicaState) -> float:
    """Return the silence of the leader after which a member sends a hello.

    A new leader knows the voters, but a learner only from its hello.
    """
    is_voter = state.replica in state.members
    timeouts = (
        VOTER_HELLO_ELECTION_TIMEOUTS if is_voter else LEARNER_HELLO_ELECTION_TIMEOUTS
    )
    return timeouts * state.timing.election_timeout_s


def _on_message(state: ReplicaState, message: PeerMessage) -> None:
    named_body = _body_of(message)
    if named_body is None:
        return
    if not _is_addressed_to(state, message, named_body[0]):
        formation.learn_from_misaddressed(state, message)
        return
    name, body = named_body
    if name == "vote_request" and election.ignores_vote_request(state, body):
        return
    if name == "hand_over":
        _on_leadership_transfer(state, message)
        return
    if name not in _TERMLESS_BODIES:
        _observe_term(state, message, name, body)
    _HANDLERS[name](state, message, body)


def _body_of(message: PeerMessage) -> tuple[str, Any] | None:
    for name in (*_HANDLERS, "hand_over"):
        body = getattr(message, name)
        if body is not None:
            return name, body
    return None


def _is_addressed_to(state: ReplicaState, message: PeerMessage, name: str) -> bool:
    """Return whether a message is meant for this replica and its cluster.

    The recipient of a hello may have an empty incarnation. A replica without a
    cluster accepts only the messages that it needs to find and join one.
    """
    recipient = message.recipient
    if recipient.instance_id != state.replica.instance_id:
        return False
    if recipient.incarnation != state.replica.incarnation:
        return name == "hello" and not recipient.incarnation
    if not state.is_member:
        return name in _NON_MEMBER_BODIES
    same = message.cluster_id == state.identity.cluster_id
    return same or name in _ANY_CLUSTER_BODIES


def _observe_term(
    state: ReplicaState, message: PeerMessage, name: str, body: Any
) -> None:
    """Become a follower if the message has a newer term.

    The handlers of append requests and snapshot chunks do this themselves, since
    they also set the leader. A pre-vote request and a granted pre-vote carry the
    term of an election that has not started, so that term is not adopted.
    """
    if name in ("append_request", "snapshot_chunk") or message.term <= state.term:
        return
    if name == "vote_request" and body.pre_vote:
        return
    if name == "vote_reply" and body.pre_vote and body.granted:
        return
    become_follower(state, message.term, None)


def _on_leadership_transfer(state: ReplicaState, message: PeerMessage) -> None:
    is_follower = message.term == state.term and state.role is Role.FOLLOWER
    if is_follower and election.is_electable(state):
        election.start_election(state, hand_over=True)


def _on_command_proposed(state: ReplicaState, proposal_id: int, command: bytes) -> None:
    accepts = state.writable and not state.is_transferring_leadership
    if state.role is not Role.LEADER or not accepts:
        state.effects.append(ProposalRejected(proposal_id=proposal_id))
        return
    index = replication.propose(state, LogEntryKind.COMMAND, command)
    state.effects.append(
        ProposalAppended(proposal_id=proposal_id, index=index, term=state.term)
    )


def _on_storage_writable_changed(state: ReplicaState, *, writable: bool) -> None:
    state.writable = writable
    if not writable and state.role is not Role.FOLLOWER:
        become_follower(state, state.term, None)


def _on_snapshot_taken(state: ReplicaState, index: int, data: bytes) -> None:
    term = state.log.term_at(index)
    if term is None or index <= state.log.base_index or index > state.commit_index:
        return
    covered = [item for item in state.member_history if item[0] <= index]
    snapshot = Snapshot(index=index, term=term, members=covered[-1][1], data=data)
    state.log.compact(index, term)
    state.member_history = state.member_history[len(covered) - 1 :]
    state.snapshot = snapshot
    save(state, snapshot=snapshot, entries=tuple(state.log.entries))


def _advance_leader(state: ReplicaState) -> None:
    if state.heartbeat_due_s is math.inf:
        state.heartbeat_due_s = state.now_s + state.timing.heartbeat_s
    replication.advance_commit(state)
    promote_learners(state)
    if state.is_transferring_leadership:
        replication.finish_leadership_transfer(state)
