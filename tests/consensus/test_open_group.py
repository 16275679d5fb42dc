"""Open groups: a few named instances grow to twice the tolerated losses plus one."""

from __future__ import annotations

import pytest
from tests.consensus.cluster import TIMING
from tests.consensus.cluster import other_instances
from tests.consensus.open_cluster import LONG_S
from tests.consensus.open_cluster import LOSSES
from tests.consensus.open_cluster import NAMED_INSTANCES
from tests.consensus.open_cluster import VOTERS
from tests.consensus.open_cluster import OpenCluster
from tests.consensus.open_cluster import leader_of

from verbenaplank.consensus.membership_change import ChangeReason
from verbenaplank.consensus.replication import failures_to_spare
from verbenaplank.protocol.consensus import Hello
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import StorageState


@pytest.mark.parametrize("seed", range(10))
def test_named_instances_form_a_group_that_the_others_join(seed: int) -> None:
    """Instances that only know the named ones must become voters too."""
    cluster = OpenCluster(VOTERS, seed).settled()
    assert len(leader_of(cluster).state.members) == VOTERS


def test_growing_group_acknowledges_only_with_all_its_voters() -> None:
    """Guard against an acknowledged command that two lost disks destroy.

    A majority of three voters is two, and both of these disks may be lost.
    """
    cluster = OpenCluster(NAMED_INSTANCES, 1)
    cluster.run_for(LONG_S)
    leader = leader_of(cluster)
    cluster.isolate(other_instances(cluster, leader)[0].name)
    count = len(cluster.acknowledged)
    cluster.propose(leader)
    cluster.run_to_quiescence()
    assert len(cluster.acknowledged) == count


@pytest.mark.parametrize("seed", range(20))
def test_acknowledged_command_survives_a_power_loss_and_two_lost_disks(
    seed: int,
) -> None:
    """Guard against a quorum that does not include a surviving disk.

    All instances lose power right after an acknowledgement, and two disks are lost.
    """
    cluster = OpenCluster(VOTERS, seed).settled()
    cluster.run_until_acknowledged()
    lost = cluster.random.sample(cluster.all, LOSSES)
    cluster.lose_power()
    for instance in lost:
        cluster.lose_disk(instance.name)
    cluster.settle(LONG_S)
    assert len(leader_of(cluster).state.members) == VOTERS


def test_group_survives_two_lost_disks_with_the_leader_s_among_them() -> None:
    """The remaining voters must elect a leader and replace both lost replicas."""
    cluster = OpenCluster(VOTERS, 3).settled()
    leader = leader_of(cluster)
    for instance in (leader, other_instances(cluster, leader)[0]):
        cluster.lose_disk(instance.name)
        cluster.start(instance.name)
    cluster.settle(LONG_S)


def test_dead_voter_is_replaced_by_an_instance_of_another_name() -> None:
    """Guard against a group that stays a voter short after a machine is gone."""
    cluster = OpenCluster(VOTERS, 2).settled()
    gone = other_instances(cluster, leader_of(cluster))[0]
    cluster.crash(gone.name)
    cluster.add("control-9")
    cluster.changes.clear()
    cluster.run_for(LONG_S)
    members = {member.instance_id for member in leader_of(cluster).state.members}
    assert [change.reason for change in cluster.changes] == [
        ChangeReason.SILENCE,
        ChangeReason.VACANCY,
    ]
    assert gone.name not in members
    assert "control-9" in members
    assert len(members) == VOTERS


def test_failures_to_spare_counts_the_voters_that_answer() -> None:
    """Guard against a figure for operators that counts voters which are gone."""
    cluster = OpenCluster(VOTERS, 2).settled()
    leader = leader_of(cluster)
    for spare, gone in zip((2, 1, 0), other_instances(cluster, leader), strict=False):
        assert failures_to_spare(leader.state) == spare
        cluster.crash(gone.name)
        cluster.run_for(2 * TIMING.election_timeout_s)


@pytest.mark.parametrize("seed", range(5))
def test_instances_without_a_known_peer_are_found_by_the_group(seed: int) -> None:
    """Guard against lost disks after which an instance stays alone for good.

    The settings name three: one is gone and replaced, the others lose their disks.
    """
    cluster = OpenCluster(VOTERS, seed).settled()
    gone, *lost = cluster.names[:NAMED_INSTANCES]
    cluster.crash(gone)
    cluster.add("control-9")
    cluster.run_for(LONG_S)
    for name in lost:
        cluster.lose_disk(name)
        cluster.start(name)
    cluster.run_for(LONG_S)
    assert failures_to_spare(leader_of(cluster).state) == LOSSES


def test_member_that_knows_no_leader_is_told_the_voters() -> None:
    """Guard against a learner without a log that cannot find an unnamed leader."""
    cluster = OpenCluster(VOTERS, 1).settled()
    follower = other_instances(cluster, leader_of(cluster))[0]
    lonely = Replica(instance_id="control-9", incarnation="incarnation-9")
    cluster.receive(follower, lonely, hello=Hello(state=StorageState.MEMBER))
    reply = cluster.network[-1]
    assert reply.recipient == lonely
    assert len(reply.hello_reply.voter_ids) == VOTERS


def test_surplus_instance_stays_a_learner_and_is_current() -> None:
    """An instance beyond the target must not become a voter, but serves reads."""
    cluster = OpenCluster(VOTERS, 2).settled()
    cluster.add("control-9")
    cluster.run_for(LONG_S)
    newcomer = cluster.instances["control-9"]
    assert len(newcomer.state.members) == VOTERS
    assert newcomer.state.replica not in newcomer.state.members
    assert newcomer.core.is_current(newcomer.clock_s(cluster.now_s))


def test_instances_that_lost_their_disks_create_no_second_cluster() -> None:
    """Guard against an empty cluster in place of one whose disks are all lost.

    Only an instance's first start may bootstrap a cluster; here all had started before.
    """
    cluster = OpenCluster(VOTERS, 4).settled()
    for instance in cluster.all:
        cluster.lose_disk(instance.name)
        cluster.start(instance.name)
    cluster.run_for(LONG_S)
    assert cluster.leader() is None


@pytest.mark.parametrize("seed", range(30))
def test_promises_hold_under_random_faults(seed: int) -> None:
    """Guard against faults that only random schedules of an open group reveal.

    The safety properties are checked after each step, and the group must settle.
    """
    cluster = OpenCluster(VOTERS, 1_000 + seed)
    cluster.settle()
    for _ in range(12):
        cluster.run(120)
        cluster.random_fault()
    cluster.settle(LONG_S)
