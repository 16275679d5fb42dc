"""Groups that grow from a few named instances to twice the losses plus one."""

from __future__ import annotations

import random

import pytest
from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster
from tests.consensus.cluster import Instance
from tests.consensus.cluster import others_than

from verbenaplank.consensus.core import Core
from verbenaplank.consensus.state import GroupRules

SEEDS = 3
LOSSES = 2
VOTERS = 2 * LOSSES + 1
LONG_S = 40 * TIMING.election_timeout_s


class OpenCluster(Cluster):
    """Instances that know only the first three; disks may be lost in pairs."""

    def __init__(self, size: int, seed: int) -> None:
        self.started: set[str] = set()
        super().__init__(size, seed)

    def start(self, name: str) -> None:
        instance = self.instances[name]
        instance.clear()
        now_s = instance.clock_s(self.now_s)
        source = random.Random(self.random.random())
        rules = GroupRules(
            may_found=name not in self.started, open=True, tolerated_losses=LOSSES
        )
        self.started.add(name)
        stored, seeds = instance.disk.stored, self.names[:SEEDS]
        instance.core = Core(stored, seeds, TIMING, source, now_s, rules)
        self._perform(instance, instance.core.start(now_s))

    def add(self, name: str) -> None:
        """Start a machine that nobody has heard of."""
        self.instances[name] = self._new_instance(name)
        self.started.add(name)
        self.start(name)

    def lose_power(self) -> None:
        """Stop everything; what is not synced is gone."""
        for instance in self.all:
            self.crash(instance.name)
        self.network.clear()

    def grown(self, seed: int = 1) -> OpenCluster:
        self.settle()
        return self


def leader_of(cluster: OpenCluster) -> Instance:
    leader = cluster.leader()
    assert leader is not None
    return leader


@pytest.mark.parametrize("seed", range(10))
def test_seeds_found_a_group_that_takes_the_others_in(seed: int) -> None:
    cluster = OpenCluster(VOTERS, seed).grown()
    assert len(leader_of(cluster).state.members) == VOTERS


def test_group_that_still_grows_acknowledges_only_with_all_its_voters() -> None:
    """A majority of three would be two, which may both be lost."""
    cluster = OpenCluster(SEEDS, 1)
    cluster.run_for(LONG_S)
    leader = leader_of(cluster)
    cluster.isolate(others_than(cluster, leader)[0].name)
    count = len(cluster.acknowledged)
    cluster.propose(leader)
    cluster.run_out()
    assert len(cluster.acknowledged) == count


@pytest.mark.parametrize("seed", range(20))
def test_two_disks_and_all_power_lost_after_an_acknowledgement(seed: int) -> None:
    cluster = OpenCluster(VOTERS, seed).grown()
    leader = leader_of(cluster)
    count = len(cluster.acknowledged)
    cluster.propose(leader)
    while len(cluster.acknowledged) == count:
        cluster.run(1)
    lost = cluster.random.sample(cluster.all, LOSSES)
    cluster.lose_power()
    for instance in lost:
        cluster.lose_disk(instance.name)
    cluster.settle(LONG_S)
    assert len(leader_of(cluster).state.members) == VOTERS


def test_two_disks_lost_with_the_leader_among_them() -> None:
    cluster = OpenCluster(VOTERS, 3).grown()
    leader = leader_of(cluster)
    for instance in (leader, others_than(cluster, leader)[0]):
        cluster.lose_disk(instance.name)
        cluster.start(instance.name)
    cluster.settle(LONG_S)


def test_instance_that_is_gone_for_good_is_replaced_at_another_address() -> None:
    cluster = OpenCluster(VOTERS, 2).grown()
    gone = others_than(cluster, leader_of(cluster))[0]
    cluster.crash(gone.name)
    cluster.add("control-9")
    cluster.run_for(LONG_S)
    members = {member.instance_id for member in leader_of(cluster).state.members}
    assert gone.name not in members
    assert "control-9" in members
    assert len(members) == VOTERS


def test_surplus_instance_stays_a_learner_and_is_current() -> None:
    cluster = OpenCluster(VOTERS, 2).grown()
    cluster.add("control-9")
    cluster.run_for(LONG_S)
    newcomer = cluster.instances["control-9"]
    assert len(newcomer.state.members) == VOTERS
    assert newcomer.state.replica not in newcomer.state.members
    assert newcomer.core.is_current(newcomer.clock_s(cluster.now_s))


def test_instance_with_an_empty_disk_founds_nothing_later() -> None:
    cluster = OpenCluster(VOTERS, 4).grown()
    for instance in cluster.all:
        cluster.lose_disk(instance.name)
        cluster.start(instance.name)
    cluster.run_for(LONG_S)
    assert cluster.leader() is None


@pytest.mark.parametrize("seed", range(30))
def test_promises_hold_under_random_faults(seed: int) -> None:
    cluster = OpenCluster(VOTERS, 1_000 + seed)
    cluster.settle()
    for _ in range(12):
        cluster.run(120)
        cluster.random_fault()
    cluster.settle(LONG_S)
