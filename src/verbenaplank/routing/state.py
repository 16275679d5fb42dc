"""The replicated routing document: the highest version wins; no I/O."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.routing.table import RoutingDocument


class RoutingVerdict(StrEnum):
    """What became of a document.

    ``IN_FORCE`` also answers the same document sent again.  ``SUPERSEDED`` has a
    lower version than the one in force and changes nothing.  ``CONFLICT`` has
    the version in force but another content, and is refused.
    """

    IN_FORCE = "in_force"
    SUPERSEDED = "overtaken"
    CONFLICT = "conflict"


@attrs.frozen(kw_only=True)
class ReplaceRouting:
    """Command: put a document in force unless a higher version is.

    Attributes
    ----------
    sent_at_ms
        Wall clock of the instance that took the command, for the audit trail.
    """

    document: RoutingDocument
    sent_at_ms: int = 0


class RoutingState:
    """The document in force.

    Attributes
    ----------
    document
        ``None`` until there is a first one.
    """

    def __init__(self, document: RoutingDocument | None = None) -> None:
        self.document = document

    @property
    def version(self) -> int:
        """Return the version in force, or 0."""
        return self.document.table.version if self.document is not None else 0

    def replace(self, command: ReplaceRouting) -> RoutingVerdict:
        """Take a document in; the same one again changes nothing."""
        document = command.document
        if document.table.version < self.version:
            return RoutingVerdict.SUPERSEDED
        if document.table.version == self.version:
            same = document == self.document
            return RoutingVerdict.IN_FORCE if same else RoutingVerdict.CONFLICT
        self.document = document
        return RoutingVerdict.IN_FORCE
