"""Runs this instance's registrar in the epochs that the replicated log defines."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
from typing import TYPE_CHECKING

from verbenaplank.claims.host import RegistrarHost
from verbenaplank.claims.registrar import RegistrarLimits
from verbenaplank.consensus.errors import NoQuorumError
from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import encode
from verbenaplank.membership.commands import EnterEpoch
from verbenaplank.rpc.services import CLAIM
from verbenaplank.storage.ceiling import SyncedCeiling

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from grpclib.server import Stream

    from verbenaplank.clock.sources import WallClock
    from verbenaplank.control.replication import ReplicatedLog
    from verbenaplank.control.replication import SharedReadBarrier
    from verbenaplank.control.state_machine import ControlStateMachine
    from verbenaplank.membership.registrars import RegistrarTransition
    from verbenaplank.protocol.claims import FromRegistrar
    from verbenaplank.protocol.claims import ToRegistrar
    from verbenaplank.rpc.method import Service
    from verbenaplank.settings.control import ControlSettings

    ClaimStream = Stream[ToRegistrar, FromRegistrar]

CEILING_FILE = "claims/ceiling"
PROPOSAL_TIMEOUT_S = 2.0
RETRY_S = 0.2
MS_PER_S = 1_000

logger = logging.getLogger(__name__)


class RegistrarRunner:
    """Runs the registrar once a quorum has confirmed the current registrar group."""

    def __init__(
        self,
        settings: ControlSettings,
        log: ReplicatedLog,
        machine: ControlStateMachine,
        barrier: SharedReadBarrier,
        wall_clock: WallClock,
    ) -> None:
        self._instance_id = settings.instance_id
        self._log = log
        self._machine = machine
        self._barrier = barrier
        self._wall_clock = wall_clock
        self._limits = RegistrarLimits(
            retention_ms=round(settings.claims.retention_s * MS_PER_S),
            max_clock_skew_ms=round(settings.claims.max_clock_skew_s * MS_PER_S),
        )
        self._ceiling_path = Path(settings.data_folder) / CEILING_FILE
        self._serve: Callable[[ClaimStream], Awaitable[None]] | None = None
        self._running = asyncio.Event()
        self._state_changed = asyncio.Event()
        self._reported_epoch = 0
        self._opened_epoch = 0

    def service(self) -> Service:
        """Return the RPC service through which entries claim job ids.

        A stream that opens before the registrar runs waits until it does.
        """
        return CLAIM.create_service(self._serve_when_running)

    def notify_state_changed(self) -> None:
        """Make :meth:`run` check the registrar group of the replicated state again."""
        self._state_changed.set()

    async def run(self) -> None:
        """Run the registrar and follow every group change until cancelled."""
        await self._wait_for_group()
        host = RegistrarHost(
            self._limits,
            SyncedCeiling(self._ceiling_path),
            self._wall_clock,
            first_start=self._has_never_granted(),
        )
        self._serve = host.service().__mapping__()[CLAIM.path].func
        async with host:
            self._running.set()
            while True:
                await self._enter_newest_epoch(host)
                await self._state_changed.wait()
                self._state_changed.clear()

    async def _serve_when_running(self, stream: ClaimStream) -> None:
        await self._running.wait()
        if self._serve is not None:
            await self._serve(stream)

    async def _wait_for_group(self) -> None:
        """Wait until the state has a registrar group and a quorum has confirmed it.

        A stale state could name an epoch that this instance had already left
        before it restarted.
        """
        while True:
            try:
                await self._barrier.wait()
            except NoQuorumError:
                await asyncio.sleep(RETRY_S)
                continue
            if self._transition.epoch > 0:
                return
            await self._state_changed.wait()
            self._state_changed.clear()

    @property
    def _transition(self) -> RegistrarTransition:
        return self._machine.membership.registrars.transition

    def _has_never_granted(self) -> bool:
        """Return whether it is certain that this instance never granted a claim.

        The ceiling file is synced before the first grant, so without that file
        nothing was granted, provided that the storage is the one that the
        instance had when it became a registrar.
        """
        if self._ceiling_path.exists() or self._transition.is_former_registrar(
            self._instance_id
        ):
            return False
        storage_id = self._log.replica.incarnation
        return any(
            registrar.instance_id == self._instance_id
            and registrar.storage_id == storage_id
            for registrar in self._transition.registrars
        )

    async def _enter_newest_epoch(self, host: RegistrarHost) -> None:
        """Enter the newest epoch, then open it or report that it was entered.

        The epoch is opened if the group is open.  Until then, a registrar of the
        former group reports that it no longer grants claims in earlier epochs.
        """
        transition = self._transition
        latest_grant_ms = host.registrar.enter_epoch(transition.epoch)
        if transition.is_open and self._opened_epoch < transition.epoch:
            await self._open(host, transition)
        elif not transition.is_open and self._reported_epoch < transition.epoch:
            await self._report_entered(transition, latest_grant_ms)

    async def _open(self, host: RegistrarHost, transition: RegistrarTransition) -> None:
        if not transition.is_registrar(self._instance_id):
            return
        is_new_member = not transition.is_former_registrar(self._instance_id)
        try:
            await host.open_epoch(
                transition.epoch,
                transition.latest_grant_ms,
                is_new_member=is_new_member,
            )
        except OSError as error:
            logger.warning(
                "registrar epoch %d was not opened, retrying: %s",
                transition.epoch,
                error,
            )
            self._schedule_retry()
        else:
            self._opened_epoch = transition.epoch

    async def _report_entered(
        self, transition: RegistrarTransition, latest_grant_ms: int
    ) -> None:
        """Propose the report that this instance no longer grants in earlier epochs."""
        if not transition.is_former_registrar(self._instance_id):
            return
        entered = EnterEpoch(
            epoch=transition.epoch,
            instance_id=self._instance_id,
            latest_grant_ms=latest_grant_ms,
        )
        try:
            command = encode(ControlCommand(enter=entered))
            await self._log.propose(command, PROPOSAL_TIMEOUT_S)
        except (ProposalRejectedError, OutcomeUnknownError) as error:
            logger.info(
                "entering registrar epoch %d was not confirmed, retrying: %s",
                transition.epoch,
                error,
            )
            self._schedule_retry()
        else:
            self._reported_epoch = transition.epoch

    def _schedule_retry(self) -> None:
        asyncio.get_running_loop().call_later(RETRY_S, self._state_changed.set)
