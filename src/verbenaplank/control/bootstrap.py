"""Fills an empty state with the initial document and registrar group."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING

from verbenaplank.configuration.commands import LoadDocument
from verbenaplank.configuration.commands import Origin
from verbenaplank.configuration.commands import Verdict
from verbenaplank.consensus.errors import NoQuorumError
from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import OperatorCommand
from verbenaplank.control.commands import decode_result
from verbenaplank.control.commands import encode
from verbenaplank.control.initial_document import INITIAL_DOCUMENT_COMMAND_ID
from verbenaplank.membership.commands import SetRegistrars
from verbenaplank.protocol.membership import Registrar

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.clock.sources import WallClock
    from verbenaplank.control.replication import ReplicatedLog
    from verbenaplank.control.state_machine import ControlStateMachine
    from verbenaplank.protocol.consensus import Replica
    from verbenaplank.settings.common import ControlPeer

REGISTRARS_PER_GROUP = 3
INITIAL_REGISTRARS_COMMAND_ID = "first-registrars"
PROPOSAL_TIMEOUT_S = 2.0
RETRY_S = 0.2
FORMATION_TIMEOUT_S = 2.0
FORMATION_PERIOD_S = 0.05

logger = logging.getLogger(__name__)


async def bootstrap(
    log: ReplicatedLog,
    machine: ControlStateMachine,
    document: LoadDocument | None,
    peers: Sequence[ControlPeer],
    wall_clock: WallClock,
) -> None:
    """Propose the initial registrar group and document unless the state has them.

    Proposals are retried until their outcome is known.  Without ``peers`` no registrar
    group is proposed, and jobs need no claims.  Every instance runs this; since
    all use the same command ids, only one of the proposals takes effect.
    """
    await _wait_for_voters(log, len(peers))
    while True:
        try:
            await log.read_barrier(PROPOSAL_TIMEOUT_S)
            if peers and machine.membership.registrars.transition.epoch == 0:
                origin = _origin(INITIAL_REGISTRARS_COMMAND_ID, wall_clock)
                registrars = choose_registrars(peers, log.members)
                change = SetRegistrars(expected_epoch=0, registrars=registrars)
                await _propose(log, OperatorCommand(origin=origin, registrars=change))
            if document is not None and machine.configuration.version == 0:
                origin = _origin(INITIAL_DOCUMENT_COMMAND_ID, wall_clock)
                await _propose(log, OperatorCommand(origin=origin, load=document))
        except (NoQuorumError, ProposalRejectedError, OutcomeUnknownError) as error:
            logger.info("initial state is not confirmed, retrying: %s", error)
            await asyncio.sleep(RETRY_S)
        else:
            return


async def _wait_for_voters(log: ReplicatedLog, count: int) -> None:
    """Wait until every instance is a voter, so that its storage id is known.

    Give up after ``FORMATION_TIMEOUT_S``.
    """
    with suppress(TimeoutError):
        async with asyncio.timeout(FORMATION_TIMEOUT_S):
            while len(log.members) < count:  # noqa: ASYNC110
                await asyncio.sleep(FORMATION_PERIOD_S)


def choose_registrars(
    peers: Sequence[ControlPeer], replicas: Sequence[Replica]
) -> tuple[Registrar, ...]:
    """Choose ``REGISTRARS_PER_GROUP`` registrars in as many data centres as possible.

    Instances of one data centre are chosen in the order of their ids.
    """
    ordered = sorted(peers, key=lambda peer: peer.instance_id)
    seen: Counter[str] = Counter()
    ranks: list[tuple[int, int]] = []
    for index, peer in enumerate(ordered):
        ranks.append((seen[peer.data_centre], index))
        seen[peer.data_centre] += 1
    chosen = [ordered[index] for _, index in sorted(ranks)[:REGISTRARS_PER_GROUP]]
    return build_registrars(chosen, replicas)


def build_registrars(
    peers: Sequence[ControlPeer], replicas: Sequence[Replica]
) -> tuple[Registrar, ...]:
    """Build registrars from control instances and their current storage ids.

    The storage id is empty for an instance that is not among ``replicas``.
    """
    storage_ids = {replica.instance_id: replica.incarnation for replica in replicas}
    return tuple(
        Registrar(
            instance_id=peer.instance_id,
            address=str(peer.address),
            data_centre=peer.data_centre,
            storage_id=storage_ids.get(peer.instance_id, ""),
        )
        for peer in peers
    )


def _origin(command_id: str, wall_clock: WallClock) -> Origin:
    return Origin(command_id=command_id, sent_at_ms=wall_clock(), administrator=True)


async def _propose(log: ReplicatedLog, command: OperatorCommand) -> None:
    data = encode(ControlCommand(operator=command))
    outcome = decode_result(await log.propose(data, PROPOSAL_TIMEOUT_S)).outcome
    if outcome is not None and outcome.verdict is Verdict.INVALID:
        findings = "; ".join(map(str, outcome.findings))
        logger.error("initial state was refused: %s: %s", outcome.detail, findings)
