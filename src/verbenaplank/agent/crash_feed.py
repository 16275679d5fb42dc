"""Passes crash reports on between an agent and the entries connected to it."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from verbenaplank.crashes.history import CrashHistory

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.protocol.crash import CrashReport

    SendReport = Callable[[CrashReport], None]


class CrashFeed:
    """Crash reports that an agent knows; it outlives the agent's instances.

    Parameters
    ----------
    clock
        The monotonic clock, in seconds.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        self._clock = clock
        self._history = CrashHistory()
        self._subscribers: list[SendReport] = []

    def add(self, report: CrashReport, source: SendReport | None = None) -> None:
        """Remember a report, and pass it on if it is news.

        Parameters
        ----------
        source
            The subscriber from which the report came, if any; it is left out.
        """
        if not self._history.merge(report, self._clock()):
            return
        for send in self._subscribers:
            if send is not source:
                send(report)

    @contextmanager
    def subscribe(self, send: SendReport) -> Iterator[None]:
        """Pass all known reports and all later ones to ``send``."""
        for report in self._history:
            send(report)
        self._subscribers.append(send)
        try:
            yield
        finally:
            self._subscribers.remove(send)
