from __future__ import annotations

import random
from typing import TYPE_CHECKING

from tests.consensus.cluster import TIMING
from tests.consensus.cluster import Cluster

from verbenaplank.consensus import events
from verbenaplank.consensus.core import Core
from verbenaplank.consensus.node import LEAVE_ELECTION_TIMEOUTS
from verbenaplank.consensus.node import LEAVE_POLL_S
from verbenaplank.consensus.state import GroupRules
from verbenaplank.consensus.state import Role

if TYPE_CHECKING:
    from tests.consensus.cluster import Disk
    from tests.consensus.cluster import Instance

NAMED_INSTANCES = 3
LOSSES = 2
VOTERS = 2 * LOSSES + 1
ATTEMPTS = 20
STEPS_OF_ATTEMPT = 300
LONG_S = 40 * TIMING.election_timeout_s


class OpenCluster(Cluster):
    """Cluster whose instances know only three at their start; two disks may be lost.

    Attributes
    ----------
    named
        The instances that the settings name, for those that start from now on.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.started: set[str] = set()
        self.named = tuple(f"control-{number}" for number in range(NAMED_INSTANCES))
        super().__init__(size, seed)

    def start(self, name: str) -> None:
        """Start an instance; it may bootstrap a cluster only on its first start."""
        instance = self.instances[name]
        instance.reset()
        now_s = instance.clock_s(self.now_s)
        source = random.Random(self.random.random())
        rules = GroupRules(
            may_found=name not in self.started, open=True, tolerated_losses=LOSSES
        )
        self.started.add(name)
        stored = instance.disk.stored
        instance.core = Core(stored, self.named, TIMING, source, now_s, rules)
        self._execute(instance, instance.core.start(now_s))

    def add(self, name: str, disk: Disk | None = None) -> None:
        """Start an instance that is not running, by default a new one."""
        self.instances[name] = self._new_instance(name)
        if disk is not None:
            self.instances[name].disk = disk
        self.started.add(name)
        self.start(name)

    def remove(self, name: str) -> None:
        """End an instance for good."""
        self.crash(name)
        del self.instances[name]
        self.network = [m for m in self.network if m.recipient.instance_id != name]

    def leave(self, name: str) -> None:
        """Stop an instance as planned, and for good, as its node does."""
        instance = self.instances[name]
        if instance.state.role is Role.LEADER:
            self.step(instance, events.LeadershipTransferRequested())
            self.run_for(0.1)
        end_s = self.now_s + LEAVE_ELECTION_TIMEOUTS * TIMING.election_timeout_s
        while instance.state.leave_pending and self.now_s < end_s:
            self.step(instance, events.LeaveRequested())
            self.run_for(LEAVE_POLL_S)
        self.remove(name)

    def lose_power(self) -> None:
        """Stop all instances at once; writes that are not synced are lost."""
        for instance in self.all:
            self.crash(instance.name)
        self.network.clear()

    def run_until_acknowledged(self) -> None:
        """Run random steps until a command is acknowledged.

        Random steps send more messages than they deliver, so that a command which is
        not acknowledged soon never is. The cluster then settles and is sent another.
        """
        count = len(self.acknowledged)
        for _ in range(ATTEMPTS):
            self.settle()
            self.propose(leader_of(self))
            for _ in range(STEPS_OF_ATTEMPT):
                self.run(1)
                if len(self.acknowledged) > count:
                    return
        raise AssertionError("no command was acknowledged")

    def settled(self, seed: int = 1) -> OpenCluster:
        """Run until all instances agree and return the cluster."""
        self.settle()
        return self


def leader_of(cluster: OpenCluster) -> Instance:
    leader = cluster.leader()
    assert leader is not None
    return leader
