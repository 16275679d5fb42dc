"""What must hold of a program while a crowd is connected to it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from unruly_clients.crowd import Crowd
from unruly_clients.programs import MAX_DESCRIPTORS
from unruly_clients.sites import open_port

if TYPE_CHECKING:
    from pathlib import Path

    from unruly_clients.requests import ClientKind
    from unruly_clients.sites import Port

SPARE_DESCRIPTORS = 16
"""Descriptors that a program may use more than before the crowd came."""

CLOSE_LIMIT_S = 30.0
POLL_S = 0.1


async def check_crowd(port_name: str, kind: ClientKind, folder: Path) -> None:
    """Let a crowd send and stay connected, and check the program meanwhile."""
    async with open_port(port_name, folder) as port:
        before = port.program.open_descriptors
        async with Crowd(kind, port.target):
            check_limits(port)
            if kind.exceeds_limits:
                await wait_until_closed(port, before)
            assert await port.answers()
            check_limits(port)


def check_limits(port: Port) -> None:
    """Check that the program runs within its machine's memory and descriptors."""
    assert port.program.is_running
    peak_memory_mb = port.program.peak_memory_mb
    assert peak_memory_mb < port.memory_mb, f"peak memory {peak_memory_mb:.1f} MB"
    assert port.program.open_descriptors < MAX_DESCRIPTORS


async def wait_until_closed(port: Port, descriptors_before: int) -> None:
    """Wait until the program has closed the connections of the crowd."""
    limit = descriptors_before + SPARE_DESCRIPTORS
    async with asyncio.timeout(CLOSE_LIMIT_S):
        while port.program.open_descriptors > limit:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
