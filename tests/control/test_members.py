from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
from control_helpers import agent
from control_helpers import connect_client
from control_helpers import control_settings
from control_helpers import entry
from control_helpers import wait_until

from verbenaplank.control.application import ControlInstance

if TYPE_CHECKING:
    from pathlib import Path


async def test_entry_receives_the_agents_and_the_configuration(tmp_path: Path) -> None:
    async with ControlInstance(control_settings(tmp_path)) as control:
        await wait_until(lambda: control.machine.configuration.version == 1)
        async with (
            connect_client(entry(), control) as entry_client,
            connect_client(agent(), control) as agent_client,
        ):
            await entry_client.wait_ready()
            await agent_client.wait_ready()
            await wait_until(lambda: "agent-1" in entry_client.agents)
            await wait_until(lambda: entry_client.lease_valid(time.monotonic()))

            assert entry_client.configuration.services["draw"].team == "fixtures"
            assert entry_client.configuration.teams["fixtures"].weight == 2.0
            assert entry_client.registrars is not None
            assert agent_client.agents == {}


async def test_drain_and_leave_reach_entries(tmp_path: Path) -> None:
    async with ControlInstance(control_settings(tmp_path)) as control:
        async with (
            connect_client(entry(), control) as entry_client,
            connect_client(agent(), control) as agent_client,
        ):
            await agent_client.wait_ready()
            agent_client.update(attrs.evolve(agent(), draining=True))
            await wait_until(
                lambda: any(m.draining for m in entry_client.agents.values())
            )
            await agent_client.leave()
            await wait_until(lambda: not entry_client.agents)

        assert "agent-1" not in control.machine.membership.members


async def test_member_without_heartbeats_is_removed_when_its_lease_expires(
    tmp_path: Path,
) -> None:
    """The member closes its stream without leaving, as after a crash."""
    settings = control_settings(tmp_path, membership={"lease_ms": 200.0})
    async with (
        ControlInstance(settings) as control,
        connect_client(entry(), control) as entry_client,
    ):
        async with connect_client(agent(), control) as agent_client:
            await agent_client.wait_ready()
            await wait_until(lambda: "agent-1" in entry_client.agents)

        await wait_until(lambda: "agent-1" not in entry_client.agents)
