"""Limits of what the clients of one server may use together."""

from __future__ import annotations

import resource

import attrs

from verbenaplank.settings.common import positive

BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 32.0
MEMORY_SHARE = 1 / 8
"""Share of a machine's memory for the input of the clients of one server.

A program has two servers, for HTTP and for RPC, and handles a request with a few times
the memory of its input.
"""

DESCRIPTOR_SHARE = 3 / 8
"""Share of a process's descriptors for the clients of one server.

The two servers leave a quarter for files and for the program's own connections.
"""


def connections_of_descriptors(descriptors: int) -> int:
    """Return how many connections the clients of one server may open."""
    return max(1, int(descriptors * DESCRIPTOR_SHARE))


def default_connections() -> int:
    """Return the share of the descriptors that the system grants this process."""
    return connections_of_descriptors(resource.getrlimit(resource.RLIMIT_NOFILE)[0])


@attrs.frozen(kw_only=True)
class ClientSettings:
    """Limits of what the clients of one server may use together.

    A program has one server for HTTP and one for RPC, to each of which they apply.

    Attributes
    ----------
    max_connections
        Number of open connections.
    max_memory_mb
        Memory for the received parts of requests and for answers that clients do not
        read, in megabytes.
    """

    max_connections: int = attrs.field(factory=default_connections, validator=positive)
    max_memory_mb: float = attrs.field(default=DEFAULT_MEMORY_MB, validator=positive)

    @property
    def max_memory_bytes(self) -> int:
        """Return the memory in bytes."""
        return round(self.max_memory_mb * BYTES_PER_MB)


def clients_of_machine(memory_mb: float, descriptors: int) -> ClientSettings:
    """Return the limits for a process with so much memory and so many descriptors."""
    return ClientSettings(
        max_connections=connections_of_descriptors(descriptors),
        max_memory_mb=memory_mb * MEMORY_SHARE,
    )
