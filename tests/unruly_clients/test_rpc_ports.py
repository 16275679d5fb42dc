"""Crowds of clients that send what no process of the system sends, on RPC ports."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import pytest

from unruly_clients.checks import check_crowd
from unruly_clients.checks import check_limits
from unruly_clients.rpc_crowd import RPC_KINDS
from unruly_clients.rpc_crowd import MessageSender
from unruly_clients.sites import open_port
from verbenaplank.rpc.services import CANCEL_ROUTED
from verbenaplank.rpc.services import JOIN
from verbenaplank.rpc.services import WORK

if TYPE_CHECKING:
    from pathlib import Path

    from unruly_clients.requests import ClientKind

PATHS = {
    "control.rpc": JOIN.path,
    "agent.rpc": WORK.path,
    "entry.rpc": CANCEL_ROUTED.path,
}
MESSAGE_SENDERS = 40


@pytest.mark.parametrize("port_name", PATHS)
@pytest.mark.parametrize("kind", RPC_KINDS, ids=lambda kind: kind.name)
async def test_program_survives_a_crowd(
    port_name: str, kind: ClientKind, tmp_path: Path
) -> None:
    await check_crowd(port_name, kind, tmp_path)


@pytest.mark.parametrize("port_name", PATHS)
async def test_program_survives_messages_that_stop_before_their_end(
    port_name: str, tmp_path: Path
) -> None:
    async with open_port(port_name, tmp_path) as port, AsyncExitStack() as stack:
        sender = MessageSender(path=PATHS[port_name])
        connections = [
            await asyncio.open_connection(port.target.host, port.target.port)
            for _ in range(MESSAGE_SENDERS)
        ]
        for _, writer in connections:
            stack.callback(writer.transport.abort)
        await asyncio.gather(*(sender.send(*each) for each in connections))
        check_limits(port)
        assert await port.answers()
        check_limits(port)
