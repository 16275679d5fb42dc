"""Replaces and reads the routing document for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import decode_result
from verbenaplank.control.commands import encode
from verbenaplank.routing.state import ReplaceRouting
from verbenaplank.routing.state import RoutingVerdict

if TYPE_CHECKING:
    from verbenaplank.clock.sources import WallClock
    from verbenaplank.control.replication import ReplicatedLog
    from verbenaplank.control.replication import SharedReadBarrier
    from verbenaplank.control.state_machine import ControlStateMachine
    from verbenaplank.routing.table import RoutingDocument

PROPOSAL_TIMEOUT_S = 3.0
"""Longer than an election, so that a replacement survives the loss of a leader."""


class RoutingAdministration:
    """Replaces and reads the routing document, each time confirmed by a quorum."""

    def __init__(
        self,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        barrier: SharedReadBarrier,
        wall_clock: WallClock,
    ) -> None:
        self._log = log
        self._machine = machine
        self._barrier = barrier
        self._wall_clock = wall_clock

    async def replace(self, document: RoutingDocument) -> RoutingVerdict:
        """Replace the routing document by one with a higher version.

        Return the verdict on the replacement.  The document must be validated.

        Raises
        ------
        CommandTooLargeError
            If the document is larger than the replicated log accepts.
        ProposalRejectedError
            If the replacement is certain to have no effect.
        OutcomeUnknownError
            If the replacement may take effect; sending it again is safe.
        """
        command = ReplaceRouting(document=document, sent_at_ms=self._wall_clock())
        data = encode(ControlCommand(routing=command))
        result = decode_result(await self._log.propose(data, PROPOSAL_TIMEOUT_S))
        return result.routing or RoutingVerdict.CONFLICT

    async def current_document(self) -> RoutingDocument | None:
        """Return the document in force, or ``None`` if there is none yet.

        Raises
        ------
        NoQuorumError
            If no quorum confirmed in time that this instance is up to date.
        """
        await self._barrier.wait()
        return self._machine.routing.document
