from __future__ import annotations

from typing import TYPE_CHECKING

from tests.consensus.cluster import TIMING
from tests.consensus.cluster import other_instances
from tests.consensus.cluster import settled_cluster

from verbenaplank.consensus import replication
from verbenaplank.consensus.events import MessageReceived
from verbenaplank.consensus.events import StorageWritableChanged
from verbenaplank.consensus.replication import advance_commit
from verbenaplank.consensus.state import Role
from verbenaplank.protocol.consensus import AppendRequest
from verbenaplank.protocol.consensus import LogEntry

if TYPE_CHECKING:
    import pytest


def test_entry_of_an_earlier_term_is_not_committed_by_counting_replicas() -> None:
    """Guard against a committed entry that a later leader overwrites.

    An entry of an earlier term is committed only with an entry of the current term.
    """
    leader = settled_cluster(3)[1]
    state = leader.state
    earlier = state.log.last_index + 1
    state.log.append(
        [
            LogEntry(index=earlier, term=state.term),
            LogEntry(index=earlier + 1, term=state.term + 1),
        ]
    )
    state.term += 1
    state.durable_index = earlier + 1
    for progress in state.progress.values():
        progress.match_index = earlier
    advance_commit(state)
    assert state.commit_index < earlier

    next(iter(state.progress.values())).match_index = earlier + 1
    advance_commit(state)
    assert state.commit_index == earlier + 1


def test_append_is_answered_only_after_it_is_synced() -> None:
    """An entry that is acknowledged before it is durable could be lost in a crash."""
    cluster, leader = settled_cluster(3)
    follower = other_instances(cluster, leader)[0]
    cluster.propose(leader)
    request = next(
        message
        for message in cluster.network
        if message.recipient == follower.state.replica
    )
    cluster.network.clear()
    cluster.step(follower, MessageReceived(message=request))
    assert cluster.network == []

    cluster.sync(follower)
    assert [bool(message.append_reply) for message in cluster.network] == [True]


def test_leader_with_a_full_disk_steps_down_and_loses_nothing() -> None:
    """Guard against a group that stops because its leader cannot write."""
    cluster, leader = settled_cluster(3)
    cluster.propose(leader)
    cluster.run_to_quiescence()
    cluster.step(leader, StorageWritableChanged(writable=False))
    assert leader.state.role is Role.FOLLOWER
    cluster.run_for(4 * TIMING.election_timeout_s)
    assert cluster.leader() not in (None, leader)

    cluster.step(leader, StorageWritableChanged(writable=True))
    cluster.settle()
    assert leader.commands == cluster.leader().commands != []


def test_large_snapshot_is_sent_in_several_chunks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A snapshot may be larger than a message; its chunks must be joined correctly."""
    monkeypatch.setattr(replication, "SNAPSHOT_CHUNK_BYTES", 5)
    cluster, leader = settled_cluster(3)
    lost = other_instances(cluster, leader)[0]
    for _ in range(10):
        cluster.propose(leader)
        cluster.run_to_quiescence()
    chunks = len(leader.state.snapshot.data) // 5 + 1
    cluster.lose_disk(lost.name)
    cluster.start(lost.name)
    cluster.settle()

    assert chunks > 2
    assert lost.commands == leader.commands


def test_message_of_another_cluster_is_dropped() -> None:
    """A leader of another cluster must not overwrite the log or raise the term."""
    cluster, leader = settled_cluster(3)
    follower = other_instances(cluster, leader)[0]
    cluster.network.clear()
    cluster.receive(
        follower,
        leader.state.replica,
        leader.state.term + 1,
        cluster_id="another",
        append_request=AppendRequest(previous_index=0, previous_term=0, commit_index=0),
    )

    assert follower.state.term == leader.state.term
    assert cluster.network == []


def test_command_is_applied_everywhere_before_the_next_heartbeat() -> None:
    """Guard against followers that learn of a commit only by the next heartbeat."""
    cluster, leader = settled_cluster(3)
    command = cluster.propose(leader)
    cluster.run_to_quiescence()

    assert [item.commands[-1][1] for item in cluster.all] == [command] * 3
