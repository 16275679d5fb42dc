from __future__ import annotations

from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import Instance
from tests.consensus.cluster import others_than
from tests.consensus.cluster import settled_cluster

from verbenaplank.consensus.admission import admit_learners
from verbenaplank.consensus.state import Progress
from verbenaplank.protocol.consensus import Hello
from verbenaplank.protocol.consensus import LogEntryKind
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import StorageState

LONG_S = 20 * TIMING.election_timeout_s


def _membership_entries(instance: Instance) -> int:
    entries = instance.state.log.entries
    return sum(entry.kind is LogEntryKind.MEMBERSHIP for entry in entries)


def _commit(cluster: Cluster, instance: Instance) -> bool:
    """Return whether a proposed command is acknowledged."""
    count = len(cluster.acknowledged)
    cluster.propose(instance)
    cluster.run_out()
    return len(cluster.acknowledged) > count


def test_instance_with_a_lost_disk_is_admitted_under_a_new_identity() -> None:
    cluster, leader = settled_cluster(3)
    lost, second = others_than(cluster, leader)
    former = lost.state.replica
    cluster.lose_disk(lost.name)
    cluster.start(lost.name)
    cluster.settle()
    assert former not in leader.state.members

    cluster.lose_disk(second.name)
    cluster.start(second.name)
    cluster.settle()
    assert _commit(cluster, cluster.leader())


def test_two_lost_disks_at_once_leave_no_quorum_and_found_no_cluster() -> None:
    cluster, leader = settled_cluster(3)
    others = others_than(cluster, leader)
    for other in others:
        cluster.lose_disk(other.name)
        cluster.start(other.name)
    cluster.run_for(LONG_S)

    assert cluster.leader() is None
    assert all(other.state.replica not in other.state.members for other in others)


def test_replica_takes_a_lost_one_s_place_only_by_the_other_voters() -> None:
    """Otherwise the lost disk, found again, could elect with the third voter."""
    cluster, leader = settled_cluster(3)
    lost, third = others_than(cluster, leader)
    cluster.isolate(third.name)
    former_disk = lost.disk
    cluster.lose_disk(lost.name)
    cluster.start(lost.name)
    cluster.run_for(0.6 * TIMING.election_timeout_s)
    assert _membership_entries(leader) <= 2
    assert not _commit(cluster, leader)

    cluster.crash(leader.name)
    cluster.crash(lost.name)
    lost.disk = former_disk
    cluster.heal()
    cluster.start(lost.name)
    cluster.run_for(LONG_S)
    assert cluster.leader() in (lost, third)
    cluster.settle()


def test_learner_is_admitted_once_it_and_the_leader_s_term_have_caught_up() -> None:
    cluster, leader = settled_cluster(3)
    state = leader.state
    learner = Replica(instance_id=others_than(cluster, leader)[0].name)
    last = state.log.last_index
    progress = Progress(next_index=last + 1)
    state.progress[learner] = progress

    def admitted(match_index: int, term_start_index: int) -> bool:
        progress.match_index = match_index
        state.term_start_index = term_start_index
        admit_learners(state)
        return state.log.last_index > last

    assert not admitted(last - 1, term_start_index=last)
    assert not admitted(last, term_start_index=last + 1)
    assert admitted(last, term_start_index=last)


def test_hello_of_an_unknown_instance_is_not_followed_up() -> None:
    cluster, leader = settled_cluster(3)
    stranger = Replica(instance_id="stranger", incarnation="1")
    cluster.receive(leader, stranger, hello=Hello(state=StorageState.EMPTY))

    assert stranger not in leader.state.progress


def test_disk_that_comes_back_is_taken_in_again() -> None:
    cluster, leader = settled_cluster(3)
    lost = others_than(cluster, leader)[0]
    former_disk = lost.disk
    cluster.lose_disk(lost.name)
    cluster.start(lost.name)
    cluster.settle()
    cluster.crash(lost.name)
    lost.disk = former_disk
    cluster.start(lost.name)
    cluster.settle()

    assert lost.state.replica in leader.state.members


def test_single_instance_grows_to_three() -> None:
    cluster, first = settled_cluster(1)
    cluster.propose(first)
    cluster.run_out()
    cluster.grow_to(3)
    cluster.settle()

    assert len(first.state.members) == 3
    assert all(item.commands == first.commands for item in cluster.all)
