"""Divides the backend servers of a service among confined workloads and all others.

A confined workload keeps a part of the servers that is in proportion to its work, so
that the servers which its tasks crash are its own part only.  All entries choose the
same servers, since the order depends on ids alone; a server that has crashed keeps its
place, so that the part does not move to the servers that are left.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

PLACE_RETENTION_S = 20.0
"""How long a server that has left keeps its place, so that it can restart."""


class ServiceCells:
    """The servers of each confined workload of one service."""

    def __init__(self) -> None:
        self._departed_s: dict[str, float] = {}
        self._cells: dict[str, frozenset[str]] = {}
        self._taken: frozenset[str] = frozenset()

    @property
    def confined(self) -> Collection[str]:
        """Return the confined workloads."""
        return self._cells.keys()

    def record_departure(self, member_id: str, now_s: float) -> None:
        """Record that a server has left the service."""
        self._departed_s[member_id] = now_s

    def divide(
        self, members: Iterable[str], shares: Mapping[str, float], now_s: float
    ) -> None:
        """Give each confined workload its part of the servers.

        A workload that is confined already keeps its servers.  No part is larger than
        half of the servers, and at least one server is left to the others.

        Parameters
        ----------
        members
            Ids of the servers that offer the service now.
        shares
            Share of each confined workload in the work of the service.
        """
        known = self._known_servers(members, now_s)
        cells = {name: cell for name, cell in self._cells.items() if name in shares}
        taken = frozenset[str]().union(*cells.values())
        for workload in sorted(shares.keys() - cells.keys()):
            free = sorted(known - taken, key=lambda member: _rank(workload, member))
            wanted = max(1, math.ceil(shares[workload] * len(known)))
            size = min(wanted, len(known) // 2, len(free) - 1)
            cell = frozenset(free[: max(0, size)])
            if cell:
                cells[workload] = cell
                taken |= cell
        self._cells = cells
        self._taken = taken

    def allows(self, workload: str, member_id: str) -> bool:
        """Return whether tasks of a workload may run on a server."""
        cell = self._cells.get(workload)
        if cell is not None:
            return member_id in cell
        return member_id not in self._taken

    def _known_servers(self, members: Iterable[str], now_s: float) -> frozenset[str]:
        since_s = now_s - PLACE_RETENTION_S
        self._departed_s = {
            member_id: departed_s
            for member_id, departed_s in self._departed_s.items()
            if departed_s >= since_s
        }
        return frozenset(members) | self._departed_s.keys()


def _rank(workload: str, member_id: str) -> bytes:
    return hashlib.sha256(f"{workload}\0{member_id}".encode()).digest()
