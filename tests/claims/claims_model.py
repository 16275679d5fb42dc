"""Simulation of registrars, claimants and a faulty network, without I/O."""

from __future__ import annotations

import random
from uuid import UUID

import attrs

from verbenaplank.claims.claimant import ClaimantIdentity
from verbenaplank.claims.claimant import ClaimAttempts
from verbenaplank.claims.claimant import Retry
from verbenaplank.claims.decision import ClaimDecision
from verbenaplank.claims.decision import ClaimState
from verbenaplank.claims.registrar import NO_CEILING_MS
from verbenaplank.claims.registrar import Registrar
from verbenaplank.claims.registrar import RegistrarLimits
from verbenaplank.claims.registrar import initial_abstain_until_ms
from verbenaplank.protocol.claims import Claim
from verbenaplank.protocol.claims import ClaimRelease
from verbenaplank.protocol.claims import ClaimReply
from verbenaplank.protocol.claims import Lookup
from verbenaplank.protocol.claims import LookupReply
from verbenaplank.protocol.membership import Registrar as RegistrarAddress
from verbenaplank.protocol.membership import RegistrarGroup

LIMITS = RegistrarLimits(retention_ms=60_000, max_clock_skew_ms=1_000)
START_MS = 1_000_000_000_000
CEILING_LEAD_MS = 1_500
DIGEST = b"digest"


def job_id_at(timestamp_ms: int, number: int) -> str:
    """Return an identifier of version 7 with a chosen timestamp."""
    return str(UUID(int=timestamp_ms << 80 | 7 << 76 | 2 << 62 | number))


@attrs.define
class Node:
    """A simulated registrar process with its synced ceiling and its own clock."""

    name: str
    registrar: Registrar
    has_disk: bool
    ceiling_ms: int = 0
    clock_offset_ms: int = 0
    is_up: bool = True


@attrs.frozen
class ToNode:
    node: str
    sender: int
    body: Claim | ClaimRelease


@attrs.frozen
class ToClaimant:
    node: str
    claimant: int
    reply: ClaimReply


@attrs.define
class ClaimantProcess:
    """One claim of one entry incarnation."""

    number: int
    identity: ClaimantIdentity
    job_id: str
    attempts: ClaimAttempts
    attempt_number: int = 0
    waits_to_retry: bool = False
    decision: ClaimDecision | None = None


class ClaimsModel:
    """A registrar group with its claimants; the test decides what is delivered.

    ``winners`` holds the numbers of the claimants that became the owner of each
    identifier, of which there must be at most one.
    """

    def __init__(self, names: tuple[str, ...], *, has_disk: bool, seed: int) -> None:
        self.now_ms = START_MS
        self.random = random.Random(seed)
        self.network: list[ToNode | ToClaimant] = []
        self.claimants: list[ClaimantProcess] = []
        self.winners: dict[str, set[int]] = {}
        self.nodes = {name: self._new_node(name, has_disk) for name in names}
        self.epoch = 0
        self.group = self._group(names)
        self._open(names, latest_grant_ms=0, new_members=())

    def start_claim(self, job_id: str) -> ClaimantProcess:
        """Start the claim of an identifier by a new entry."""
        number = len(self.claimants)
        identity = ClaimantIdentity(
            entry_id=f"e{number}", incarnation="1", address=f"e{number}:1"
        )
        attempts = ClaimAttempts(identity, job_id, DIGEST, self.random)
        process = ClaimantProcess(number, identity, job_id, attempts)
        self.claimants.append(process)
        self.start_attempt(process)
        return process

    def give_up(self, process: ClaimantProcess) -> None:
        """End a claim because its time has run out."""
        if process.decision is None:
            self._release(process)
            process.decision = process.attempts.timeout_decision()

    def deliver(self, position: int) -> None:
        """Deliver one message out of order."""
        message = self.network.pop(position % len(self.network))
        if isinstance(message, ToClaimant):
            self._deliver_reply(message)
        elif self.nodes[message.node].is_up:
            self._deliver_request(message)

    def round_trip(self, process: ClaimantProcess, name: str) -> None:
        """Deliver what a claimant has sent to a node, and the node's replies."""
        sent = [
            message
            for message in self.network
            if isinstance(message, ToNode)
            and (message.node, message.sender) == (name, process.number)
        ]
        for request in sent:
            self.deliver(self.network.index(request))
        replies = [
            message
            for message in self.network
            if isinstance(message, ToClaimant)
            and (message.node, message.claimant) == (name, process.number)
        ]
        for reply in replies:
            self.deliver(self.network.index(reply))

    def duplicate(self, position: int) -> None:
        self.network.append(self.network[position % len(self.network)])

    def drop(self, position: int) -> None:
        self.network.pop(position % len(self.network))

    def advance(self, step_ms: int) -> None:
        """Advance the time; nodes with a disk raise their ceilings ahead of it."""
        self.now_ms += step_ms
        for node in self.nodes.values():
            if node.has_disk:
                due_ms = self._node_time_ms(node) + CEILING_LEAD_MS
                node.ceiling_ms = max(node.ceiling_ms, due_ms)
                node.registrar.raise_ceiling(node.ceiling_ms)

    def restart(self, name: str, clock_step_ms: int) -> None:
        """Restart a registrar with empty memory and a clock that has moved."""
        node = self.nodes[name]
        node.clock_offset_ms += clock_step_ms
        node.registrar = self._new_registrar(node)
        node.registrar.enter_epoch(self.epoch)
        node.registrar.open_epoch(self.epoch, 0, is_new_member=False)

    def replace(self, lost: str, added: str, clock_offset_ms: int) -> None:
        """Change the group: a new member replaces one that is cut off.

        The replaced one still answers claims of the epoch that it knows.
        """
        has_disk = self.nodes[lost].has_disk
        node = self.nodes[added] = self._new_node(added, has_disk, clock_offset_ms)
        remaining = tuple(
            each.instance_id
            for each in self.group.registrars
            if each.instance_id != lost
        )
        self.group = self._group((*remaining, added))
        latest_ms = max(
            self.nodes[name].registrar.enter_epoch(self.epoch) for name in remaining
        )
        if has_disk:
            node.ceiling_ms = max(node.ceiling_ms, latest_ms)
            node.registrar.raise_ceiling(node.ceiling_ms)
        self._open((*remaining, added), latest_ms, new_members=(added,))

    def look_up(self, name: str, lookup: Lookup) -> LookupReply:
        """Return a node's answer to a lookup that reaches it now."""
        node = self.nodes[name]
        return node.registrar.look_up(lookup, self._node_time_ms(node))

    def react(self, process: ClaimantProcess) -> None:
        """Let a claimant act on the replies that it has received."""
        if process.decision is not None or process.waits_to_retry:
            return
        outcome = process.attempts.outcome()
        if outcome is None:
            return
        if isinstance(outcome, Retry):
            self._release(process)
            process.waits_to_retry = True
            self.retry(process, outcome.delay_s)
            return
        process.decision = outcome
        if outcome.state is ClaimState.OWNED_HERE:
            self.winners.setdefault(process.job_id, set()).add(process.number)
        else:
            self._release(process)

    def retry(self, process: ClaimantProcess, delay_s: float) -> None:
        """Start the next attempt; this model ignores the delay."""
        self.start_attempt(process)

    def mark_unreachable(self, process: ClaimantProcess, name: str) -> None:
        process.attempts.on_unreachable(name)
        self.react(process)

    def start_attempt(self, process: ClaimantProcess) -> None:
        process.attempt_number += 1
        process.waits_to_retry = False
        reachable = [name for name, node in self.nodes.items() if node.is_up]
        claim = process.attempts.start_attempt(
            process.attempt_number, self.group, reachable
        )
        self._send(process, claim)

    def _release(self, process: ClaimantProcess) -> None:
        self._send(process, process.attempts.release_message())

    def _send(self, process: ClaimantProcess, body: Claim | ClaimRelease) -> None:
        self.network.extend(
            ToNode(name, process.number, body)
            for name in sorted(process.attempts.recipients)
        )

    def _deliver_request(self, message: ToNode) -> None:
        node = self.nodes[message.node]
        now_ms = self._node_time_ms(node)
        if isinstance(message.body, ClaimRelease):
            node.registrar.release(message.body, now_ms)
            return
        reply = node.registrar.claim(message.body, now_ms)
        self.network.append(ToClaimant(message.node, message.sender, reply))

    def _deliver_reply(self, message: ToClaimant) -> None:
        process = self.claimants[message.claimant]
        process.attempts.on_reply(message.node, message.reply)
        self.react(process)

    def _group(self, names: tuple[str, ...]) -> RegistrarGroup:
        self.epoch += 1
        addresses = tuple(
            RegistrarAddress(instance_id=name, address=f"{name}:1", data_centre="d")
            for name in names
        )
        return RegistrarGroup(epoch=self.epoch, registrars=addresses)

    def _open(
        self, names: tuple[str, ...], latest_grant_ms: int, new_members: tuple[str, ...]
    ) -> None:
        for name in names:
            registrar = self.nodes[name].registrar
            registrar.enter_epoch(self.epoch)
            registrar.open_epoch(
                self.epoch, latest_grant_ms, is_new_member=name in new_members
            )

    def _new_node(self, name: str, has_disk: bool, clock_offset_ms: int = 0) -> Node:
        ceiling_ms = self.now_ms + clock_offset_ms + CEILING_LEAD_MS
        first = Registrar(
            LIMITS,
            abstain_until_ms=0,
            ceiling_ms=ceiling_ms if has_disk else NO_CEILING_MS,
        )
        return Node(name, first, has_disk, ceiling_ms, clock_offset_ms)

    def _new_registrar(self, node: Node) -> Registrar:
        synced_ms = node.ceiling_ms if node.has_disk else None
        now_ms = self._node_time_ms(node)
        abstain_until_ms = initial_abstain_until_ms(synced_ms, now_ms, LIMITS)
        ceiling_ms = node.ceiling_ms if node.has_disk else NO_CEILING_MS
        return Registrar(
            LIMITS, abstain_until_ms=abstain_until_ms, ceiling_ms=ceiling_ms
        )

    def _node_time_ms(self, node: Node) -> int:
        return self.now_ms + node.clock_offset_ms
