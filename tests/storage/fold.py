from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from verbenaplank.storage.model import StoredState
    from verbenaplank.storage.model import Write


def apply_write(stored: StoredState, write: Write) -> StoredState:
    """Return the stored state after one write is applied to it."""
    entries = stored.entries
    if write.snapshot:
        entries = write.entries
    elif write.entries:
        first = write.entries[0].index
        kept = (entry for entry in entries if entry.index < first)
        entries = (*kept, *write.entries)
    return attrs.evolve(
        stored,
        identity=write.identity or stored.identity,
        vote=write.vote or stored.vote,
        snapshot=write.snapshot or stored.snapshot,
        entries=entries,
    )
