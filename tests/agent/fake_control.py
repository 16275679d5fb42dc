"""A control instance that tells its members what the test sets."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from verbenaplank.protocol.membership import ConfigurationUpdate
from verbenaplank.protocol.membership import EvacuationList
from verbenaplank.protocol.membership import FromControl
from verbenaplank.protocol.membership import LeaseGrant
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.endpoint import serve
from verbenaplank.rpc.services import JOIN

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from grpclib.server import Stream

    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.membership import ToControl

LEASE_MS = 60_000.0


class FakeControl:
    """Admits every member, once ``answers`` is set.

    Attributes
    ----------
    answers
        Whether joining members receive their first state.
    announced
        Every announcement of a member, in order.
    """

    def __init__(self) -> None:
        self.answers = asyncio.Event()
        self.answers.set()
        self.announced: list[Member] = []
        self.port = 0
        self._evacuations = EvacuationList()
        self._streams: set[Stream[ToControl, FromControl]] = set()

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[FakeControl]:
        service = JOIN.create_service(self._serve)
        async with serve([service], Address("127.0.0.1", 0), None) as address:
            self.port = address.port
            yield self

    async def evacuate(self, revision: int, *data_centres: str) -> None:
        """Put a list in force and send it to the members."""
        self._evacuations = EvacuationList(revision=revision, data_centres=data_centres)
        for stream in tuple(self._streams):
            await stream.send_message(FromControl(evacuations=self._evacuations))

    async def _serve(self, stream: Stream[ToControl, FromControl]) -> None:
        is_first = True
        try:
            async for message in stream:
                if message.member is not None:
                    self.announced.append(message.member)
                await self.answers.wait()
                await stream.send_message(self._answer(message, is_first=is_first))
                is_first = False
                self._streams.add(stream)
        finally:
            self._streams.discard(stream)

    def _answer(self, message: ToControl, *, is_first: bool) -> FromControl:
        number = 0 if message.heartbeat is None else message.heartbeat.number
        return FromControl(
            lease=LeaseGrant(lease_ms=LEASE_MS, number=number),
            configuration=ConfigurationUpdate(version=1) if is_first else None,
            evacuations=self._evacuations if is_first else None,
            left=message.leaving,
        )
