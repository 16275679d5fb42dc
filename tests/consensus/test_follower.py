from __future__ import annotations

import pytest
from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import Instance
from tests.consensus.cluster import other_instances
from tests.consensus.cluster import settled_cluster

from verbenaplank.consensus.log import Log
from verbenaplank.protocol.consensus import AppendRequest
from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import LogEntryKind
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import SnapshotChunk


def _sender_and_term(leader: Instance) -> tuple[Replica, int]:
    """Return the sender and the term of a message from the leader."""
    return leader.state.replica, leader.state.term


@pytest.fixture
def leader_and_follower() -> tuple[Cluster, Instance, Instance]:
    cluster, leader = settled_cluster(3)
    return cluster, leader, other_instances(cluster, leader)[0]


def test_follower_is_current_only_if_confirmed_since_its_start_and_caught_up(
    leader_and_follower: tuple[Cluster, Instance, Instance],
) -> None:
    """Guard against a stale follower that calls itself current.

    It must not trust a clock value from before its restart or from the future, nor a
    request whose commit index it has not reached.
    """
    cluster, leader, follower = leader_and_follower
    cluster.run_for(TIMING.election_timeout_s)
    cluster.crash(follower.name)
    cluster.start(follower.name)
    state = follower.state
    last = leader.state.log.last_index

    def current_after(echo_s: float, missing: int = 0) -> bool:
        request = AppendRequest(
            previous_index=last,
            previous_term=leader.state.term,
            commit_index=last + missing,
            echo_s=echo_s,
            backed=True,
        )
        cluster.receive(follower, *_sender_and_term(leader), append_request=request)
        return follower.core.is_current(state.now_s)

    assert not current_after(state.started_s - 0.01)
    assert not current_after(state.now_s + 0.01)
    assert not current_after(state.now_s, missing=1)
    assert current_after(state.now_s)


def test_snapshot_replaces_uncommitted_entries_that_diverge_from_it(
    leader_and_follower: tuple[Cluster, Instance, Instance],
) -> None:
    """Guard against entries and voters of a diverging log that outlive a snapshot."""
    cluster, leader, follower = leader_and_follower
    state = follower.state
    last = state.log.last_index
    term = leader.state.term
    uncommitted = [
        LogEntry(index=last + 1, term=term),
        LogEntry(index=last + 2, term=term, kind=LogEntryKind.MEMBERSHIP),
    ]
    state.log.append(uncommitted)
    state.member_history.append((last + 2, ()))
    members = leader.state.members
    chunk = SnapshotChunk(
        index=last + 1,
        entry_term=term + 1,
        members=members,
        offset_bytes=0,
        data=b"\x90",
        final=True,
    )
    cluster.receive(follower, leader.state.replica, term + 1, snapshot_chunk=chunk)

    assert state.log.entries == []
    assert state.log.last_term == term + 1
    assert state.member_history == [(last + 1, members)]


def test_entries_after_a_snapshot_are_kept() -> None:
    """A snapshot must not remove the entries that follow it."""
    log = Log(entries=[LogEntry(index=i, term=2) for i in (1, 2, 3)])
    log.compact(2, 2)

    assert [entry.index for entry in log.entries] == [3]
    assert (log.base_index, log.last_index, log.term_at(2)) == (2, 3, 2)
    assert log.term_at(1) is None


def test_committed_entry_is_never_truncated(
    leader_and_follower: tuple[Cluster, Instance, Instance],
) -> None:
    """A request that contradicts a committed entry must not change the log."""
    cluster, leader, follower = leader_and_follower
    cluster.propose(leader)
    cluster.run_to_quiescence()
    index = follower.state.commit_index
    request = AppendRequest(
        previous_index=index - 1,
        previous_term=leader.state.log.term_at(index - 1),
        commit_index=0,
        entries=(LogEntry(index=index, term=leader.state.term + 1),),
    )

    with pytest.raises(AssertionError, match="is committed"):
        cluster.receive(follower, *_sender_and_term(leader), append_request=request)
