"""The entries that have, or had, a stream to this agent, and their leases."""

from __future__ import annotations

import itertools

import attrs

from verbenaplank.agent.deduplication import ClosedDispatches
from verbenaplank.agent.effects import EntryKey

INITIAL_LEASE_S = 2.0
"""Lease of an entry from its hello until its first renewal."""

ENTRY_MEMORY_S = 86_400.0
"""How long an entry that is gone is remembered."""


@attrs.define
class Entry:
    """An entry that has, or had, a stream to this agent.

    Attributes
    ----------
    number
        Stands for ``key`` where memory is short.
    closed
        The entry's dispatches that were refused or revoked.
    """

    key: EntryKey
    number: int
    lease_until_s: float
    connected: bool = True
    closed: ClosedDispatches = attrs.field(factory=ClosedDispatches)


class Entries:
    """Entries by key; one that is gone is remembered for a while."""

    def __init__(self, first_lease_s: float = INITIAL_LEASE_S) -> None:
        self._first_lease_s = first_lease_s
        self._entries: dict[EntryKey, Entry] = {}
        self._numbers = itertools.count(1)

    def __getitem__(self, key: EntryKey) -> Entry:
        return self._entries[key]

    def connect(self, key: EntryKey, now_s: float) -> None:
        """Take in that an entry opened a stream."""
        entry = self._entries.get(key)
        if entry is None:
            entry = self._entries[key] = Entry(key, next(self._numbers), now_s)
        entry.connected = True
        self.renew(key, self._first_lease_s, now_s)

    def renew(self, key: EntryKey, lease_s: float, now_s: float) -> None:
        """Renew the lease of an entry; it never gets shorter."""
        entry = self._entries[key]
        entry.lease_until_s = max(entry.lease_until_s, now_s + lease_s)

    def remove_expired(self, now_s: float) -> None:
        """Forget the entries that went away long ago."""
        forgotten = [
            entry.key
            for entry in self._entries.values()
            if not entry.connected and entry.lease_until_s + ENTRY_MEMORY_S < now_s
        ]
        for key in forgotten:
            del self._entries[key]
