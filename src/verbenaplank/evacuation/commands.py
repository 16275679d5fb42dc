"""Replicated orders that evacuate a data centre or end that, and their outcomes."""

from __future__ import annotations

from enum import StrEnum

import attrs

from verbenaplank.configuration.commands import Origin


class EvacuationVerdict(StrEnum):
    """Result of an order.

    ``CHANGED``: the order changed the list.
    ``UNCHANGED``: the list already was as ordered.
    ``STALE``: the list has changed since the order was sent; the order has no effect
    and may be sent again.
    ``FORBIDDEN``: the sender may not give the order; it has no effect.
    ``COMMAND_ID_REUSED``: the command id was used for another command; the order has
    no effect.
    """

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    STALE = "stale"
    FORBIDDEN = "forbidden"
    COMMAND_ID_REUSED = "command_id_reused"


@attrs.frozen(kw_only=True)
class OrderEvacuation:
    """Command that evacuates a data centre, or ends its evacuation.

    Attributes
    ----------
    evacuated
        Whether the data centre is to be evacuated.
    seen_revision
        Revision of the list at the control instance that sent the order.  A copy of
        an order that was delayed until after a later order must not undo that one.
    origin
        The authenticated sender; ``None`` on an interface without tokens.
    sent_at_ms
        Wall-clock time at which a control instance received the order, in
        milliseconds since the Unix epoch; for the audit trail.
    """

    data_centre: str
    evacuated: bool
    seen_revision: int
    origin: Origin | None = None
    sent_at_ms: int = 0


@attrs.frozen(kw_only=True)
class EvacuationOutcome:
    """Outcome of an order.

    Attributes
    ----------
    revision
        Revision of the list after the order.
    detail
        Reason for a refusal; empty if the order was accepted.
    """

    verdict: EvacuationVerdict
    revision: int
    detail: str = ""

    @property
    def accepted(self) -> bool:
        """Return whether the list is as ordered."""
        return self.verdict in (EvacuationVerdict.CHANGED, EvacuationVerdict.UNCHANGED)
