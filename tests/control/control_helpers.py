from __future__ import annotations

import asyncio
import hashlib
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from verbenaplank.membership.client import MembershipClient
from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.settings.checker import check_settings
from verbenaplank.settings.common import ControlPeer
from verbenaplank.settings.control import ControlSettings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from verbenaplank.control.application import ControlInstance
    from verbenaplank.membership.client_state import MembershipEvent

ADMINISTRATOR_TOKEN = "administrator-token"
FIXTURES_TOKEN = "fixtures-token"
DEADLINE_S = 10.0
POLL_S = 0.005


def sha256(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


FIRST_DOCUMENT = f"""
[sections.fixtures]
team = "fixtures"
token_sha256 = "{sha256(FIXTURES_TOKEN)}"
text = '''
[services.draw]
run_time_ms = 250
'''

[sections.on-call]
team = "on-call"
token_sha256 = "{sha256("on-call-token")}"
grants = ["quotas", "drains"]
text = '''
[teams.fixtures]
weight = 2.0
'''
"""


def control_settings(folder: Path, **overrides: object) -> ControlSettings:
    document = control_document(folder, **overrides)
    return check_settings(document, ControlSettings, "control.toml")


def control_document(folder: Path, **overrides: object) -> dict[str, object]:
    path = folder / "first.toml"
    path.write_text(FIRST_DOCUMENT)
    return {
        "instance_id": "control-1",
        "data_centre": "Kochi",
        "data_folder": str(folder / "data"),
        "http": {"host": "127.0.0.1", "port": 0},
        "rpc": {"host": "127.0.0.1", "port": 0},
        "peers": [{"instance_id": "control-1", "host": "127.0.0.1", "port": 0}],
        "administration": {
            "token_sha256": sha256(ADMINISTRATOR_TOKEN),
            "document_path": str(path),
        },
        "consensus": {"heartbeat_ms": 20.0, "election_timeout_ms": 150.0},
        "membership": {"heartbeat_ms": 50.0, "lease_ms": 1_000.0},
        **overrides,
    }


def agent(member_id: str = "agent-1", incarnation: str = "a") -> Member:
    return Member(
        member_id=member_id,
        role=MemberRole.AGENT,
        incarnation=incarnation,
        data_centre="Kochi",
        address="127.0.0.1:1",
        services=("draw",),
        slots=8,
    )


def entry(member_id: str = "entry-1", incarnation: str = "a") -> Member:
    return Member(
        member_id=member_id,
        role=MemberRole.ENTRY,
        incarnation=incarnation,
        data_centre="Kochi",
        address="127.0.0.1:2",
    )


def connect_client(
    member: Member,
    *instances: ControlInstance,
    listener: Callable[[MembershipEvent], None] | None = None,
) -> MembershipClient:
    """Return a membership client that tries the first instance first."""
    peers = [
        ControlPeer(
            instance_id=f"control-{index}",
            host="127.0.0.1",
            port=instance.rpc_address.port,
            data_centre="elsewhere" if index else member.data_centre,
        )
        for index, instance in enumerate(instances)
    ]
    return MembershipClient(member, peers, None, time.monotonic, listener)


async def wait_for_other_tasks() -> None:
    """Wait until every task except the current one has ended."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    if others:
        await asyncio.wait(others, timeout=DEADLINE_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until other tasks have made a condition true."""
    never = asyncio.Event()
    async with asyncio.timeout(DEADLINE_S):
        while not condition():
            with suppress(TimeoutError):
                await asyncio.wait_for(never.wait(), POLL_S)
