from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from verbenaplank.consensus.state import Role
from verbenaplank.consensus.state import Timing
from verbenaplank.protocol.consensus import LogEntryKind

if TYPE_CHECKING:
    from tests.consensus.cluster import Instance

    from verbenaplank.protocol.consensus import LogEntry
    from verbenaplank.protocol.consensus import Replica

TIMING = Timing(heartbeat_s=0.05, election_timeout_s=0.5)
MAX_DRIFT = 0.05


class SafetyChecks:
    """Safety properties of Raft, checked on a record of what the cluster did.

    Attributes
    ----------
    leaders
        The first leader seen in each term.
    committed
        Committed entries by index.
    acknowledged
        Time of each acknowledged command, with the highest acknowledged index.
    pending
        Term of each proposed entry, by instance and index.
    reads
        Lowest allowed index of each pending read, by instance and read.
    """

    running: list[Instance]

    def __init__(self) -> None:
        self.now_s = 0.0
        self.leaders: dict[int, Replica] = {}
        self.committed: dict[int, LogEntry] = {}
        self.acknowledged: list[tuple[float, int]] = [(0.0, 0)]
        self.pending: dict[tuple[str, int], int] = {}
        self.reads: dict[tuple[str, int], int] = {}
        self.answered_reads = 0

    def record_applied(self, instance: Instance, entries: tuple[LogEntry, ...]) -> None:
        """Check that all instances apply the same entries in order, without gaps."""
        for entry in entries:
            assert entry.index == instance.applied_index + 1, "an entry was skipped"
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, "two instances applied different entries"
            instance.applied_index = entry.index
            if entry.kind is LogEntryKind.COMMAND:
                instance.commands.append((entry.index, entry.data))
            if self.pending.pop((instance.name, entry.index), None) == entry.term:
                newest = max(entry.index, self.acknowledged[-1][1])
                self.acknowledged.append((self.now_s, newest))

    def check_restored(self, instance: Instance, index: int, data: bytes) -> None:
        """Check that a snapshot holds exactly the committed commands that it covers."""
        instance.commands = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])
        instance.applied_index = index
        expected = [
            (entry.index, entry.data)
            for entry in self.committed.values()
            if entry.index <= index and entry.kind is LogEntryKind.COMMAND
        ]
        assert instance.commands == sorted(expected), (
            "a snapshot differs from the committed commands"
        )

    def check(self, instance: Instance) -> None:
        """Check that a term has one leader, which has all committed entries."""
        state = instance.state
        if state.role is Role.LEADER:
            known = self.leaders.get(state.term)
            assert known in (None, state.replica), "two leaders in one term"
            if known is None:
                self.leaders[state.term] = state.replica
                self._check_completeness(instance)
        self._check_current(instance)

    def _check_completeness(self, instance: Instance) -> None:
        log = instance.state.log
        for index, entry in self.committed.items():
            if index > log.base_index:
                message = f"leader lacks committed entry {index}"
                assert log.term_at(index) == entry.term, message

    def _check_current(self, instance: Instance) -> None:
        """Check that an instance which calls itself current is not stale.

        A leader must have applied every acknowledged command, a follower every one that
        was acknowledged more than a lease ago.
        """
        if not instance.core.is_current(instance.clock_s(self.now_s)):
            return
        stale_s = 0.0
        if instance.state.role is not Role.LEADER:
            stale_s = TIMING.lease_s * (1 + 2 * MAX_DRIFT)
        since_s = self.now_s - stale_s
        expected = max(
            (index for at_s, index in self.acknowledged if at_s <= since_s), default=0
        )
        assert instance.applied_index >= expected, "a current instance is stale"

    def check_read(self, instance: Instance, read_id: int, index: int | None) -> None:
        """Check that a read index covers the commands acknowledged before the read."""
        expected = self.reads.pop((instance.name, read_id), 0)
        if index is not None:
            self.answered_reads += 1
            assert index >= expected, "a read misses an acknowledged command"

    def check_logs_match(self) -> None:
        """Check that two logs are equal up to any index where their terms are equal."""
        logs = [item.state.log for item in self.running]
        for log in logs:
            for other in logs:
                last = min(log.last_index, other.last_index)
                first = max(log.base_index, other.base_index)
                same = [
                    log.term_at(i) == other.term_at(i)
                    for i in range(first + 1, last + 1)
                ]
                assert same == sorted(same, reverse=True), (
                    "logs differ before an index where their terms match"
                )
