from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from tests.consensus.cluster import FAULTS
from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster

SEEDS = st.integers(0, 2**32)
PICKS = st.integers(0, 4)
SIZES = (3, 5, 3, 1)


class ReplicatedLog(RuleBasedStateMachine):
    """Random faults between random schedules; the cluster checks each step."""

    cluster: Cluster

    @initialize(size=st.sampled_from(SIZES), seed=SEEDS)
    def start(self, size: int, seed: int) -> None:
        self.cluster = Cluster(size, seed)
        self.cluster.settle()

    @rule(steps=st.integers(20, 150))
    def run(self, steps: int) -> None:
        self.cluster.run(steps)

    @rule(fault=st.sampled_from(FAULTS), number=PICKS, other=PICKS)
    def inject(self, fault: str, number: int, other: int) -> None:
        instances = self.cluster.all
        instance = instances[number % len(instances)]
        self.cluster.inject(fault, instance, instances[other % len(instances)])

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.settle()


TestReplicatedLog = ReplicatedLog.TestCase
TestReplicatedLog.settings = settings(max_examples=60, stateful_step_count=30)


@pytest.mark.parametrize("seed", range(48))
def test_safety_properties_hold_in_random_schedules(seed: int) -> None:
    """Guard against faults that only rare schedules of crashes and delays reveal.

    After the last fault, the cluster must still accept a command and apply it on all.
    """
    cluster = Cluster(SIZES[seed % len(SIZES)], seed)
    cluster.settle()
    for _ in range(40):
        cluster.random_fault()
        cluster.run(cluster.random.randint(20, 150))
    cluster.settle()

    command = cluster.propose(cluster.leader())
    cluster.run_for(2 * TIMING.heartbeat_s)
    assert all(item.commands[-1][1] == command for item in cluster.all)
