from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.consensus.errors import NoQuorumError
from verbenaplank.protocol.consensus import Replica

if TYPE_CHECKING:
    from verbenaplank.control.state_machine import ControlStateMachine
    from verbenaplank.rpc.method import Service


class FakeLog:
    """A log with one replica whose leadership, delays and lag the test controls.

    Attributes
    ----------
    current
        Whether a quorum backs the instance, as ``is_current`` reports it.
    barrier_succeeds
        Whether a read barrier finds a quorum.
    committed_elsewhere
        Committed commands that the next read barrier applies.
    accepting
        Proposals wait until this event is set.
    """

    def __init__(self, machine: ControlStateMachine) -> None:
        self._machine = machine
        self.is_leader = True
        self.leader_id: str | None = "control-1"
        self.term = 1
        self.commit_index = 0
        self.replica = Replica(instance_id="control-1")
        self.members = (self.replica,)
        self.current = True
        self.barrier_succeeds = True
        self.committed_elsewhere: list[bytes] = []
        self.accepting = asyncio.Event()
        self.accepting.set()

    def services(self) -> list[Service]:
        return []

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        del timeout_s
        await self.accepting.wait()
        return self._machine.apply(0, command)

    async def read_barrier(self, timeout_s: float) -> None:
        del timeout_s
        if not self.barrier_succeeds:
            raise NoQuorumError("no quorum")
        while self.committed_elsewhere:
            self._machine.apply(0, self.committed_elsewhere.pop(0))

    def is_current(self, now_s: float) -> bool:
        del now_s
        return self.current

    async def transfer_leadership(self) -> None:
        self.is_leader = False
