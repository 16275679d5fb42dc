from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING

import attrs
import msgspec
from tests.consensus.safety_checks import MAX_DRIFT
from tests.consensus.safety_checks import TIMING
from tests.consensus.safety_checks import SafetyChecks
from tests.storage.fold import apply_write

from verbenaplank.consensus import effects
from verbenaplank.consensus import events
from verbenaplank.consensus.core import Core
from verbenaplank.consensus.state import Role
from verbenaplank.protocol.consensus import PeerMessage
from verbenaplank.protocol.consensus import StorageState
from verbenaplank.storage.model import Identity
from verbenaplank.storage.model import StoredState

if TYPE_CHECKING:
    from verbenaplank.consensus.membership_change import MembershipChange
    from verbenaplank.protocol.consensus import Replica
    from verbenaplank.storage.model import Write

SNAPSHOT_EVERY = 8
FAULTS = (
    *("crash", "crash", "restart_all", "restart_all", "isolate", "isolate", "cut"),
    *("heal", "heal", "hand_over", "lose_disk", "settle"),
)


class Disk:
    """Simulated storage of one instance; it survives a crash."""

    def __init__(self, name: str, incarnation: str) -> None:
        state = StorageState.EMPTY
        self.stored = StoredState(
            identity=Identity(instance_id=name, incarnation=incarnation, state=state)
        )

    def replace_damaged(self) -> None:
        """Become the storage that replaces damaged files."""
        state = StorageState.REJOINING
        self.stored = StoredState(
            identity=attrs.evolve(self.stored.identity, state=state)
        )


class Instance:
    """One simulated instance: its core, its disk and what it has applied."""

    def __init__(self, name: str, disk: Disk, source: random.Random) -> None:
        self.name = name
        self.disk = disk
        self.rate = 1.0 + source.uniform(-MAX_DRIFT, MAX_DRIFT)
        self.offset_s = source.uniform(0.0, 1_000.0)
        self.core: Core | None = None

    def reset(self) -> None:
        """Discard everything that a restart loses; the disk stays."""
        self.unsynced: deque[Write] = deque()
        self.deferred: deque[tuple[int, PeerMessage]] = deque()
        self.queued_sequence = 0
        self.commands: list[tuple[int, bytes]] = []
        self.applied_index = 0

    def clock_s(self, now_s: float) -> float:
        """Return the instance's own clock, which has an offset and drifts."""
        return self.offset_s + now_s * self.rate

    @property
    def state(self):
        return self.core.state


class Cluster(SafetyChecks):
    """Simulated cluster: cores, disks and a network, driven by one random source.

    Every step checks the safety properties of the replicated log.
    """

    def __init__(self, size: int, seed: int) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.names = tuple(f"control-{number}" for number in range(size))
        self.network: list[PeerMessage] = []
        self.cut: set[tuple[str, str]] = set()
        self.count = 0
        self.changes: list[MembershipChange] = []
        self.instances = {name: self._new_instance(name) for name in self.names}
        for name in self.names:
            self.start(name)

    def _new_instance(self, name: str) -> Instance:
        return Instance(name, self.new_disk(name), self.random)

    def new_disk(self, name: str) -> Disk:
        self.count += 1
        return Disk(name, f"incarnation-{self.count}")

    # Faults

    def start(self, name: str) -> None:
        instance = self.instances[name]
        instance.reset()
        now_s = instance.clock_s(self.now_s)
        source = random.Random(self.random.random())
        instance.core = Core(instance.disk.stored, self.names, TIMING, source, now_s)
        self._execute(instance, instance.core.start(now_s))

    def crash(self, name: str) -> None:
        instance = self.instances[name]
        instance.core = None
        self.pending = {key: at for key, at in self.pending.items() if key[0] != name}
        self.reads = {key: at for key, at in self.reads.items() if key[0] != name}

    def lose_disk(self, name: str) -> None:
        self.crash(name)
        self.instances[name].disk = self.new_disk(name)

    def can_lose_disk(self, name: str) -> bool:
        """Return whether all voter sets would keep a majority of intact disks."""
        intact = {item.disk.stored.identity.replica for item in self.all}
        intact.discard(self.instances[name].disk.stored.identity.replica)
        voters = [item.state.members for item in self.running if item.state.members]
        return bool(voters) and all(
            len(intact.intersection(members)) > len(members) // 2 for members in voters
        )

    def grow_to(self, size: int) -> None:
        """Restart all instances with settings that name further ones."""
        self.names = tuple(f"control-{number}" for number in range(size))
        for name in self.names:
            if name in self.instances:
                self.crash(name)
            else:
                self.instances[name] = self._new_instance(name)

    def isolate(self, name: str) -> None:
        """Cut the links to and from all other instances."""
        others = set(self.names) - {name}
        self.cut |= {(name, other) for other in others}
        self.cut |= {(other, name) for other in others}

    def cut_link(self, sender: str, recipient: str) -> None:
        """Drop all messages from one instance to another."""
        self.cut.add((sender, recipient))

    def heal(self) -> None:
        """Restore all links."""
        self.cut.clear()

    def leader(self) -> Instance | None:
        """Return the running leader of the highest term, if any."""
        leaders = [item for item in self.running if item.state.role is Role.LEADER]
        return max(leaders, key=lambda item: item.state.term, default=None)

    # Steps

    @property
    def all(self) -> list[Instance]:
        return list(self.instances.values())

    @property
    def running(self) -> list[Instance]:
        return [item for item in self.all if item.core is not None]

    def step(self, instance: Instance, event: events.Event) -> None:
        """Pass an event to the instance's core and check the safety properties."""
        now_s = instance.clock_s(self.now_s)
        self._execute(instance, instance.core.handle(event, now_s))
        self.check(instance)

    def pass_time(
        self, duration_s: float, skip_probability: float = 0.0, frozen: str = ""
    ) -> None:
        """Advance the time and fire the timers that are due.

        With ``skip_probability``, an instance does not notice that its timer is due;
        the instance ``frozen`` never does.
        """
        self.now_s += duration_s
        for instance in self.running:
            if instance.name == frozen:
                continue
            due_s = instance.core.next_due_s
            due = instance.clock_s(self.now_s) >= due_s
            if due and self.random.random() >= skip_probability:
                self.step(instance, events.TimerExpired())
            self.check(instance)

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver the message at a position; with ``keep``, deliver it again later."""
        message = self.network[position]
        if not keep:
            del self.network[position]
        sender, recipient = message.sender.instance_id, message.recipient.instance_id
        instance = self.instances.get(recipient)
        if (sender, recipient) in self.cut or not (instance and instance.core):
            return
        self.step(instance, events.MessageReceived(message=message))

    def receive(
        self, instance: Instance, sender: Replica, term: int = 0, **body: object
    ) -> None:
        """Deliver a new message, by default one of the receiver's own cluster."""
        body.setdefault("cluster_id", instance.state.identity.cluster_id)
        recipient = instance.state.replica
        message = PeerMessage(sender=sender, recipient=recipient, term=term, **body)
        self.step(instance, events.MessageReceived(message=message))

    def sync_all(self, instance: Instance) -> None:
        while instance.unsynced:
            self.sync(instance)

    def sync(self, instance: Instance) -> None:
        """Make the oldest write durable and send the messages that wait for it."""
        write = instance.unsynced.popleft()
        instance.disk.stored = apply_write(instance.disk.stored, write)
        while instance.deferred and instance.deferred[0][0] <= write.sequence:
            self.network.append(instance.deferred.popleft()[1])
        self.step(instance, events.WritesSynced(sequence=write.sequence))

    def propose(self, instance: Instance) -> bytes:
        """Propose a new command on an instance and return it."""
        self.count += 1
        command = b"%d" % self.count
        self.step(
            instance, events.CommandProposed(proposal_id=self.count, command=command)
        )
        return command

    def read(self, instance: Instance) -> None:
        """Start a read; it must include every command acknowledged so far."""
        self.count += 1
        self.reads[instance.name, self.count] = self.acknowledged[-1][1]
        self.step(instance, events.ReadStarted(read_id=self.count))

    def _execute(self, instance: Instance, effect_list: list[effects.Effect]) -> None:
        for effect in effect_list:
            match effect:
                case effects.Send(message=message, after_sync=True) if (
                    instance.unsynced
                ):
                    sequence = instance.queued_sequence
                    instance.deferred.append((sequence, message))
                case effects.Send(message=message):
                    self.network.append(message)
                case effects.Save(write=write):
                    instance.queued_sequence = write.sequence
                    instance.unsynced.append(write)
                case effects.Apply(entries=entries):
                    self.record_applied(instance, entries)
                case effects.Restore(snapshot=snapshot):
                    self.check_restored(instance, snapshot.index, snapshot.data)
                case effects.ProposalAppended(index=index, term=term):
                    self.pending[instance.name, index] = term
                case effects.MembershipProposed(change=change):
                    self.changes.append(change)
                case effects.ReadAnswered(read_id=read_id, index=index):
                    self.check_read(instance, read_id, index)
        self._take_snapshot_if_due(instance)

    def _take_snapshot_if_due(self, instance: Instance) -> None:
        due = instance.applied_index - instance.state.log.base_index
        if due >= SNAPSHOT_EVERY:
            data = msgspec.msgpack.encode(instance.commands)
            self.step(
                instance, events.SnapshotTaken(index=instance.applied_index, data=data)
            )

    # Schedules

    def random_fault(self) -> None:
        """Inject a random fault; the leader is chosen more often than others."""
        instance = self.random.choice([*self.all, self.leader() or self.all[0]])
        self.inject(self.random.choice(FAULTS), instance, self.random.choice(self.all))

    def inject(self, fault: str, instance: Instance, other: Instance) -> None:
        if fault == "cut":
            self.cut_link(instance.name, other.name)
        elif fault == "hand_over" and instance.core:
            self.step(instance, events.LeadershipTransferRequested())
        elif fault == "lose_disk" and self.can_lose_disk(instance.name):
            self.lose_disk(instance.name)
            self.start(instance.name)
        elif fault in ("crash", "isolate"):
            getattr(self, fault)(instance.name)
        elif fault in ("restart_all", "heal", "settle"):
            getattr(self, fault)()

    def restart_all(self) -> None:
        for instance in self.all:
            if instance.core is None:
                self.start(instance.name)

    def run(self, steps: int) -> None:
        """Perform random steps: messages, syncs, time, commands and reads."""
        for _ in range(steps):
            self._random_step()
        self.check_logs_match()

    def _random_step(self) -> None:
        if not self.running:
            return
        chance = self.random.random()
        instance = self.random.choice(self.running)
        if chance < 0.55:
            self._random_message()
        elif chance < 0.72:
            if instance.unsynced:
                self.sync(instance)
        elif chance < 0.84:
            self.pass_time(self.random.uniform(0.0, 0.1), skip_probability=0.2)
        elif chance < 0.94:
            self.propose(instance)
        else:
            self.read(instance)

    def _random_message(self) -> None:
        if not self.network:
            return
        late = self.random.random() < 0.3
        position = self.random.randrange(len(self.network)) if late else 0
        if self.random.random() < 0.05:
            del self.network[position]
        else:
            self.deliver(position, keep=self.random.random() < 0.1)

    def run_for(self, duration_s: float, frozen: str = "") -> None:
        """Run without further faults; the instance ``frozen`` fires no timers."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.pass_time(0.01, frozen=frozen)
            self.run_to_quiescence()

    def settle(self, duration_s: float = 20.0) -> None:
        """Run without faults until all instances agree."""
        self.heal()
        self.restart_all()
        end_s = self.now_s + duration_s
        while self.now_s < end_s and not self._settled():
            self.pass_time(0.01)
            self.run_to_quiescence()
        assert self._settled(), "the instances did not agree in time"
        self.check_logs_match()

    def run_to_quiescence(self) -> None:
        """Sync all writes and deliver all messages until none is left."""
        delivered = 0
        while self.network or any(item.unsynced for item in self.running):
            for instance in self.running:
                self.sync_all(instance)
            if self.network:
                self.deliver(0)
                delivered += 1
            assert delivered < 10_000, "the instances keep sending messages"

    def _settled(self) -> bool:
        replicas = {item.disk.stored.identity.replica for item in self.all}
        return all(
            set(item.state.members) == replicas
            and item.applied_index == max(self.committed, default=0)
            and item.core.is_current(item.clock_s(self.now_s))
            for item in self.all
        )


def settled_cluster(size: int, seed: int = 1) -> tuple[Cluster, Instance]:
    """Return a cluster whose instances agree, and its leader."""
    cluster = Cluster(size, seed)
    cluster.settle()
    leader = cluster.leader()
    assert leader is not None
    return cluster, leader


def other_instances(cluster: Cluster, instance: Instance) -> list[Instance]:
    return [item for item in cluster.all if item is not instance]
