"""Replicated list of the evacuated data centres; does no I/O."""

from __future__ import annotations

from verbenaplank.evacuation.commands import EvacuationVerdict
from verbenaplank.evacuation.commands import OrderEvacuation
from verbenaplank.protocol.membership import EvacuationList


class EvacuationState:
    """The data centres that operators have evacuated.

    Attributes
    ----------
    list
        The evacuated data centres in alphabetical order, with the revision.
    """

    def __init__(self, initial: EvacuationList | None = None) -> None:
        self.list = initial or EvacuationList()

    @property
    def revision(self) -> int:
        """Return the revision of the list; each change increases it by one."""
        return self.list.revision

    def order(self, order: OrderEvacuation) -> EvacuationVerdict:
        """Apply an order and return the verdict; repeating it changes nothing."""
        data_centres = set(self.list.data_centres)
        if (order.data_centre in data_centres) == order.evacuated:
            return EvacuationVerdict.UNCHANGED
        if order.seen_revision != self.revision:
            return EvacuationVerdict.STALE
        if order.evacuated:
            data_centres.add(order.data_centre)
        else:
            data_centres.remove(order.data_centre)
        self.list = EvacuationList(
            revision=self.revision + 1, data_centres=tuple(sorted(data_centres))
        )
        return EvacuationVerdict.CHANGED
