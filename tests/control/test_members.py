from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
from control_helpers import agent
from control_helpers import control_settings
from control_helpers import entry
from control_helpers import eventually
from control_helpers import link_to

from verbenaplank.control.application import ControlInstance

if TYPE_CHECKING:
    from pathlib import Path


async def test_members_learn_each_other_and_the_configuration(tmp_path: Path) -> None:
    async with ControlInstance(control_settings(tmp_path)) as control:
        await eventually(lambda: control.machine.configuration.version == 1)
        async with (
            link_to(entry(), control) as entry_link,
            link_to(agent(), control) as agent_link,
        ):
            await entry_link.wait_ready()
            await agent_link.wait_ready()
            await eventually(lambda: "agent-1" in entry_link.agents)
            await eventually(lambda: entry_link.lease_valid(time.monotonic()))

            assert entry_link.configuration.services["draw"].team == "fixtures"
            assert entry_link.configuration.teams["fixtures"].weight == 2.0
            assert entry_link.registrars is not None
            assert agent_link.agents == {}


async def test_drain_and_leave_reach_entries(tmp_path: Path) -> None:
    async with ControlInstance(control_settings(tmp_path)) as control:
        async with (
            link_to(entry(), control) as entry_link,
            link_to(agent(), control) as agent_link,
        ):
            await agent_link.wait_ready()
            agent_link.update(attrs.evolve(agent(), draining=True))
            await eventually(
                lambda: any(m.draining for m in entry_link.agents.values())
            )
            await agent_link.leave()
            await eventually(lambda: not entry_link.agents)

        assert "agent-1" not in control.machine.membership.members


async def test_member_that_falls_silent_leaves_when_its_lease_ends(
    tmp_path: Path,
) -> None:
    settings = control_settings(tmp_path, membership={"lease_ms": 200.0})
    async with (
        ControlInstance(settings) as control,
        link_to(entry(), control) as entry_link,
    ):
        async with link_to(agent(), control) as agent_link:
            await agent_link.wait_ready()
            await eventually(lambda: "agent-1" in entry_link.agents)

        await eventually(lambda: "agent-1" not in entry_link.agents)
