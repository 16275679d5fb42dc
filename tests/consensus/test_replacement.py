"""Replacement of voters that are gone for good, before others may lose their disks."""

from __future__ import annotations

import pytest
from tests.consensus.cluster import Instance
from tests.consensus.cluster import other_instances
from tests.consensus.open_cluster import LONG_S
from tests.consensus.open_cluster import LOSSES
from tests.consensus.open_cluster import VOTERS
from tests.consensus.open_cluster import OpenCluster
from tests.consensus.open_cluster import leader_of

from verbenaplank.consensus import events
from verbenaplank.consensus.node import LEAVE_POLL_S

CATCH_UP_S = 4.0
"""Time after the start of its successor from which a replaced machine is no loss."""

SUCCESSOR = "control-9"


def _choose(cluster: OpenCluster, *, leading: bool) -> Instance:
    leader = leader_of(cluster)
    return (
        leader if leading else cluster.random.choice(other_instances(cluster, leader))
    )


def _lose_two_disks(cluster: OpenCluster) -> None:
    """Empty the disks of two machines, the leader's among them half of the time."""
    machines = [item for item in cluster.running if item.name != SUCCESSOR]
    lost = cluster.random.sample(machines, LOSSES)
    leader = leader_of(cluster)
    if cluster.random.random() < 0.5 and leader in machines and leader not in lost:
        lost[0] = leader
    for instance in lost:
        cluster.lose_disk(instance.name)
    for instance in lost:
        cluster.start(instance.name)


def _check_recovery(cluster: OpenCluster) -> None:
    """Check that the group serves again, with all voters and all that it has acked."""
    cluster.run_for(LONG_S)
    leader = leader_of(cluster)
    assert len(leader.state.members) == VOTERS
    count = len(cluster.acknowledged)
    cluster.propose(leader)
    cluster.run_to_quiescence()
    assert len(cluster.acknowledged) > count


@pytest.mark.parametrize("gap_s", [0.0, 1.0, 3.0])
@pytest.mark.parametrize("leading", [False, True])
@pytest.mark.parametrize("seed", range(5))
def test_killed_voter_is_replaced_within_the_catch_up_time(
    seed: int, leading: bool, gap_s: float
) -> None:
    """Guard against a dead voter beside which two lost disks are one loss too many.

    A successor starts ``gap_s`` after the kill; the machine that is gone counts as
    lost until the successor has run for ``CATCH_UP_S``.
    """
    cluster = OpenCluster(VOTERS, seed).settled()
    cluster.remove(_choose(cluster, leading=leading).name)
    cluster.run_for(gap_s)
    cluster.add(SUCCESSOR)
    cluster.run_for(CATCH_UP_S)
    cluster.propose(leader_of(cluster))
    cluster.run_to_quiescence()
    _lose_two_disks(cluster)
    _check_recovery(cluster)


@pytest.mark.parametrize("leading", [False, True])
@pytest.mark.parametrize("seed", range(10))
def test_voter_that_stops_as_planned_leaves_its_vote_to_a_learner(
    seed: int, leading: bool
) -> None:
    """Guard against a planned stop after which a dead voter remains in the group.

    The successor has run for longer than ``CATCH_UP_S``, so the machine that leaves
    counts as no loss from its end on.
    """
    cluster = OpenCluster(VOTERS, seed).settled()
    cluster.add(SUCCESSOR)
    cluster.run_for(CATCH_UP_S + 1.0)
    cluster.leave(_choose(cluster, leading=leading).name)
    cluster.propose(leader_of(cluster))
    cluster.run_to_quiescence()
    _lose_two_disks(cluster)
    _check_recovery(cluster)


@pytest.mark.parametrize("seed", range(5))
def test_two_disks_lost_during_a_planned_replacement_are_borne(seed: int) -> None:
    """Guard against a replacement that tolerates fewer losses while it is going on."""
    cluster = OpenCluster(VOTERS, seed).settled()
    cluster.add(SUCCESSOR)
    cluster.run_for(CATCH_UP_S + 1.0)
    stopping = _choose(cluster, leading=False)
    sizes = set()
    cluster.step(stopping, events.LeaveRequested())
    for _ in range(cluster.random.randrange(40)):
        cluster.run(1)
        sizes.add(len(leader_of(cluster).state.members))
    others = [
        item for item in cluster.all if item not in (stopping, leader_of(cluster))
    ]
    for instance in cluster.random.sample(others, LOSSES):
        cluster.lose_disk(instance.name)
        cluster.start(instance.name)
    cluster.leave(stopping.name)
    assert sizes <= {VOTERS, VOTERS + 1}
    _check_recovery(cluster)


def test_stop_without_a_learner_waits_for_nobody() -> None:
    """Guard against a planned stop that takes its whole time for no purpose."""
    cluster = OpenCluster(VOTERS, 1).settled()
    cluster.run_for(CATCH_UP_S)
    stopping = _choose(cluster, leading=False)
    began_s = cluster.now_s
    cluster.leave(stopping.name)
    assert cluster.now_s - began_s < 2 * LEAVE_POLL_S
    assert len(leader_of(cluster).state.members) == VOTERS


def test_roll_of_all_voters_with_one_spare_ends_with_all_voters() -> None:
    """Guard against votes that change hands without end, or are lost, in a roll.

    Each instance that stops is back two seconds later, as a learner.
    """
    cluster = OpenCluster(VOTERS, 3).settled()
    cluster.add(SUCCESSOR)
    cluster.run_for(CATCH_UP_S)
    cluster.changes.clear()
    for name in sorted(cluster.instances):
        disk = cluster.instances[name].disk
        cluster.leave(name)
        assert len(leader_of(cluster).state.members) == VOTERS
        cluster.run_for(2.0)
        cluster.add(name, disk)
        cluster.run_for(CATCH_UP_S)
    cluster.run_for(LONG_S)
    assert len(leader_of(cluster).state.members) == VOTERS
    assert len(cluster.changes) <= 2 * len(cluster.all)


def test_learner_that_stops_gets_no_vote() -> None:
    """Guard against a vote handed to an instance that is about to end itself."""
    cluster = OpenCluster(VOTERS, 4).settled()
    cluster.add(SUCCESSOR)
    cluster.run_for(CATCH_UP_S)
    learner = cluster.instances[SUCCESSOR]
    cluster.step(learner, events.LeaveRequested())
    cluster.run_to_quiescence()
    assert not learner.state.leave_pending
    cluster.leave(_choose(cluster, leading=False).name)
    assert learner.state.replica not in leader_of(cluster).state.members


def test_leadership_is_not_transferred_to_a_voter_that_stops() -> None:
    """Guard against two planned stops at a time after which nobody leads."""
    cluster = OpenCluster(VOTERS, 5).settled()
    leader = leader_of(cluster)
    stopping = other_instances(cluster, leader)[:LOSSES]
    for instance in stopping:
        cluster.step(instance, events.LeaveRequested())
    cluster.run_to_quiescence()
    cluster.step(leader, events.LeadershipTransferRequested())
    cluster.run_for(0.1)
    assert leader_of(cluster) not in (leader, *stopping)


def test_leader_forgets_learners_that_are_gone() -> None:
    """Guard against requests to every replaced instance while a leader leads."""
    cluster = OpenCluster(VOTERS, 6).settled()
    for number in range(3):
        cluster.add(f"control-{number + 10}")
        cluster.run_for(CATCH_UP_S)
        cluster.remove(f"control-{number + 10}")
    cluster.run_for(LONG_S)
    assert len(leader_of(cluster).state.progress) == VOTERS - 1
