from __future__ import annotations

from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import Instance
from tests.consensus.cluster import other_instances
from tests.consensus.cluster import settled_cluster

from verbenaplank.consensus.learner_promotion import promote_learners
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
    cluster.run_to_quiescence()
    return len(cluster.acknowledged) > count


def test_instance_that_lost_its_disk_becomes_a_voter_as_a_new_replica() -> None:
    """Guard against a group that cannot replace lost storages one after another.

    If the lost replica stayed a voter, the second loss would leave no quorum.
    """
    cluster, leader = settled_cluster(3)
    lost, second = other_instances(cluster, leader)
    former = lost.state.replica
    cluster.lose_disk(lost.name)
    cluster.start(lost.name)
    cluster.settle()
    assert former not in leader.state.members

    cluster.lose_disk(second.name)
    cluster.start(second.name)
    cluster.settle()
    assert _commit(cluster, cluster.leader())


def test_two_disks_lost_at_once_leave_no_quorum_and_create_no_second_cluster() -> None:
    """Guard against data loss by a new cluster of instances with empty disks."""
    cluster, leader = settled_cluster(3)
    others = other_instances(cluster, leader)
    for other in others:
        cluster.lose_disk(other.name)
        cluster.start(other.name)
    cluster.run_for(LONG_S)

    assert cluster.leader() is None
    assert all(other.state.replica not in other.state.members for other in others)


def test_replacement_replica_does_not_help_to_remove_the_lost_one() -> None:
    """Guard against a commit that rests on the replacement of a lost disk.

    If the replacement counted towards the quorum, its former disk could come back and
    elect a leader with the third voter, and neither would have the committed entries.
    """
    cluster, leader = settled_cluster(3)
    lost, third = other_instances(cluster, leader)
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


def test_learner_is_promoted_once_it_and_the_commit_index_have_caught_up() -> None:
    """Guard against a membership change that comes too early.

    The learner must hold all committed entries, and the leader must have committed an
    entry of its own term.
    """
    cluster, leader = settled_cluster(3)
    state = leader.state
    learner = Replica(instance_id=other_instances(cluster, leader)[0].name)
    last = state.log.last_index
    progress = Progress(next_index=last + 1)
    state.progress[learner] = progress

    def is_promoted(match_index: int, term_start_index: int) -> bool:
        progress.match_index = match_index
        state.term_start_index = term_start_index
        promote_learners(state)
        return state.log.last_index > last

    assert not is_promoted(last - 1, term_start_index=last)
    assert not is_promoted(last, term_start_index=last + 1)
    assert is_promoted(last, term_start_index=last)


def test_unknown_instance_does_not_become_a_learner() -> None:
    """A fixed group has only the instances that its settings name."""
    cluster, leader = settled_cluster(3)
    unknown = Replica(instance_id="stranger", incarnation="1")
    cluster.receive(leader, unknown, hello=Hello(state=StorageState.EMPTY))

    assert unknown not in leader.state.progress


def test_replaced_replica_rejoins_with_its_former_disk() -> None:
    """Guard against an instance that stays outside when its lost disk comes back."""
    cluster, leader = settled_cluster(3)
    lost = other_instances(cluster, leader)[0]
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
    """Further instances in the settings join a group of one without losing its log."""
    cluster, first = settled_cluster(1)
    cluster.propose(first)
    cluster.run_to_quiescence()
    cluster.grow_to(3)
    cluster.settle()

    assert len(first.state.members) == 3
    assert all(item.commands == first.commands for item in cluster.all)
