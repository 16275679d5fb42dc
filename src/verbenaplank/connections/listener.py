"""Listening sockets of servers."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.rpc.address import Address

BACKLOG = 2048
"""Connections that wait to be accepted."""

ACCEPTED_TOGETHER = 16
"""Connections that are accepted before older ones can be closed for them.

asyncio accepts as many at once as the backlog that it is given.
"""

KEEP_ALIVE_S = 75


def open_listener(address: Address) -> socket.socket:
    """Return a bound socket whose connections do not use Nagle's algorithm.

    asyncio turns Nagle's algorithm off only for sockets that are created with the
    protocol TCP.  With the algorithm, the second write of a response waits for the
    delayed acknowledgement of the first.

    Raises
    ------
    OSError
        If the socket cannot be bound to the address.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.host, address.port))
    listener.setblocking(False)
    return listener
