"""Tracks the entries that have or had a stream to this agent, and their leases."""

from __future__ import annotations

import itertools

import attrs

from verbenaplank.agent.deduplication import ClosedDispatches
from verbenaplank.agent.effects import EntryKey

ENTRY_RETENTION_S = 86_400.0
"""How long a disconnected entry is retained after its lease has expired."""


@attrs.define
class Entry:
    """State of one incarnation of an entry that has or had a stream to this agent.

    Attributes
    ----------
    number
        Number that identifies the entry in place of ``key``, to save memory in
        tables with many rows.
    lease_until_s
        Monotonic time at which the lease of the entry expires.  Only a renewal grants a
        lease; a stream that opens grants none, because its entry may have ended.
    connected
        Whether the entry has an open stream.
    closed
        Dispatches of the entry that were refused or revoked and must never start.
    """

    key: EntryKey
    number: int
    lease_until_s: float
    connected: bool = True
    closed: ClosedDispatches = attrs.field(factory=ClosedDispatches)

    def has_lease(self, now_s: float) -> bool:
        """Return whether the lease of the entry has not expired."""
        return now_s < self.lease_until_s


class Entries:
    """Maps keys to entries; retains disconnected ones for ``ENTRY_RETENTION_S``."""

    def __init__(self) -> None:
        self._entries: dict[EntryKey, Entry] = {}
        self._numbers = itertools.count(1)

    def __getitem__(self, key: EntryKey) -> Entry:
        return self._entries[key]

    def connect(self, key: EntryKey, now_s: float) -> None:
        """Mark an entry as connected, adding it without a lease if it is new."""
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = Entry(key, next(self._numbers), now_s)
        entry.connected = True

    def renew(self, key: EntryKey, lease_s: float, since_s: float) -> None:
        """Extend the lease of an entry to ``since_s + lease_s``; never shorten it."""
        entry = self._entries[key]
        entry.lease_until_s = max(entry.lease_until_s, since_s + lease_s)

    def remove_expired(self, now_s: float) -> None:
        """Remove the disconnected entries whose retention has ended."""
        expired = [
            entry.key
            for entry in self._entries.values()
            if not entry.connected and entry.lease_until_s + ENTRY_RETENTION_S < now_s
        ]
        for key in expired:
            del self._entries[key]
