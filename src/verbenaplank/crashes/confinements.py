"""Remembers which workloads entries have confined, without I/O.

An entry that has just started has seen no crash.  It learns from the agents which
workloads are confined, so that their jobs do not crash further backend servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.crashes.containment import FORGET_AFTER_S
from verbenaplank.protocol.crash import Confinement

if TYPE_CHECKING:
    from collections.abc import Iterator

MS_PER_S = 1_000.0

NEWS_S = 0.25
"""A later crash is news if it is this much later; messages take part of that time."""


@attrs.frozen(kw_only=True)
class _Known:
    share: float
    blamed_s: float


class Confinements:
    """The confined workloads of the last ``FORGET_AFTER_S`` seconds."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], _Known] = {}

    def merge(self, confinement: Confinement, now_s: float) -> bool:
        """Add a confinement, or a later crash that was blamed on its workload.

        The first known share stays, so that all entries choose the same servers.

        Returns
        -------
        bool
            Whether it is news, so that others may not know it either.
        """
        self._expire(now_s)
        key = (confinement.service, confinement.workload)
        blamed_s = now_s - confinement.blamed_ms / MS_PER_S
        known = self._known.get(key)
        if now_s - blamed_s >= FORGET_AFTER_S:
            return False
        if known is not None and blamed_s < known.blamed_s + NEWS_S:
            return False
        share = confinement.share if known is None else known.share
        self._known[key] = _Known(share=share, blamed_s=blamed_s)
        return True

    def current(self, now_s: float) -> Iterator[Confinement]:
        """Yield all confinements as messages that are sent now."""
        self._expire(now_s)
        for (service, workload), known in tuple(self._known.items()):
            yield Confinement(
                service=service,
                workload=workload,
                share=known.share,
                blamed_ms=(now_s - known.blamed_s) * MS_PER_S,
            )

    def _expire(self, now_s: float) -> None:
        for key, known in tuple(self._known.items()):
            if now_s - known.blamed_s >= FORGET_AFTER_S:
                del self._known[key]
