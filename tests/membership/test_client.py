from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from verbenaplank.membership.client import MembershipClient
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole

if TYPE_CHECKING:
    from verbenaplank.protocol.membership import FromControl
    from verbenaplank.protocol.membership import ToControl

MEMBER = Member(
    member_id="entry-1",
    role=MemberRole.ENTRY,
    incarnation="1",
    data_centre="Kochi",
    address="127.0.0.1:1",
)


class BlockedStream:
    """A stream whose second message is never sent and which its peer then closes."""

    def __init__(self) -> None:
        self.sent = 0
        self.blocked = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.release = asyncio.Event()

    async def send_message(self, message: ToControl) -> None:
        self.sent += 1
        if self.sent == 1:
            return
        self.blocked.set()
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled.set()
            await self.release.wait()

    async def recv_message(self) -> FromControl | None:
        await self.blocked.wait()
        return None


async def test_client_stops_while_its_stream_ends() -> None:
    """The client is closed just as a control instance has closed its stream.

    A lost cancellation would leave the client reconnecting forever.
    """
    client = MembershipClient(MEMBER, (), None, asyncio.get_running_loop().time)
    stream = BlockedStream()
    serving = asyncio.create_task(client._serve_stream(stream))  # type: ignore[arg-type]
    await asyncio.sleep(0)
    client.update(MEMBER)
    async with asyncio.timeout(10):
        await stream.cancelled.wait()

    serving.cancel()
    await asyncio.sleep(0)
    stream.release.set()
    async with asyncio.timeout(10):
        await asyncio.wait([serving])

    assert serving.cancelled()
