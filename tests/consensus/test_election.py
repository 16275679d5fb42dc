from __future__ import annotations

import pytest
from tests.consensus.cluster import MAX_DRIFT
from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import Instance
from tests.consensus.cluster import others_than
from tests.consensus.cluster import settled_cluster

from verbenaplank.consensus.events import HandOverAsked
from verbenaplank.consensus.events import MessageReceived
from verbenaplank.consensus.state import Role
from verbenaplank.protocol.consensus import TimeoutNow
from verbenaplank.protocol.consensus import VoteRequest

LONG_S = 20 * TIMING.election_timeout_s


def _ask_for_vote(cluster: Cluster, voter: Instance, candidate: Instance) -> None:
    """Let a candidate ask in a later term, with the leader's consent."""
    request = VoteRequest(last_index=1_000, last_term=1_000, hand_over=True)
    cluster.receive(voter, candidate.state.replica, 1_000, vote_request=request)


def _granted(cluster: Cluster) -> list[str]:
    return [
        message.recipient.instance_id
        for message in cluster.network
        if message.vote_reply and message.vote_reply.granted
    ]


def test_vote_is_sent_only_once_it_is_synced() -> None:
    cluster, leader = settled_cluster(3)
    voter, candidate = others_than(cluster, leader)

    _ask_for_vote(cluster, voter, candidate)
    assert _granted(cluster) == []
    cluster.sync_all(voter)

    assert _granted(cluster) == [candidate.name]


def test_vote_is_remembered_over_a_restart() -> None:
    cluster, leader = settled_cluster(3)
    voter, candidate = others_than(cluster, leader)
    _ask_for_vote(cluster, voter, candidate)
    cluster.sync_all(voter)
    cluster.crash(voter.name)
    cluster.start(voter.name)

    _ask_for_vote(cluster, voter, leader)
    cluster.sync_all(voter)

    assert _granted(cluster) == [candidate.name]


def test_follower_cut_off_from_the_leader_does_not_disturb_it() -> None:
    cluster, leader = settled_cluster(3)
    term = leader.state.term
    cut_off = others_than(cluster, leader)[0]
    cluster.cut_link(leader.name, cut_off.name)
    cluster.run_for(LONG_S)
    assert cut_off.state.role is Role.PRE_CANDIDATE
    cluster.settle()

    assert leader.state.role is Role.LEADER
    assert leader.state.term == term


@pytest.mark.parametrize("seed", range(8))
def test_lease_holds_while_the_only_other_voter_restarts(seed: int) -> None:
    """The cluster's own checks find a stale leader that calls itself current."""
    cluster, leader = settled_cluster(3, seed)
    voter, cut_off = others_than(cluster, leader)
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
    cluster, leader = settled_cluster(3)
    cluster.isolate(leader.name)
    cluster.run_for(2 * TIMING.election_timeout_s)

    assert leader.state.role is not Role.LEADER


def test_hand_over_ends_the_lease_before_another_leads() -> None:
    cluster, leader = settled_cluster(3)
    cluster.step(leader, HandOverAsked())
    request = next(message for message in cluster.network if message.hand_over)
    cluster.isolate(leader.name)
    successor = cluster.instances[request.recipient.instance_id]
    cluster.step(successor, MessageReceived(message=request))
    cluster.run_out()

    assert successor.state.role is Role.LEADER
    assert not leader.core.is_current(leader.clock_s(cluster.now_s))


def test_hand_over_prefers_a_follower_that_still_answers() -> None:
    for dead in (0, 1):
        cluster, leader = settled_cluster(3)
        lost = others_than(cluster, leader)[dead]
        cluster.crash(lost.name)
        cluster.run_for(2 * TIMING.heartbeat_s)
        cluster.step(leader, HandOverAsked())
        request = next(message for message in cluster.network if message.hand_over)

        assert request.recipient.instance_id != lost.name


def test_hand_over_request_of_an_earlier_term_is_ignored() -> None:
    cluster, leader = settled_cluster(3)
    cluster.step(leader, HandOverAsked())
    request = next(message for message in cluster.network if message.hand_over)
    target = cluster.instances[request.recipient.instance_id]
    late = TimeoutNow()
    cluster.receive(target, request.sender, request.term - 1, hand_over=late)

    assert target.state.role is Role.FOLLOWER


def test_leader_that_nobody_can_follow_resumes_after_a_hand_over() -> None:
    cluster, leader = settled_cluster(3)
    for other in others_than(cluster, leader):
        cluster.crash(other.name)
    cluster.propose(leader)
    cluster.step(leader, HandOverAsked())
    cluster.settle()
    leader = cluster.leader() or leader
    command = cluster.propose(leader)
    cluster.run_out()

    assert leader.commands[-1][1] == command
