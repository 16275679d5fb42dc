"""gRPC servers and client channels, with mutual TLS if the settings configure it."""

from __future__ import annotations

import ssl
from contextlib import asynccontextmanager
from contextlib import contextmanager
from typing import TYPE_CHECKING
from weakref import WeakSet

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.server import Server

from verbenaplank.connections.client_connections import ClientConnections
from verbenaplank.connections.listener import ACCEPTED_TOGETHER
from verbenaplank.connections.listener import BACKLOG
from verbenaplank.connections.listener import open_listener
from verbenaplank.rpc.address import Address
from verbenaplank.rpc.codec import MessagePackCodec
from verbenaplank.rpc.data_frames import DataFrameProtocol
from verbenaplank.rpc.server_connection import ServerConnection
from verbenaplank.settings.clients import ClientSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator
    from collections.abc import Sequence

    from grpclib.protocol import H2Protocol

    from verbenaplank.rpc.method import Service
    from verbenaplank.settings.common import TlsSettings

KEEPALIVE_PERIOD_S = 1.5
KEEPALIVE_TIMEOUT_S = 1.5
"""Time that a keepalive ping may remain unanswered, in seconds.

Together with the period, it closes a connection that is silent for three seconds.
This detects a peer that vanished without closing the connection.
"""

WINDOW_BYTES = 8 * 1024 * 1024
CONFIGURATION = Configuration(
    _keepalive_time=KEEPALIVE_PERIOD_S,
    _keepalive_timeout=KEEPALIVE_TIMEOUT_S,
    _keepalive_permit_without_calls=True,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=KEEPALIVE_PERIOD_S / 2,
    http2_connection_window_size=WINDOW_BYTES,
    http2_stream_window_size=WINDOW_BYTES,
)


class _ClosingServer(Server):
    """A server that can close its connections.

    grpclib cancels the handlers of a closed server and sends nothing to their peers,
    which would notice only after their own timeouts if the process lives on.
    """

    def __init__(self, services: Sequence[Service], clients: ClientConnections) -> None:
        super().__init__(services, codec=MessagePackCodec(), config=CONFIGURATION)
        self._clients = clients
        self._protocols: WeakSet[H2Protocol] = WeakSet()

    def close_connections(self) -> None:
        """Close every open connection once its written data is sent."""
        for protocol in tuple(self._protocols):
            if hasattr(protocol, "connection"):
                protocol.connection.close()

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        protocol = ServerConnection(
            plain.handler, plain.config, plain.h2_config, self._clients
        )
        self._protocols.add(protocol)
        return protocol


class _Channel(Channel):
    """A channel whose connections receive data frames with less processor time."""

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return DataFrameProtocol(plain.handler, plain.config, plain.h2_config)


@asynccontextmanager
async def serve(
    services: Sequence[Service],
    address: Address,
    tls: TlsSettings | None = None,
    clients: ClientSettings | None = None,
) -> AsyncIterator[Address]:
    """Run a gRPC server at an address until the context is left.

    Parameters
    ----------
    clients
        Limits of the connections and of their memory; ``None`` for the defaults.

    Yields
    ------
    Address
        Address on which the server listens. A port of 0 is replaced by the port that
        the operating system chose.

    Raises
    ------
    OSError
        If the server cannot listen on the address.
    """
    server = _ClosingServer(services, ClientConnections(clients or ClientSettings()))
    context = _server_context(tls) if tls else None
    listener = open_listener(address)
    await server.start(sock=listener, ssl=context, backlog=ACCEPTED_TOGETHER)
    listener.listen(BACKLOG)
    try:
        yield Address(address.host, listener.getsockname()[1])
    finally:
        server.close()
        await server.wait_closed()
        server.close_connections()


@contextmanager
def open_channel(address: Address, tls: TlsSettings | None = None) -> Iterator[Channel]:
    """Create a channel, which is closed when the context is left.

    The channel connects when it is first used.
    """
    context = _client_context(tls) if tls else None
    channel = _Channel(
        address.host,
        address.port,
        codec=MessagePackCodec(),
        ssl=context,
        config=CONFIGURATION,
    )
    try:
        yield channel
    finally:
        channel.close()


def _server_context(tls: TlsSettings) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.verify_mode = ssl.CERT_REQUIRED
    return _with_certificates(context, tls)


def _client_context(tls: TlsSettings) -> ssl.SSLContext:
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    return _with_certificates(context, tls)


def _with_certificates(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    context.load_verify_locations(tls.authority_path)
    context.set_alpn_protocols(["h2"])
    return context
