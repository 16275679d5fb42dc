"""Orders, withdraws and reads evacuations of data centres for operators."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import decode_result
from verbenaplank.control.commands import encode
from verbenaplank.evacuation.commands import EvacuationOutcome
from verbenaplank.evacuation.commands import EvacuationVerdict
from verbenaplank.evacuation.commands import OrderEvacuation

if TYPE_CHECKING:
    from verbenaplank.clock.sources import WallClock
    from verbenaplank.configuration.commands import Origin
    from verbenaplank.control.replication import ReplicatedLog
    from verbenaplank.control.replication import SharedReadBarrier
    from verbenaplank.control.state_machine import ControlStateMachine
    from verbenaplank.protocol.membership import EvacuationList

ORDER_TIMEOUT_S = 4.5
"""Leaves half a second of the 5 s in which operators expect an answer."""

PROPOSAL_TIMEOUT_S = 1.5
"""Longer than an election, so that an order survives the loss of a leader."""

RETRY_PERIOD_S = 0.05
"""Pause after an order failed, so that an instance that stops does not spin."""

logger = logging.getLogger(__name__)


class EvacuationAdministration:
    """Evacuates data centres and ends that, each time confirmed by a quorum.

    Parameters
    ----------
    data_centres
        Names of the data centres in the settings of this instance.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        barrier: SharedReadBarrier,
        wall_clock: WallClock,
        data_centres: frozenset[str] = frozenset(),
    ) -> None:
        self._log = log
        self._machine = machine
        self._barrier = barrier
        self._wall_clock = wall_clock
        self._data_centres = data_centres

    @property
    def applied_list(self) -> EvacuationList:
        """The evacuated data centres as applied here, which may be out of date."""
        return self._machine.evacuations.list

    def known_data_centres(self) -> frozenset[str]:
        """Return the data centres that may be evacuated or whose evacuation may end.

        These are the ones that a member, a setting of this instance or an evacuation
        names.
        """
        members = self._machine.membership.members.values()
        used = {member.data_centre for member in members}
        return self._data_centres | used | set(self.applied_list.data_centres)

    async def order(
        self, data_centre: str, *, evacuated: bool, origin: Origin | None = None
    ) -> EvacuationOutcome:
        """Evacuate a data centre, or end its evacuation.

        Parameters
        ----------
        origin
            The authenticated sender; ``None`` on an interface without tokens.

        Raises
        ------
        ProposalRejectedError
            If the order is certain to have no effect.
        OutcomeUnknownError
            If the order may take effect; sending it again is safe.
        """
        fields = {"data_centre": data_centre, "evacuated": evacuated}
        try:
            outcome = await self._replicate(data_centre, evacuated, origin)
        except (ProposalRejectedError, OutcomeUnknownError) as error:
            logger.warning(
                "evacuation order not confirmed", extra={**fields, "cause": str(error)}
            )
            raise
        logger.info(
            "evacuation order processed",
            extra={
                **fields,
                "outcome": outcome.verdict,
                "revision": outcome.revision,
            },
        )
        return outcome

    async def current_list(self) -> EvacuationList:
        """Return the evacuated data centres.

        Raises
        ------
        NoQuorumError
            If no quorum confirmed in time that this instance is up to date.
        """
        await self._barrier.wait()
        return self.applied_list

    async def _replicate(
        self, data_centre: str, evacuated: bool, origin: Origin | None
    ) -> EvacuationOutcome:
        """Propose an order until its outcome is known and it is not stale.

        Repetition is safe: a copy of the order that takes effect late, after another
        order, is stale.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + ORDER_TIMEOUT_S
        failure: ProposalRejectedError | OutcomeUnknownError = ProposalRejectedError(
            "other orders changed the list before each attempt"
        )
        while (remaining_s := deadline_s - loop.time()) > 0:
            order = OrderEvacuation(
                data_centre=data_centre,
                evacuated=evacuated,
                seen_revision=self._machine.evacuations.revision,
                origin=origin,
                sent_at_ms=self._wall_clock(),
            )
            data = encode(ControlCommand(evacuation=order))
            try:
                result = await self._log.propose(
                    data, min(remaining_s, PROPOSAL_TIMEOUT_S)
                )
            except OutcomeUnknownError as error:
                failure = error
                await asyncio.sleep(RETRY_PERIOD_S)
            except ProposalRejectedError as error:
                # A rejection is final only if no earlier copy may take effect.
                if not isinstance(failure, OutcomeUnknownError):
                    failure = error
                await asyncio.sleep(RETRY_PERIOD_S)
            else:
                outcome = _outcome(result)
                if outcome.verdict is not EvacuationVerdict.STALE:
                    return outcome
        raise failure


def _outcome(result: bytes) -> EvacuationOutcome:
    outcome = decode_result(result).evacuation
    if outcome is None:
        raise OutcomeUnknownError("the leader's release does not know evacuations")
    return outcome
