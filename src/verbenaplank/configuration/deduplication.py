"""Remembers the outcomes of commands, so that one sent again gets its first."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs
import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

COMMAND_RETENTION_MS = 24 * 3_600 * 1_000
"""How long an outcome is remembered at least."""

MIN_RECORDED_COMMANDS = 10_000
"""How many outcomes are remembered however old they are."""


@attrs.frozen(kw_only=True)
class RecordedCommand:
    """A command's outcome, encoded, and the digest of what it asked for."""

    actor: str
    command_id: str
    digest: bytes
    at_ms: int
    outcome: bytes


class DeduplicationTable:
    """The outcomes of the newest commands, oldest first."""

    def __init__(self, commands: Iterable[RecordedCommand] = ()) -> None:
        self._commands = OrderedDict(
            ((command.actor, command.command_id), command) for command in commands
        )
        self._newest_ms = max((c.at_ms for c in self._commands.values()), default=0)

    @property
    def commands(self) -> tuple[RecordedCommand, ...]:
        """Return what is remembered, oldest first."""
        return tuple(self._commands.values())

    def find(self, actor: str, command_id: str) -> RecordedCommand | None:
        """Return the first outcome of a command, if it is remembered."""
        return self._commands.get((actor, command_id))

    def record(self, command: RecordedCommand) -> None:
        """Remember an outcome and forget the ones that are old enough."""
        self._commands[command.actor, command.command_id] = command
        self._newest_ms = max(self._newest_ms, command.at_ms)
        while len(self._commands) > MIN_RECORDED_COMMANDS and self._oldest_is_old():
            self._commands.popitem(last=False)

    def _oldest_is_old(self) -> bool:
        oldest = next(iter(self._commands.values()))
        return oldest.at_ms < self._newest_ms - COMMAND_RETENTION_MS


def command_digest(content: object) -> bytes:
    """Return a digest of what a command asks for."""
    return hashlib.sha256(msgspec.msgpack.encode(content)).digest()
