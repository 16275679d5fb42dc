"""Cluster formation: bootstrapping a cluster, or finding and joining one.

A replica that hears from no leader sends a hello to the instances that it knows. In
an open group it knows only a few instances at first; their replies name the voters,
and any instance may join through the leader.

Only the instance with the lowest identifier in the settings, the founder, bootstraps
a cluster, and only after every other instance in the settings has replied that its
storage is empty too. An instance that has lost its storage gets a reply from a member
of its cluster, so it cannot bootstrap a second one. It waits until the leader adds it
as a learner. Storage that replaced damaged files never counts as empty.
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
    from verbenaplank.consensus.state import ReplicaState
    from verbenaplank.protocol.consensus import PeerMessage

HELLO_INTERVAL_HEARTBEATS = 5
"""Interval between two hellos of a replica, in heartbeat intervals."""

FIRST_TERM = 1
"""Term of a new cluster and of its first membership entry."""


def send_hello_or_bootstrap(state: ReplicaState) -> None:
    """Send a hello to each other known instance, or bootstrap a cluster if allowed."""
    state.hello_due_s = (
        state.now_s + HELLO_INTERVAL_HEARTBEATS * state.timing.heartbeat_s
    )
    if _may_bootstrap(state):
        bootstrap_cluster(state)
        return
    hello = Hello(state=state.identity.state)
    voters = {member.instance_id for member in state.members}
    for instance_id in sorted({*state.peer_ids, *state.learned_voter_ids, *voters}):
        if instance_id != state.replica.instance_id:
            any_incarnation = Replica(instance_id=instance_id)
            send(state, any_incarnation, after_sync=True, hello=hello)


def on_hello(state: ReplicaState, message: PeerMessage, hello: Hello) -> None:
    """Answer a replica that hears from no leader; as leader, add it as a learner.

    A replica that belongs to another cluster is ignored. Any other one gets a reply
    with the state of this storage and the voters, since it may not know the leader. A
    first member that missed the foundation gets it again.
    """
    if _is_founder(state, message.sender.instance_id):
        state.founder = message.sender
    is_member = hello.state is StorageState.MEMBER
    if is_member and message.cluster_id != state.identity.cluster_id:
        return
    voters = tuple(member.instance_id for member in state.members)
    reply = HelloReply(state=state.identity.state, voter_ids=voters)
    send(state, message.sender, after_sync=True, hello_reply=reply)
    if state.is_member:
        if not is_member:
            _send_foundation(state, message.sender)
        _add_learner(state, message.sender)


def on_hello_reply(
    state: ReplicaState, message: PeerMessage, reply: HelloReply
) -> None:
    """Record the storage state and the voters that another instance reports.

    Bootstrap a cluster if this replica may and all other instances in the settings
    have empty storage.
    """
    report = (message.sender, reply.state)
    state.storage_reports[message.sender.instance_id] = report
    _learn_peers(state, set(reply.voter_ids))
    if _may_bootstrap(state):
        bootstrap_cluster(state)


def learn_from_misaddressed(state: ReplicaState, message: PeerMessage) -> None:
    """Learn from a message to lost storage of this instance who belongs to its group.

    All instances that the settings name may be gone, or without a group too.
    """
    recipient, own_id = message.recipient, state.replica.instance_id
    same = message.cluster_id == state.identity.cluster_id
    if recipient.instance_id != own_id or not message.cluster_id:
        return
    if same or not state.is_member:
        _learn_peers(state, {message.sender.instance_id})


def _learn_peers(state: ReplicaState, instance_ids: set[str]) -> None:
    """Send a hello soon if one of these instances of an open group is new."""
    new_ids = instance_ids - state.learned_voter_ids - {state.replica.instance_id}
    if state.group.open and new_ids:
        state.learned_voter_ids |= new_ids
        state.hello_due_s = state.now_s


def on_foundation(
    state: ReplicaState, message: PeerMessage, foundation: Foundation
) -> None:
    """Become one of the first members of a new cluster.

    The message is ignored if another replica of the founder instance is known, since
    it was then sent before that instance lost its storage.
    """
    founder = state.founder
    if state.is_member or (founder is not None and founder != message.sender):
        return
    if state.replica in foundation.members:
        _initialize_membership(state, message.cluster_id, foundation.members)


def bootstrap_cluster(state: ReplicaState) -> None:
    """Bootstrap a cluster of all instances in the settings; make an election due."""
    replicas = [
        sender
        for sender, _ in state.storage_reports.values()
        if sender.instance_id in state.peer_ids
    ]
    members = tuple(
        sorted([state.replica, *replicas], key=lambda member: member.instance_id)
    )
    _initialize_membership(state, state.replica.incarnation, members)
    for member in members:
        _send_foundation(state, member)
    state.election_due_s = state.now_s


def join_cluster(state: ReplicaState, message: PeerMessage) -> None:
    """Become a member of the cluster of the leader that sent ``message``."""
    state.identity = attrs.evolve(
        state.identity, state=StorageState.MEMBER, cluster_id=message.cluster_id
    )
    vote = Vote(term=state.term, voted_for=None)
    save(state, vote=vote, identity=state.identity)


def _is_founder(state: ReplicaState, instance_id: str) -> bool:
    return instance_id == min(state.peer_ids)


def _may_bootstrap(state: ReplicaState) -> bool:
    if state.identity.state is not StorageState.EMPTY or not state.group.may_found:
        return False
    if not _is_founder(state, state.replica.instance_id):
        return False
    others = set(state.peer_ids) - {state.replica.instance_id}
    return all(
        state.storage_reports.get(other, (None, None))[1] is StorageState.EMPTY
        for other in others
    )


def _initialize_membership(
    state: ReplicaState, cluster_id: str, members: tuple[Replica, ...]
) -> None:
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
    state.last_leader_contact_s = NEVER_S
    reset_election_timer(state)


def _send_foundation(state: ReplicaState, replica: Replica) -> None:
    """Send the foundation to a first member while the log is not compacted."""
    if state.log.base_index > 0 or not state.log.entries:
        return
    members = state.log.entries[0].members
    if replica in members and replica != state.replica:
        foundation = Foundation(members=members)
        send(state, replica, after_sync=True, foundation=foundation)


def _add_learner(state: ReplicaState, replica: Replica) -> None:
    """Start to replicate to a learner.

    Other learners of the same instance are dropped, since only one incarnation of
    an instance can be running.
    """
    if state.role is not Role.LEADER or replica in state.progress:
        return
    if not state.is_peer(replica.instance_id):
        return
    for other in list(state.progress):
        if other.instance_id == replica.instance_id and other not in state.members:
            del state.progress[other]
    state.progress[replica] = Progress(
        next_index=state.log.last_index + 1, added_s=state.now_s
    )
