from __future__ import annotations

import asyncio
import errno
import shutil
from contextlib import suppress
from pathlib import Path

import pytest
from tests.consensus.nodes import TIMEOUT_S
from tests.consensus.nodes import Instance
from tests.consensus.nodes import Instances

from verbenaplank.clock.sources import monotonic_s
from verbenaplank.consensus import writer
from verbenaplank.consensus.errors import NoQuorumError
from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.consensus.node import CONSENSUS_FAILURE_STATUS
from verbenaplank.consensus.node import LOG_FOLDER
from verbenaplank.consensus.node import _exit_on_failure
from verbenaplank.storage.errors import DamagedFileError
from verbenaplank.storage.errors import FolderInUseError
from verbenaplank.storage.files import OperatingSystemFiles


async def test_single_instance_keeps_its_commands_after_a_restart(
    tmp_path: Path,
) -> None:
    """A command that was acknowledged must be in the log that a restart reads."""
    instances = Instances(tmp_path, 1)
    (instance,) = instances.all.values()
    async with instances:
        result = await instance.node.propose(b"one", TIMEOUT_S)
        await instance.stop()
        await instance.start()
        await instance.node.read_barrier(TIMEOUT_S)

    assert result == b"result of one"
    assert instance.machine.applied == [b"one"]


async def test_command_proposed_on_any_instance_is_read_on_all(tmp_path: Path) -> None:
    """A follower forwards commands, and a read barrier makes them visible anywhere."""
    async with Instances(tmp_path, 3) as instances:
        for item in instances.all.values():
            name = item.settings.instance_id.encode()
            assert await item.node.propose(name, TIMEOUT_S) == b"result of " + name
        nodes = [item.node for item in instances.all.values()]
        await asyncio.gather(*(node.read_barrier(TIMEOUT_S) for node in nodes))
        applied = [item.machine.applied for item in instances.all.values()]

    assert applied == [[b"control-0", b"control-1", b"control-2"]] * 3


async def test_instance_that_lost_its_folder_catches_up_and_becomes_a_voter(
    tmp_path: Path,
) -> None:
    """Guard against an instance that stays a learner after the loss of its folder.

    It is sent a snapshot, since the log is compacted, and is then needed for a quorum.
    """
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


async def test_proposals_succeed_across_a_leadership_transfer(tmp_path: Path) -> None:
    """Guard against rejected proposals while the leadership changes."""
    async with Instances(tmp_path, 3) as instances:
        leader = await instances.leader()
        await leader.node.propose(b"before", TIMEOUT_S)
        await leader.node.transfer_leadership()

        assert not leader.node.is_leader
        assert await leader.node.propose(b"after", TIMEOUT_S) == b"result of after"


async def test_command_resent_after_the_leader_stopped_is_accepted(
    tmp_path: Path,
) -> None:
    """Guard against callers that hang when the leader stops before it replies."""
    async with Instances(tmp_path, 3) as instances:
        leader = await instances.leader()
        follower = (await instances.followers())[0]
        await leader.stop()
        with suppress(OutcomeUnknownError):
            await follower.node.propose(b"next", TIMEOUT_S)

        assert await follower.node.propose(b"next", TIMEOUT_S) == b"result of next"


async def test_instance_without_a_quorum_refuses_proposals_and_reads(
    tmp_path: Path,
) -> None:
    """A leader that lost its followers must not acknowledge or serve old state."""
    async with Instances(tmp_path, 3) as instances:
        leader = await instances.leader()
        for follower in await instances.followers():
            await follower.stop()
        with pytest.raises((ProposalRejectedError, OutcomeUnknownError)):
            await leader.node.propose(b"lonely", 1.0)
        with pytest.raises(NoQuorumError):
            await leader.node.read_barrier(0.1)

        assert not leader.node.is_current(monotonic_s())
        assert leader.machine.applied == []


def _flip_bit(instance: Instance) -> None:
    """Damage the first record of an instance's journal."""
    folder = Path(instance.settings.data_folder) / LOG_FOLDER
    (path,) = folder.glob("journal-*")
    content = bytearray(path.read_bytes())
    content[20] ^= 1
    path.write_bytes(content)


async def test_second_process_cannot_open_the_data_folder(tmp_path: Path) -> None:
    """Two processes that write one journal would damage it."""
    async with Instances(tmp_path, 1) as instances:
        (instance,) = instances.all.values()
        with pytest.raises(FolderInUseError, match="is in use"):
            await Instance(instance.settings).start()
        assert await instance.node.propose(b"one", TIMEOUT_S) == b"result of one"


async def test_damaged_journal_of_a_single_instance_is_refused(
    tmp_path: Path,
) -> None:
    """Without other instances, damage must be reported, as nothing can replace it."""
    instances = Instances(tmp_path, 1)
    (instance,) = instances.all.values()
    async with instances:
        await instance.node.propose(b"one", TIMEOUT_S)
        await instance.stop()
        _flip_bit(instance)
        with pytest.raises(DamagedFileError, match=r"journal-.*byte 0"):
            await instance.start()


async def test_damaged_journal_is_replaced_from_the_other_instances(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """The instance must come back as a new replica, whose old votes do not count."""
    async with Instances(tmp_path, 3) as instances:
        damaged = (await instances.followers())[0]
        await damaged.node.propose(b"one", TIMEOUT_S)
        former = damaged.node.replica
        await damaged.stop()
        _flip_bit(damaged)
        await damaged.start()
        await damaged.node.read_barrier(TIMEOUT_S)

        assert damaged.machine.applied == [b"one"]
        assert damaged.node.replica.incarnation != former.incarnation
        assert "damaged storage" in caplog.text


class FullDisk(OperatingSystemFiles):
    def __init__(self) -> None:
        self.full = False

    def append(self, path: Path, data: bytes) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")
        super().append(path, data)


async def test_rejection_names_the_full_disk_and_no_command_is_lost(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against lost or unexplained commands while the disk is full.

    The command that was in progress is applied once there is room again.
    """
    monkeypatch.setattr(writer, "DISK_FULL_RETRY_S", 0.05)
    instances = Instances(tmp_path, 1)
    (instance,) = instances.all.values()
    disk = instance.files = FullDisk()
    async with instances:
        await instance.node.propose(b"one", TIMEOUT_S)
        disk.full = True
        with pytest.raises(OutcomeUnknownError):
            await instance.node.propose(b"two", 0.5)
        with pytest.raises(ProposalRejectedError, match="the disk is full"):
            await instance.node.propose(b"three", 0.5)
        disk.full = False
        await instance.node.propose(b"four", TIMEOUT_S)

        assert instance.machine.applied == [b"one", b"two", b"four"]


def test_process_exits_when_a_task_of_the_log_fails() -> None:
    """Guard against an instance that stays up without its log.

    A programming error in a background task would otherwise go unnoticed.
    """

    async def fail() -> None:
        raise AttributeError("a fault of the program")

    async def run() -> None:
        task = asyncio.create_task(fail())
        task.add_done_callback(_exit_on_failure)
        await asyncio.sleep(TIMEOUT_S)

    with pytest.raises(SystemExit) as ended:
        asyncio.run(run())
    assert ended.value.code == CONSENSUS_FAILURE_STATUS
