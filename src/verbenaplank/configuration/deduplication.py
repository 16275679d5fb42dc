"""Deduplicates commands: a repeated command gets its first outcome again."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

COMMAND_RETENTION_MS = 24 * 3_600 * 1_000
"""Minimum time for which an outcome is kept, in milliseconds."""

MIN_RECORDED_COMMANDS = 10_000
"""Number of outcomes that are kept regardless of their age."""


@attrs.frozen(kw_only=True)
class RecordedCommand:
    """The encoded outcome of a command and the digest of the command's content.

    Attributes
    ----------
    at_ms
        Wall-clock time at which a control instance received the command, in
        milliseconds since the Unix epoch.
    """

    actor: str
    command_id: str
    digest: bytes
    at_ms: int
    outcome: bytes


class DeduplicationTable:
    """Outcomes of recent commands by actor and command id, oldest first.

    Ages are relative to the newest command rather than to a clock, so that every
    replica removes the same outcomes.
    """

    def __init__(self, commands: Iterable[RecordedCommand] = ()) -> None:
        self._commands = OrderedDict(
            ((command.actor, command.command_id), command) for command in commands
        )
        self._newest_ms = max((c.at_ms for c in self._commands.values()), default=0)

    @property
    def commands(self) -> tuple[RecordedCommand, ...]:
        """Return the recorded commands, oldest first."""
        return tuple(self._commands.values())

    def find(self, actor: str, command_id: str) -> RecordedCommand | None:
        """Return the recorded command with this id, or ``None``."""
        return self._commands.get((actor, command_id))

    def record(self, command: RecordedCommand) -> None:
        """Record an outcome and remove outcomes that need not be kept any longer."""
        self._commands[command.actor, command.command_id] = command
        self._newest_ms = max(self._newest_ms, command.at_ms)
        while len(self._commands) > MIN_RECORDED_COMMANDS and self._oldest_is_expired():
            self._commands.popitem(last=False)

    def _oldest_is_expired(self) -> bool:
        oldest = next(iter(self._commands.values()))
        return oldest.at_ms < self._newest_ms - COMMAND_RETENTION_MS


def command_digest(content: object) -> bytes:
    """Return the SHA-256 digest of a command's encoded content."""
    return hashlib.sha256(msgspec.msgpack.encode(content)).digest()
