"""Replicated state of the routing document; the highest version wins."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.routing.table import RoutingDocument


class RoutingVerdict(StrEnum):
    """Result of replacing the routing document.

    ``IN_FORCE``: the document is in force, also if it already was.
    ``SUPERSEDED``: a document with a higher version is in force; nothing changes.
    ``CONFLICT``: the document in force has the same version but differs; nothing
    changes.
    """

    IN_FORCE = "in_force"
    SUPERSEDED = "overtaken"
    CONFLICT = "conflict"


@attrs.frozen(kw_only=True)
class ReplaceRouting:
    """Command that puts a document in force unless its version is too low.

    Attributes
    ----------
    sent_at_ms
        Wall-clock time at which a control instance received the command, in
        milliseconds since the Unix epoch; for the audit trail.
    """

    document: RoutingDocument
    sent_at_ms: int = 0


class RoutingState:
    """The routing document that the control instances replicate; does no I/O.

    Attributes
    ----------
    document
        The document in force; ``None`` before the first one.
    """

    def __init__(self, document: RoutingDocument | None = None) -> None:
        self.document = document

    @property
    def version(self) -> int:
        """Return the version of the document in force, or 0 if there is none."""
        return self.document.table.version if self.document is not None else 0

    def replace(self, command: ReplaceRouting) -> RoutingVerdict:
        """Apply a command and return the verdict; repeating it changes nothing."""
        document = command.document
        if document.table.version < self.version:
            return RoutingVerdict.SUPERSEDED
        if document.table.version == self.version:
            same = document == self.document
            return RoutingVerdict.IN_FORCE if same else RoutingVerdict.CONFLICT
        self.document = document
        return RoutingVerdict.IN_FORCE
