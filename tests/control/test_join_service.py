from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import pytest
from control_helpers import DEADLINE_S
from control_helpers import agent
from fake_log import FakeLog
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from verbenaplank.configuration.commands import InitialSection
from verbenaplank.configuration.commands import LoadDocument
from verbenaplank.configuration.commands import Origin
from verbenaplank.control.commands import ControlCommand
from verbenaplank.control.commands import OperatorCommand
from verbenaplank.control.commands import encode
from verbenaplank.control.join_service import JoinService
from verbenaplank.control.join_session import SessionContext
from verbenaplank.control.quorum_monitor import QuorumMonitor
from verbenaplank.control.replication import SharedReadBarrier
from verbenaplank.control.state_machine import ControlStateMachine
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import Heartbeat
from verbenaplank.protocol.membership import ToControl
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import open_channel
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.services import JOIN

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from grpclib.client import Stream

    from verbenaplank.membership.renewals import Renewal

ANNOUNCEMENT = ToControl(member=agent(), heartbeat=Heartbeat(configuration_version=0))
SECTION = InitialSection(section="fixtures", team="fixtures", text="")
LOAD = encode(
    ControlCommand(
        operator=OperatorCommand(
            origin=Origin(command_id="c", sent_at_ms=0, administrator=True),
            load=LoadDocument(sections=(SECTION,)),
        )
    )
)


class JoinServiceHarness:
    """A join service on a log that the test controls."""

    def __init__(self, election_timeout_s: float = 0.0) -> None:
        self.machine = ControlStateMachine(lambda: self.service.schedule_updates())
        self.log = FakeLog(self.machine)
        self.quorum_monitor = QuorumMonitor(
            self.log, time.monotonic, election_timeout_s
        )
        self.forwarded: list[Renewal] = []
        self.service = JoinService(
            SessionContext(
                machine=self.machine,
                log=self.log,
                barrier=SharedReadBarrier(self.log, 1.0),
                lease_ms=1_000.0,
                heartbeat_ms=100.0,
                has_quorum=self.quorum_monitor.has_quorum,
                should_disconnect_members=self.quorum_monitor.should_disconnect_members,
                forward=self.forwarded.append,
            )
        )

    @asynccontextmanager
    async def stream(self) -> AsyncIterator[Stream[ToControl, FromControl]]:
        any_port = Address("127.0.0.1", 0)
        service = self.service.service()
        async with asyncio.timeout(DEADLINE_S), serve([service], any_port) as address:
            with open_channel(address) as channel:
                async with JOIN.open(channel) as stream:
                    yield stream
                    await stream.cancel()


async def test_first_message_includes_what_was_committed_elsewhere() -> None:
    """An instance that lags behind must not send stale state to a new member.

    It runs a read barrier before its first message.
    """
    harness = JoinServiceHarness()
    harness.log.committed_elsewhere.append(LOAD)
    async with harness.stream() as stream:
        await stream.send_message(ANNOUNCEMENT)
        first = await stream.recv_message()

    assert first is not None
    assert first.configuration is not None
    assert first.configuration.version == 1


@pytest.mark.parametrize("lost", ["barrier", "quorum"])
async def test_instance_without_a_quorum_accepts_no_member(lost: str) -> None:
    """The quorum can be lost before the read barrier or right after it."""
    harness = JoinServiceHarness(election_timeout_s=1_000.0)
    harness.log.barrier_succeeds = lost != "barrier"
    harness.log.current = lost != "quorum"
    async with harness.stream() as stream:
        await stream.send_message(ANNOUNCEMENT)

        assert await stream.recv_message() == FromControl(current=False)
        assert await stream.recv_message() is None


async def test_instance_that_loses_its_quorum_disconnects_its_members() -> None:
    """The member is told to move on and gets no state that is applied afterwards."""
    harness = JoinServiceHarness()
    async with harness.stream() as stream:
        await stream.send_message(ANNOUNCEMENT)
        await stream.recv_message()
        harness.log.current = False
        harness.machine.apply(0, LOAD)

        assert await stream.recv_message() == FromControl(current=False)


async def test_newer_incarnation_ends_the_stream_of_the_former_one() -> None:
    """Two incarnations of a member must not be served at the same time."""
    harness = JoinServiceHarness()
    with pytest.raises(GRPCError) as error:
        await _join_twice(harness)

    assert error.value.status is Status.ABORTED
    assert harness.machine.membership.members["agent-1"].incarnation == "b"


async def test_stream_without_a_member_announcement_is_refused() -> None:
    with pytest.raises(GRPCError, match="announces no member"):
        await _join_without_member(JoinServiceHarness())


async def _join_twice(harness: JoinServiceHarness) -> None:
    async with harness.stream() as former, harness.stream() as newer:
        await former.send_message(ANNOUNCEMENT)
        await former.recv_message()
        await newer.send_message(ToControl(member=agent(incarnation="b")))
        await newer.recv_message()
        await newer.cancel()
        await former.recv_message()


async def _join_without_member(harness: JoinServiceHarness) -> None:
    async with harness.stream() as stream:
        await stream.send_message(ToControl())
        await stream.recv_message()
