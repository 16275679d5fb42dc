from __future__ import annotations

import pytest
from tests.consensus.cluster import MAX_DRIFT
from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import Instance
from tests.consensus.cluster import other_instances
from tests.consensus.cluster import settled_cluster

from verbenaplank.consensus.events import LeadershipTransferRequested
from verbenaplank.consensus.events import MessageReceived
from verbenaplank.consensus.state import Role
from verbenaplank.protocol.consensus import TimeoutNow
from verbenaplank.protocol.consensus import VoteRequest

LONG_S = 20 * TIMING.election_timeout_s


def _ask_for_vote(cluster: Cluster, voter: Instance, candidate: Instance) -> None:
    """Deliver a vote request of a later term.

    It says that the leader asked for the election, so the lease does not block it.
    """
    request = VoteRequest(last_index=1_000, last_term=1_000, hand_over=True)
    cluster.receive(voter, candidate.state.replica, 1_000, vote_request=request)


def _granted(cluster: Cluster) -> list[str]:
    """Return the candidates to which a granted vote is on its way."""
    return [
        message.recipient.instance_id
        for message in cluster.network
        if message.vote_reply and message.vote_reply.granted
    ]


def test_vote_is_sent_only_after_it_is_synced() -> None:
    """A vote that is sent before it is durable could be given twice after a crash."""
    cluster, leader = settled_cluster(3)
    voter, candidate = other_instances(cluster, leader)

    _ask_for_vote(cluster, voter, candidate)
    assert _granted(cluster) == []
    cluster.sync_all(voter)

    assert _granted(cluster) == [candidate.name]


def test_vote_is_remembered_after_a_restart() -> None:
    """A voter that forgets its vote could give a second one and elect two leaders."""
    cluster, leader = settled_cluster(3)
    voter, candidate = other_instances(cluster, leader)
    _ask_for_vote(cluster, voter, candidate)
    cluster.sync_all(voter)
    cluster.crash(voter.name)
    cluster.start(voter.name)

    _ask_for_vote(cluster, voter, leader)
    cluster.sync_all(voter)

    assert _granted(cluster) == [candidate.name]


def test_follower_cut_off_from_the_leader_does_not_disturb_it() -> None:
    """Guard against a higher term that deposes the leader when a link heals.

    The follower hears nothing from the leader but reaches the other voter; pre-votes
    keep it from starting a new term.
    """
    cluster, leader = settled_cluster(3)
    term = leader.state.term
    cut_off = other_instances(cluster, leader)[0]
    cluster.cut_link(leader.name, cut_off.name)
    cluster.run_for(LONG_S)
    assert cut_off.state.role is Role.PRE_CANDIDATE
    cluster.settle()

    assert leader.state.role is Role.LEADER
    assert leader.state.term == term


@pytest.mark.parametrize("seed", range(8))
def test_lease_holds_while_the_only_other_voter_restarts(seed: int) -> None:
    """Guard against an election during a lease that a voter forgot in a restart.

    The checks of the cluster find a leader that is stale but calls itself current.
    """
    cluster, leader = settled_cluster(3, seed)
    voter, cut_off = other_instances(cluster, leader)
    cluster.cut_link(leader.name, cut_off.name)
    cluster.run_for(LONG_S)
    cluster.isolate(leader.name)
    cluster.crash(voter.name)
    cluster.start(voter.name)
    cluster.cut.discard((voter.name, cut_off.name))

    lease_s = TIMING.lease_s * (1 - 2 * MAX_DRIFT)
    end_s = cluster.now_s + lease_s
    while cluster.now_s < end_s:
        cluster.run_for(0.01, frozen=leader.name)
        assert cut_off.state.role is not Role.LEADER


def test_leader_without_a_quorum_steps_down() -> None:
    """An isolated leader must not go on accepting commands that it cannot commit."""
    cluster, leader = settled_cluster(3)
    cluster.isolate(leader.name)
    cluster.run_for(2 * TIMING.election_timeout_s)

    assert leader.state.role is not Role.LEADER


def test_leadership_transfer_ends_the_lease_before_another_instance_leads() -> None:
    """Guard against two leaders that both call themselves current.

    The old leader no longer hears from the others when its successor is elected.
    """
    cluster, leader = settled_cluster(3)
    cluster.step(leader, LeadershipTransferRequested())
    request = next(message for message in cluster.network if message.hand_over)
    cluster.isolate(leader.name)
    successor = cluster.instances[request.recipient.instance_id]
    cluster.step(successor, MessageReceived(message=request))
    cluster.run_to_quiescence()

    assert successor.state.role is Role.LEADER
    assert not leader.core.is_current(leader.clock_s(cluster.now_s))


def test_leadership_transfer_prefers_a_follower_that_still_answers() -> None:
    """A crashed follower can have the whole log too, but cannot take over."""
    for dead in (0, 1):
        cluster, leader = settled_cluster(3)
        lost = other_instances(cluster, leader)[dead]
        cluster.crash(lost.name)
        cluster.run_for(2 * TIMING.heartbeat_s)
        cluster.step(leader, LeadershipTransferRequested())
        request = next(message for message in cluster.network if message.hand_over)

        assert request.recipient.instance_id != lost.name


def test_leadership_transfer_request_of_an_earlier_term_is_ignored() -> None:
    """A delayed request must not depose a leader that was elected since."""
    cluster, leader = settled_cluster(3)
    cluster.step(leader, LeadershipTransferRequested())
    request = next(message for message in cluster.network if message.hand_over)
    target = cluster.instances[request.recipient.instance_id]
    late = TimeoutNow()
    cluster.receive(target, request.sender, request.term - 1, hand_over=late)

    assert target.state.role is Role.FOLLOWER


def test_leader_accepts_commands_again_after_a_failed_leadership_transfer() -> None:
    """Guard against a leader that rejects commands for ever.

    No follower has the whole log, so the transfer cannot complete.
    """
    cluster, leader = settled_cluster(3)
    for other in other_instances(cluster, leader):
        cluster.crash(other.name)
    cluster.propose(leader)
    cluster.step(leader, LeadershipTransferRequested())
    cluster.settle()
    leader = cluster.leader() or leader
    command = cluster.propose(leader)
    cluster.run_to_quiescence()

    assert leader.commands[-1][1] == command
