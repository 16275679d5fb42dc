from __future__ import annotations

import contextlib
import errno
from functools import reduce
from pathlib import Path

import pytest
from tests.storage.fold import apply_write
from tests.storage.memory_files import KilledError
from tests.storage.memory_files import MemoryFiles

from verbenaplank.protocol.consensus import LogEntry
from verbenaplank.protocol.consensus import Replica
from verbenaplank.protocol.consensus import StorageState
from verbenaplank.storage.errors import DamagedFileError
from verbenaplank.storage.errors import StorageFullError
from verbenaplank.storage.errors import WrongInstanceError
from verbenaplank.storage.model import Identity
from verbenaplank.storage.model import Snapshot
from verbenaplank.storage.model import StoredState
from verbenaplank.storage.model import Vote
from verbenaplank.storage.model import Write
from verbenaplank.storage.store import Store

FOLDER = Path("/data/log")
NAME = "control-0"
SELF = Replica(instance_id=NAME, incarnation="1")
EMPTY = Identity(instance_id=NAME, incarnation="1", state=StorageState.EMPTY)
MEMBER = Identity(
    instance_id=NAME, incarnation="1", state=StorageState.MEMBER, cluster_id="1"
)


def _entries(first: int, last: int, term: int) -> tuple[LogEntry, ...]:
    return tuple(
        LogEntry(index=index, term=term, data=b"command %d" % index)
        for index in range(first, last + 1)
    )


def _snapshot(index: int, term: int) -> Snapshot:
    return Snapshot(index=index, term=term, members=(SELF,), data=b"state" * 20)


WRITES = (
    Write(vote=Vote(term=1), identity=MEMBER),
    Write(entries=_entries(1, 3, term=1)),
    Write(vote=Vote(term=2, voted_for=SELF)),
    Write(entries=_entries(3, 5, term=2)),
    Write(snapshot=_snapshot(4, term=2), entries=_entries(5, 5, term=2)),
    Write(entries=_entries(6, 12, term=2)),
    Write(vote=Vote(term=3)),
    Write(snapshot=_snapshot(9, term=3)),
    Write(entries=_entries(10, 11, term=3)),
)


def _state_after(count: int, further: tuple[Write, ...] = ()) -> StoredState:
    """Return the state after the first ``count`` writes and further ones."""
    return reduce(apply_write, (*WRITES[:count], *further), StoredState(identity=EMPTY))


def _open(files: MemoryFiles) -> tuple[Store, StoredState]:
    store = Store(FOLDER, files)
    return store, store.open(NAME, "1")


def _write_until_killed(files: MemoryFiles) -> int:
    """Make the writes in turn; return how many of them were acknowledged."""
    acknowledged = 0
    try:
        store, _ = _open(files)
        for write in WRITES:
            store.write([write])
            acknowledged += 1
    except KilledError:
        pass
    return acknowledged


def _files_with_all_writes() -> MemoryFiles:
    files = MemoryFiles()
    assert _write_until_killed(files) == len(WRITES)
    return files


def _journal_path(files: MemoryFiles) -> Path:
    name = next(name for name in files.names(FOLDER) if name.startswith("journal-"))
    return FOLDER / name


OPERATIONS = _files_with_all_writes().operations


@pytest.mark.parametrize("kept_share", [0.0, 0.3, 0.9, 1.0, None])
@pytest.mark.parametrize("kill_at", range(OPERATIONS + 1))
def test_crash_at_any_operation_loses_no_acknowledged_write(
    kill_at: int, kept_share: float | None
) -> None:
    """Guards against lost votes and entries that were reported as durable.

    The process is killed (``kept_share`` is ``None``) or the power fails at each
    file operation in turn.  The store that is opened next must hold all
    acknowledged writes, must return only what a further power loss leaves, and
    must accept the remaining writes.
    """
    files = MemoryFiles()
    files.kill_at = kill_at
    acknowledged = _write_until_killed(files)
    killed = kept_share is None
    found = files.after_kill() if killed else files.after_power_loss(kept_share)

    store, stored = _open(found)
    assert _open(found.after_power_loss(0.0))[1] == stored
    possible = [_state_after(acknowledged), _state_after(acknowledged + 1)]
    position = next((i for i, one in enumerate(possible) if one == stored), None)
    if position is None:
        assert stored in _partial_batches(acknowledged)
        return
    for write in WRITES[acknowledged + position :]:
        store.write([write])
    assert _open(found.after_power_loss(0.0))[1] == _state_after(len(WRITES))


def _partial_batches(acknowledged: int) -> list[StoredState]:
    """Return the states after an append of which only the first records are whole."""
    entries = WRITES[acknowledged].entries
    parts = (Write(entries=entries[:count]) for count in range(1, len(entries)))
    return [_state_after(acknowledged, (part,)) for part in parts]


def test_several_writes_of_entries_need_one_journal_sync() -> None:
    """Guards against a sync for each write, which would limit the throughput."""
    files = MemoryFiles()
    store, _ = _open(files)
    store.write(WRITES[:1])
    before = files.operations
    store.write([Write(entries=_entries(i, i, term=1)) for i in range(1, 20)])

    assert files.operations - before == len(["truncate", "append", "sync"])
    assert len(_open(files.after_power_loss(0.0))[1].entries) == 19


def test_incomplete_last_record_is_dropped() -> None:
    """A crash during an append leaves part of a record, which is no damage."""
    files = _files_with_all_writes()
    path = _journal_path(files)
    whole = files.read(path)
    last_bytes = len(whole) - whole.rfind(b"command 11")
    for cut_bytes in range(1, last_bytes):
        files.write(path, whole[:-cut_bytes])
        assert _open(files)[1].entries == _state_after(len(WRITES)).entries[:-1]


def test_zeros_at_the_end_are_dropped() -> None:
    """A crash can leave a file extended but not yet written, which is no damage."""
    files = _files_with_all_writes()
    path = _journal_path(files)
    files.append(path, bytes(100))

    assert _open(files)[1] == _state_after(len(WRITES))


def test_flipped_bit_is_rejected_with_file_and_offset() -> None:
    """Guards against a damaged length that passes for an incomplete record."""
    files = _files_with_all_writes()
    path = _journal_path(files)
    whole = files.read(path)
    for offset in range(len(whole)):
        flipped = bytearray(whole)
        flipped[offset] ^= 1 << offset % 8
        files.write(path, bytes(flipped))
        with pytest.raises(DamagedFileError) as error:
            _open(files)
        assert error.value.path == str(path)
        assert error.value.offset_bytes <= offset


@pytest.mark.parametrize("name", ["identity", "vote", "snapshot"])
def test_damaged_or_missing_small_file_is_rejected(name: str) -> None:
    """Guards against an instance that forgets its vote, identity or snapshot."""
    files = _files_with_all_writes()
    path = FOLDER / name
    whole = files.read(path)
    files.write(path, whole[:-1] + bytes([whole[-1] ^ 1]))
    with pytest.raises(DamagedFileError, match=name):
        _open(files)

    files.remove(path)
    with pytest.raises(DamagedFileError):
        _open(files)


def test_gap_in_the_entries_is_rejected() -> None:
    """Guards against entries that would be applied at the wrong index."""
    files = MemoryFiles()
    store, _ = _open(files)
    store.write(WRITES[:2])
    store.write([Write(entries=_entries(6, 6, term=1))])

    with pytest.raises(DamagedFileError, match="entry 6 does not follow"):
        _open(files)


def test_full_disk_refuses_the_write_and_loses_nothing() -> None:
    """A write that failed for lack of room can be retried when there is room.

    The part of it that was written before the disk was full must not be read.
    """
    files = MemoryFiles()
    store, _ = _open(files)
    store.write(WRITES[:3])
    files.room_bytes = 10
    for _ in range(2):
        with pytest.raises(StorageFullError):
            store.write(WRITES[3:4])
    assert _open(files.after_power_loss(1.0))[1] == _state_after(3)

    files.room_bytes = 10_000
    store.write(WRITES[3:4])
    assert _open(files.after_power_loss(0.0))[1] == _state_after(4)


def test_failed_sync_is_not_reported_as_a_full_disk() -> None:
    """After a failed sync the content of the disk is unknown: no retry is safe."""
    files = MemoryFiles()
    store, _ = _open(files)
    store.write(WRITES[:1])
    files.sync_error = OSError(errno.EIO, "input/output error")

    with pytest.raises(OSError, match="input/output error"):
        store.write(WRITES[1:2])


def test_replaced_storage_has_a_new_identity_and_keeps_the_damaged_files() -> None:
    """Guards against a replica that rejoins under the identity of lost votes."""
    files = _files_with_all_writes()
    stored = Store(FOLDER, files).replace_damaged(NAME, "2")

    assert stored.identity.state is StorageState.REJOINING
    assert _open(files)[1] == stored
    assert "vote" in files.names(FOLDER / "damaged" / "2")


@pytest.mark.parametrize("kill_at", range(20))
def test_crash_while_replacing_never_leaves_an_empty_storage(kill_at: int) -> None:
    """Guards against an instance that lost its votes and passes for a new one."""
    files = _files_with_all_writes()
    files.kill_at = files.operations + kill_at
    with contextlib.suppress(KilledError):
        Store(FOLDER, files).replace_damaged(NAME, "2")
    stored = _open(files.after_power_loss(0.0))[1]

    assert stored.identity.state is not StorageState.EMPTY


def test_folder_of_another_instance_is_rejected() -> None:
    """Guards against an instance that takes another one's votes and log as its own."""
    files = _files_with_all_writes()
    with pytest.raises(WrongInstanceError, match="belongs to control-0"):
        Store(FOLDER, files).open("control-1", "2")
