from __future__ import annotations

import pytest
from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import Instance
from tests.consensus.cluster import others_than
from tests.consensus.cluster import settled_cluster

from verbenaplank.consensus.log import Log
from verbenaplank.protocol.consensus import AppendRequest
from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import LogEntryKind
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import SnapshotChunk


def _author(leader: Instance) -> tuple[Replica, int]:
    return leader.state.replica, leader.state.term


@pytest.fixture
def pair() -> tuple[Cluster, Instance, Instance]:
    cluster, leader = settled_cluster(3)
    return cluster, leader, others_than(cluster, leader)[0]


def test_follower_is_current_only_by_an_echo_of_its_start_and_all_entries(
    pair: tuple[Cluster, Instance, Instance],
) -> None:
    cluster, leader, follower = pair
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
        cluster.receive(follower, *_author(leader), append_request=request)
        return follower.core.is_current(state.now_s)

    assert not current_after(state.started_s - 0.01)
    assert not current_after(state.now_s + 0.01)
    assert not current_after(state.now_s, missing=1)
    assert current_after(state.now_s)


def test_snapshot_drops_uncommitted_entries_that_differ_from_it(
    pair: tuple[Cluster, Instance, Instance],
) -> None:
    cluster, leader, follower = pair
    state = follower.state
    last = state.log.last_index
    term = leader.state.term
    doubtful = [
        LogEntry(index=last + 1, term=term),
        LogEntry(index=last + 2, term=term, kind=LogEntryKind.MEMBERSHIP),
    ]
    state.log.append(doubtful)
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


def test_entries_behind_a_snapshot_are_kept() -> None:
    log = Log(entries=[LogEntry(index=i, term=2) for i in (1, 2, 3)])
    log.compact(2, 2)

    assert [entry.index for entry in log.entries] == [3]
    assert (log.base_index, log.last_index, log.term_at(2)) == (2, 3, 2)
    assert log.term_at(1) is None


def test_committed_entry_is_never_dropped(
    pair: tuple[Cluster, Instance, Instance],
) -> None:
    cluster, leader, follower = pair
    cluster.propose(leader)
    cluster.run_out()
    index = follower.state.commit_index
    request = AppendRequest(
        previous_index=index - 1,
        previous_term=leader.state.log.term_at(index - 1),
        commit_index=0,
        entries=(LogEntry(index=index, term=leader.state.term + 1),),
    )

    with pytest.raises(AssertionError, match="is committed"):
        cluster.receive(follower, *_author(leader), append_request=request)
