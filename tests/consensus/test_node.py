from __future__ import annotations

import asyncio
import shutil
from typing import TYPE_CHECKING

from tests.consensus.nodes import TIMEOUT_S
from tests.consensus.nodes import Instances

if TYPE_CHECKING:
    from pathlib import Path


async def test_single_instance_keeps_its_commands_over_a_restart(
    tmp_path: Path,
) -> None:
    instances = Instances(tmp_path, 1)
    (instance,) = instances.all.values()
    async with instances:
        result = await instance.node.propose(b"one", TIMEOUT_S)
        await instance.stop()
        await instance.start()
        await instance.node.read_barrier(TIMEOUT_S)

    assert result == b"result of one"
    assert instance.machine.applied == [b"one"]


async def test_command_proposed_anywhere_is_read_everywhere(tmp_path: Path) -> None:
    async with Instances(tmp_path, 3) as instances:
        for item in instances.all.values():
            name = item.settings.instance_id.encode()
            assert await item.node.propose(name, TIMEOUT_S) == b"result of " + name
        nodes = [item.node for item in instances.all.values()]
        await asyncio.gather(*(node.read_barrier(TIMEOUT_S) for node in nodes))
        applied = [item.machine.applied for item in instances.all.values()]

    assert applied == [[b"control-0", b"control-1", b"control-2"]] * 3


async def test_instance_that_lost_its_folder_is_caught_up_and_admitted(
    tmp_path: Path,
) -> None:
    async with Instances(tmp_path, 3, every_entries=4) as instances:
        (lost, second) = await instances.followers()
        for number in range(10):
            await lost.node.propose(b"%d" % number, TIMEOUT_S)
        await lost.stop()
        shutil.rmtree(lost.settings.data_folder)
        await lost.start()
        await lost.node.read_barrier(TIMEOUT_S)
        assert len(lost.machine.applied) == 10

        while lost.node.replica not in (await instances.leader()).node.members:
            await lost.node.propose(b"more", TIMEOUT_S)
        await second.stop()
        assert await lost.node.propose(b"last", TIMEOUT_S) == b"result of last"


async def test_hand_over_leaves_no_gap_for_proposals(tmp_path: Path) -> None:
    async with Instances(tmp_path, 3) as instances:
        leader = await instances.leader()
        await leader.node.propose(b"before", TIMEOUT_S)
        await leader.node.hand_over()

        assert not leader.node.is_leader
        assert await leader.node.propose(b"after", TIMEOUT_S) == b"result of after"
