"""State machine of the replicated routing document, of which the newest wins."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.routing.table import RoutingDocument


class RoutingVerdict(StrEnum):
    """Result of a command to replace the routing document.

    ``IN_FORCE``: the document is in force, perhaps since an earlier command.
    ``OVERTAKEN``: a higher version is in force, and nothing changes.
    ``CONFLICT``: another document with the same version is in force, and nothing
    changes.
    """

    IN_FORCE = "in_force"
    OVERTAKEN = "overtaken"
    CONFLICT = "conflict"


@attrs.frozen(kw_only=True)
class ReplaceRouting:
    """Command that puts a document in force unless its version is outdated.

    Attributes
    ----------
    sent_at_ms
        Wall-clock time of the instance that accepted the command, for the audit
        trail.
    """

    document: RoutingDocument
    sent_at_ms: int = 0


class RoutingState:
    """The routing document in force.

    Attributes
    ----------
    document
        The document, or ``None`` before the first one.
    """

    def __init__(self, document: RoutingDocument | None = None) -> None:
        self.document = document

    @property
    def version(self) -> int:
        """Return the version in force, or 0 before the first document."""
        return self.document.table.version if self.document is not None else 0

    def replace(self, command: ReplaceRouting) -> RoutingVerdict:
        """Put a document in force if its version is the highest so far."""
        document = command.document
        if document.table.version < self.version:
            return RoutingVerdict.OVERTAKEN
        if document.table.version == self.version:
            same = document == self.document
            return RoutingVerdict.IN_FORCE if same else RoutingVerdict.CONFLICT
        self.document = document
        return RoutingVerdict.IN_FORCE
