from __future__ import annotations

import pytest
from tests.consensus.cluster import TIMING
from tests.consensus.cluster import other_instances
from tests.consensus.cluster import settled_cluster

from verbenaplank.consensus.state import Role


@pytest.mark.parametrize("seed", range(6))
def test_frozen_leader_is_not_current_once_another_could_lead(seed: int) -> None:
    """Guard against a lease that outlasts the next election.

    The leader notices no time while the others elect a new one. The checks of the
    cluster find a current leader that misses an acknowledged command.
    """
    cluster, leader = settled_cluster(5, seed)
    cluster.isolate(leader.name)
    while cluster.leader() is leader:
        cluster.run_for(0.01, frozen=leader.name)
    cluster.propose(cluster.leader())
    cluster.run_to_quiescence()
    assert leader.state.role is Role.LEADER

    cluster.check(leader)
    assert not leader.core.is_current(leader.clock_s(cluster.now_s))


def test_read_of_an_isolated_leader_waits_for_a_quorum() -> None:
    """A leader without a lease may be deposed, so its read could be stale."""
    cluster, leader = settled_cluster(3)
    cluster.isolate(leader.name)
    cluster.run_for(1.5 * TIMING.election_timeout_s, frozen=leader.name)
    answered = cluster.answered_reads
    cluster.read(leader)
    cluster.run_to_quiescence()
    assert cluster.answered_reads == answered

    cluster.heal()
    cluster.run_for(TIMING.election_timeout_s)
    assert cluster.reads == {}


def test_read_of_a_lease_holder_needs_no_message() -> None:
    """Guard against a round trip for each read while the lease holds."""
    cluster, leader = settled_cluster(3)
    answered = cluster.answered_reads
    cluster.network.clear()
    cluster.read(leader)

    assert cluster.network == []
    assert cluster.answered_reads == answered + 1


def test_read_on_a_follower_covers_acknowledged_commands() -> None:
    """A follower that lags must not answer a read from its own commit index."""
    cluster, leader = settled_cluster(3)
    follower = other_instances(cluster, leader)[0]
    cluster.propose(leader)
    cluster.run_to_quiescence()
    answered = cluster.answered_reads
    cluster.read(follower)
    cluster.run_to_quiescence()

    assert cluster.answered_reads == answered + 1


def test_isolated_follower_stops_being_current() -> None:
    """Guard against a follower that serves old state after it lost the leader."""
    cluster, leader = settled_cluster(3)
    follower = other_instances(cluster, leader)[0]
    assert follower.core.is_current(follower.clock_s(cluster.now_s))
    cluster.isolate(follower.name)
    cluster.run_for(TIMING.election_timeout_s)

    assert not follower.core.is_current(follower.clock_s(cluster.now_s))
