"""Definitions of gRPC methods, shared by their clients and servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

import attrs
from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from grpclib.client import StreamStreamMethod
from grpclib.client import UnaryUnaryMethod
from grpclib.const import Cardinality
from grpclib.const import Handler

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from grpclib.server import Stream as ServerStream

Request = TypeVar("Request")
Reply = TypeVar("Reply")


@attrs.frozen
class StreamMethod(Generic[Request, Reply]):
    """A bidirectional streaming method."""

    path: str
    request_type: type[Request]
    reply_type: type[Reply]

    def open(self, channel: Channel) -> ClientStream[Request, Reply]:
        """Return a new stream, to be used as an asynchronous context manager."""
        method = StreamStreamMethod(
            channel, self.path, self.request_type, self.reply_type
        )
        return method.open()

    def create_service(
        self, function: Callable[[ServerStream[Request, Reply]], Awaitable[None]]
    ) -> Service:
        """Return a service that handles each stream with ``function``."""
        return Service(
            {self.path: _create_handler(self, Cardinality.STREAM_STREAM, function)}
        )


@attrs.frozen
class UnaryMethod(Generic[Request, Reply]):
    """A unary method: one request and one reply, for calls that are rare."""

    path: str
    request_type: type[Request]
    reply_type: type[Reply]

    async def call(
        self, channel: Channel, request: Request, timeout_s: float | None = None
    ) -> Reply:
        """Send one request and return its reply.

        Raises
        ------
        GRPCError
            If the server rejected the request.
        OSError
            If the server is unreachable.
        TimeoutError
            If no reply came within ``timeout_s`` seconds.
        """
        method = UnaryUnaryMethod(
            channel, self.path, self.request_type, self.reply_type
        )
        return await method(request, timeout=timeout_s)

    def create_service(
        self, function: Callable[[Request], Awaitable[Reply]]
    ) -> Service:
        """Return a service that answers each request with ``function``."""

        async def handle_request(stream: ServerStream[Request, Reply]) -> None:
            request = await stream.recv_message()
            if request is None:
                return
            await stream.send_message(await function(request))

        return Service(
            {self.path: _create_handler(self, Cardinality.UNARY_UNARY, handle_request)}
        )


class Service:
    """Handlers by method path, in the form that a grpclib server takes."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self._handlers = handlers

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the handlers by method path; grpclib calls this."""
        return self._handlers


def _create_handler(
    method: StreamMethod[Any, Any] | UnaryMethod[Any, Any],
    cardinality: Cardinality,
    function: Callable[[ServerStream[Any, Any]], Awaitable[None]],
) -> Handler:
    return Handler(function, cardinality, method.request_type, method.reply_type)
