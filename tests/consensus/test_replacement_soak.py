"""Random replacements, restarts and lost disks, within the losses to be borne."""

from __future__ import annotations

import os

import pytest
from tests.consensus.open_cluster import LONG_S
from tests.consensus.open_cluster import LOSSES
from tests.consensus.open_cluster import NAMED_INSTANCES
from tests.consensus.open_cluster import VOTERS
from tests.consensus.open_cluster import OpenCluster
from tests.consensus.open_cluster import leader_of

CATCH_UP_S = 4.0
"""Time after its start, or its successor's, for which a machine counts as lost."""

SEEDS = int(os.environ.get("SOAK_SEEDS", "12"))
ROUNDS = 20
PAUSE_S = 3.0
"""Longest time between two faults."""


class Machines:
    """Inflicts faults on a cluster and counts the machines that are lost by them."""

    def __init__(self, seed: int) -> None:
        self.cluster = OpenCluster(VOTERS, seed).settled()
        self.random = self.cluster.random
        self.lost_until_s: dict[str, float] = {}
        self.count = VOTERS

    def may_lose_another(self) -> bool:
        now_s = self.cluster.now_s
        return sum(until_s > now_s for until_s in self.lost_until_s.values()) < LOSSES

    def choose(self) -> str:
        """Return a machine that is up and not lost, the leader more often."""
        now_s = self.cluster.now_s
        sound = [
            item.name
            for item in self.cluster.running
            if self.lost_until_s.get(item.name, 0.0) <= now_s
        ]
        leader = self.cluster.leader()
        if leader is not None and leader.name in sound and self.random.random() < 0.3:
            return leader.name
        return self.random.choice(sound)

    def add(self) -> None:
        self.count += 1
        running = [item.name for item in self.cluster.running]
        self.cluster.named = tuple(self.random.sample(running, NAMED_INSTANCES))
        self.cluster.add(f"control-{self.count}")

    def lose(self, name: str, duration_s: float) -> None:
        """Count a machine as lost until it has been back for the catch-up time."""
        self.lost_until_s[name] = self.cluster.now_s + duration_s + CATCH_UP_S

    def restart(self) -> None:
        name, duration_s = self.choose(), self.random.uniform(0.0, 2.0)
        self.lose(name, duration_s)
        self.cluster.crash(name)
        self.cluster.run_for(duration_s)
        self.cluster.start(name)

    def lose_disk(self) -> None:
        name = self.choose()
        self.lose(name, 0.0)
        self.cluster.lose_disk(name)
        self.cluster.start(name)

    def cut_off(self) -> None:
        name, duration_s = self.choose(), self.random.uniform(0.5, 4.0)
        self.lose(name, duration_s)
        others = {item.name for item in self.cluster.all} - {name}
        links = {(name, other) for other in others}
        links |= {(other, name) for other in others}
        if self.random.random() < 0.5:
            links = {link for link in links if link[0] == name}
        self.cluster.cut |= links
        self.cluster.run_for(duration_s)
        self.cluster.cut -= links

    def replace_killed(self) -> None:
        name, gap_s = self.choose(), self.random.uniform(0.0, 1.5)
        self.lose(name, gap_s)
        self.cluster.remove(name)
        self.cluster.run_for(gap_s)
        self.add()

    def replace_planned(self) -> None:
        self.add()
        self.cluster.run_for(CATCH_UP_S + self.random.uniform(0.0, 1.0))
        self.cluster.leave(self.choose())

    def stop_and_start(self) -> None:
        name = self.choose()
        disk = self.cluster.instances[name].disk
        self.lose(name, 3.0)
        self.cluster.leave(name)
        self.cluster.run_for(self.random.uniform(0.0, 1.0))
        self.cluster.add(name, disk)

    def strike(self) -> None:
        """Inflict a fault if it can be borne, and let some time pass."""
        if not self.may_lose_another() or len(self.cluster.running) < VOTERS:
            self.cluster.run_for(self.random.uniform(0.0, PAUSE_S))
            return
        faults = (
            self.restart,
            self.lose_disk,
            self.lose_disk,
            self.cut_off,
            self.replace_killed,
            self.replace_planned,
            self.stop_and_start,
        )
        self.random.choice(faults)()
        if self.random.random() < 0.6:
            self.cluster.run_for(self.random.uniform(0.0, PAUSE_S))
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.propose(leader)
            self.cluster.run_to_quiescence()


@pytest.mark.parametrize("seed", range(SEEDS))
def test_losses_that_are_to_be_borne_never_end_the_service(seed: int) -> None:
    """Guard against schedules of faults after which no quorum is ever found again."""
    machines = Machines(seed)
    for _ in range(ROUNDS):
        machines.strike()
    cluster = machines.cluster
    cluster.run_for(LONG_S)
    leader = leader_of(cluster)
    assert len(leader.state.members) == VOTERS
    count = len(cluster.acknowledged)
    cluster.propose(leader)
    cluster.run_to_quiescence()
    assert len(cluster.acknowledged) > count
