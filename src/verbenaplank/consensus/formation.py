"""How a cluster is founded and how a replica finds one.

A replica that no leader talks to announces itself.  In an open group it knows
only a few instances at first; their answers name the voters, and any instance
may join through the leader.  A cluster is founded only
by the instance with the lowest identifier, and only after every other instance
has answered that its storage is empty too.  An instance with lost storage is
answered by one that belongs to a cluster, so it cannot found another: it waits
for the leader, who takes it in as a learner.  Storage that replaced damaged
files never counts as empty.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.consensus.state import NEVER_S
from verbenaplank.consensus.state import Progress
from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import append_entries
from verbenaplank.consensus.state import reset_election_timer
from verbenaplank.consensus.state import save
from verbenaplank.consensus.state import send
from verbenaplank.protocol.consensus import Foundation
from verbenaplank.protocol.consensus import Hello
from verbenaplank.protocol.consensus import HelloReply
from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import LogEntryKind
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import StorageState
from verbenaplank.storage.model import Vote

if TYPE_CHECKING:
    from verbenaplank.consensus.state import State
    from verbenaplank.protocol.consensus import PeerMessage

HELLO_HEARTBEATS = 5
"""Heartbeats between two announcements."""

FIRST_TERM = 1


def announce(state: State) -> None:
    """Tell every other instance that no leader talks to this replica."""
    state.hello_due_s = state.now_s + HELLO_HEARTBEATS * state.timing.heartbeat_s
    if _may_found(state):
        found_cluster(state)
        return
    hello = Hello(state=state.identity.state)
    voters = {member.instance_id for member in state.members}
    for instance_id in sorted({*state.peer_ids, *state.contact_ids, *voters}):
        if instance_id != state.replica.instance_id:
            anyone = Replica(instance_id=instance_id)
            send(state, anyone, after_sync=True, hello=hello)


def on_hello(state: State, message: PeerMessage, hello: Hello) -> None:
    """Take in a replica that looks for its cluster, or tell it of ours."""
    if _is_founder(state, message.sender.instance_id):
        state.founder = message.sender
    if hello.state is StorageState.MEMBER:
        if message.cluster_id == state.identity.cluster_id:
            _take_in(state, message.sender)
        return
    voters = tuple(member.instance_id for member in state.members)
    reply = HelloReply(state=state.identity.state, voter_ids=voters)
    send(state, message.sender, after_sync=True, hello_reply=reply)
    if state.is_member:
        _repeat_foundation(state, message.sender)
        _take_in(state, message.sender)


def on_hello_reply(state: State, message: PeerMessage, reply: HelloReply) -> None:
    """Note what another instance's storage holds."""
    statement = (message.sender, reply.state)
    state.statements[message.sender.instance_id] = statement
    if state.group.open:
        state.contact_ids.update(reply.voter_ids)
    if _may_found(state):
        found_cluster(state)


def on_foundation(state: State, message: PeerMessage, foundation: Foundation) -> None:
    """Become one of the first members of a cluster."""
    founder = state.founder
    if state.is_member or (founder is not None and founder != message.sender):
        return
    if state.replica in foundation.members:
        _form(state, message.cluster_id, foundation.members)


def found_cluster(state: State) -> None:
    """Found a cluster of all instances."""
    replicas = [
        sender
        for sender, _ in state.statements.values()
        if sender.instance_id in state.peer_ids
    ]
    members = tuple(
        sorted([state.replica, *replicas], key=lambda member: member.instance_id)
    )
    _form(state, state.replica.incarnation, members)
    for member in members:
        _repeat_foundation(state, member)
    state.election_due_s = state.now_s


def adopt_cluster(state: State, message: PeerMessage) -> None:
    """Join the cluster of a leader that replicates to this replica."""
    state.identity = attrs.evolve(
        state.identity, state=StorageState.MEMBER, cluster_id=message.cluster_id
    )
    vote = Vote(term=state.term, voted_for=None)
    save(state, vote=vote, identity=state.identity)


def _is_founder(state: State, instance_id: str) -> bool:
    return instance_id == min(state.peer_ids)


def _may_found(state: State) -> bool:
    if state.identity.state is not StorageState.EMPTY or not state.group.may_found:
        return False
    if not _is_founder(state, state.replica.instance_id):
        return False
    others = set(state.peer_ids) - {state.replica.instance_id}
    return all(
        state.statements.get(other, (None, None))[1] is StorageState.EMPTY
        for other in others
    )


def _form(state: State, cluster_id: str, members: tuple[Replica, ...]) -> None:
    state.term = FIRST_TERM
    state.identity = attrs.evolve(
        state.identity, state=StorageState.MEMBER, cluster_id=cluster_id
    )
    vote = Vote(term=state.term, voted_for=None)
    save(state, vote=vote, identity=state.identity)
    entry = LogEntry(
        index=1, term=FIRST_TERM, kind=LogEntryKind.MEMBERSHIP, members=members
    )
    append_entries(state, [entry])
    state.heard_s = NEVER_S
    reset_election_timer(state)


def _repeat_foundation(state: State, replica: Replica) -> None:
    """Tell a first member of the foundation while the log still holds it."""
    if state.log.base_index > 0 or not state.log.entries:
        return
    members = state.log.entries[0].members
    if replica in members and replica != state.replica:
        foundation = Foundation(members=members)
        send(state, replica, after_sync=True, foundation=foundation)


def _take_in(state: State, replica: Replica) -> None:
    """Replicate to a learner; only one incarnation of an instance at a time."""
    if state.role is not Role.LEADER or replica in state.progress:
        return
    if not state.is_peer(replica.instance_id):
        return
    for other in list(state.progress):
        if other.instance_id == replica.instance_id and other not in state.members:
            del state.progress[other]
    state.progress[replica] = Progress(next_index=state.log.last_index + 1)
