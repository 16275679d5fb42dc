"""In-memory part of the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.protocol.consensus import LogEntry


class Log:
    """Log entries that follow the last compacted entry, the base.

    Indexes start at 1; a base index of 0 means that nothing has been compacted.
    """

    def __init__(
        self, base_index: int = 0, base_term: int = 0, entries: Sequence[LogEntry] = ()
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or of the base if there is none."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry, or of the base if there is none."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or ``None`` if it is unknown."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def entries_between(self, after: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries after index ``after`` up to and including ``last``."""
        start = max(0, after - self.base_index)
        return tuple(self.entries[start : max(0, last - self.base_index)])

    def next_batch(
        self, after: int, max_entries: int, max_bytes: int
    ) -> list[LogEntry]:
        """Return the entries after index ``after`` that fit into one request.

        At least one entry is returned if there is one, even if it has more than
        ``max_bytes`` bytes of data.
        """
        batch: list[LogEntry] = []
        size_bytes = 0
        for entry in self.entries_between(after, after + max_entries):
            size_bytes += len(entry.data)
            if batch and size_bytes > max_bytes:
                break
            batch.append(entry)
        return batch

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index in memory of the run of entries of the same term.

        The run is the one that contains the entry at ``index``.
        """
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries to the end of the log."""
        self.entries.extend(entries)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all that follow it."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int, term: int) -> None:
        """Replace the entries up to and including ``index`` by a new base.

        If the entry at ``index`` is not held or not of ``term``, the log does not
        continue the snapshot, and all entries are removed.
        """
        matches = self.term_at(index) == term
        self.entries = (
            list(self.entries_between(index, self.last_index)) if matches else []
        )
        self.base_index = index
        self.base_term = term
