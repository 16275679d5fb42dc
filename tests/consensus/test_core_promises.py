from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from tests.consensus.cluster import Cluster

from verbenaplank.consensus.events import HandOverAsked

if TYPE_CHECKING:
    from tests.consensus.cluster import Instance

SEEDS = st.integers(0, 2**32)
PICKS = st.integers(0, 4)


class ReplicatedLog(RuleBasedStateMachine):
    """Random faults between random schedules; the cluster checks each step."""

    cluster: Cluster

    @initialize(size=st.sampled_from([1, 3, 3, 5]), seed=SEEDS)
    def start(self, size: int, seed: int) -> None:
        self.cluster = Cluster(size, seed)
        self.cluster.settle()

    def _pick(self, number: int) -> Instance:
        return self.cluster.all[number % len(self.cluster.all)]

    @rule(steps=st.integers(50, 400))
    def run(self, steps: int) -> None:
        self.cluster.run(steps)

    @rule(number=PICKS)
    def crash(self, number: int) -> None:
        self.cluster.crash(self._pick(number).name)

    @precondition(lambda self: len(self.cluster.running) < len(self.cluster.all))
    @rule()
    def restart(self) -> None:
        for instance in self.cluster.all:
            if instance.core is None:
                self.cluster.start(instance.name)

    @rule(number=PICKS)
    def isolate(self, number: int) -> None:
        self.cluster.isolate(self._pick(number).name)

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

    @rule()
    def settle(self) -> None:
        self.cluster.settle()

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.settle()


TestReplicatedLog = ReplicatedLog.TestCase
TestReplicatedLog.settings = settings(max_examples=40, stateful_step_count=25)
