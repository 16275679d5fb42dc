"""The gRPC service of a registrar."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.protocol.claims import FromRegistrar
from verbenaplank.protocol.claims import ToRegistrar
from verbenaplank.rpc.services import CLAIM

if TYPE_CHECKING:
    from grpclib.server import Stream

    from verbenaplank.claims.registrar import Registrar
    from verbenaplank.clock.sources import WallClock
    from verbenaplank.rpc.method import Service


def registrar_service(registrar: Registrar, wall_clock_ms: WallClock) -> Service:
    """Return the service through which entries claim identifiers."""

    async def answer(stream: Stream[ToRegistrar, FromRegistrar]) -> None:
        releases_handled = 0
        async for message in stream:
            now_ms = wall_clock_ms()
            for release in message.releases:
                registrar.release(release, now_ms)
            releases_handled += len(message.releases)
            replies = tuple(registrar.claim(claim, now_ms) for claim in message.claims)
            lookup_replies = tuple(
                registrar.look_up(lookup, now_ms) for lookup in message.lookups
            )
            await stream.send_message(
                FromRegistrar(
                    replies=replies,
                    releases_handled=releases_handled,
                    lookup_replies=lookup_replies,
                )
            )

    return CLAIM.create_service(answer)
