from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster

from verbenaplank.consensus.events import HandOverAsked

if TYPE_CHECKING:
    from tests.consensus.cluster import Instance

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

    def _pick(self, number: int) -> Instance:
        return self.cluster.all[number % len(self.cluster.all)]

    @rule(steps=st.integers(20, 150))
    def run(self, steps: int) -> None:
        self.cluster.run(steps)

    @rule(number=PICKS)
    def crash(self, number: int) -> None:
        self.cluster.crash(self._pick(number).name)

    @rule()
    def restart(self) -> None:
        self.cluster.restart_all()

    @rule(number=PICKS)
    def isolate(self, number: int) -> None:
        self.cluster.isolate(self._pick(number).name)

    @rule(sender=PICKS, recipient=PICKS)
    def cut_link(self, sender: int, recipient: int) -> None:
        self.cluster.cut_link(self._pick(sender).name, self._pick(recipient).name)

    @rule()
    def heal(self) -> None:
        self.cluster.heal()

    @rule(number=PICKS)
    def lose_disk(self, number: int) -> None:
        name = self._pick(number).name
        if self.cluster.may_lose_disk(name):
            self.cluster.lose_disk(name)
            self.cluster.start(name)

    @rule(number=PICKS)
    def hand_over(self, number: int) -> None:
        instance = self._pick(number)
        if instance.core is not None:
            self.cluster.step(instance, HandOverAsked())

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.settle()


TestReplicatedLog = ReplicatedLog.TestCase
TestReplicatedLog.settings = settings(max_examples=60, stateful_step_count=30)


@pytest.mark.parametrize("seed", range(48))
def test_random_schedule_keeps_every_promise(seed: int) -> None:
    cluster = Cluster(SIZES[seed % len(SIZES)], seed)
    cluster.settle()
    for _ in range(40):
        cluster.random_fault()
        cluster.run(cluster.random.randint(20, 150))
    cluster.settle()

    command = cluster.propose(cluster.leader())
    cluster.run_for(2 * TIMING.heartbeat_s)
    assert all(item.commands[-1][1] == command for item in cluster.all)
