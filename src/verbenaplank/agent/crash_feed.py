"""Passes on what an agent and the entries connected to it know of crashes."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.crash_watch import WatchedServer
from verbenaplank.crashes.confinements import Confinements
from verbenaplank.crashes.history import CrashHistory
from verbenaplank.protocol.crash import CrashEvidence

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from verbenaplank.clock.sources import MonotonicClock
    from verbenaplank.protocol.crash import Confinement
    from verbenaplank.protocol.crash import CrashReport

    SendNews = Callable[[CrashReport | Confinement], None]


class CrashFeed:
    """Crash reports and confined workloads that an agent knows.

    It outlives the agent's instances.

    Parameters
    ----------
    clock
        The monotonic clock, in seconds.
    """

    def __init__(self, clock: MonotonicClock) -> None:
        self._clock = clock
        self._history = CrashHistory()
        self._confinements = Confinements()
        self._subscribers: list[SendNews] = []
        self._served: WatchedServer | None = None

    def set_served(self, server: WatchedServer) -> None:
        """Record which incarnation of the backend server the agent serves now."""
        self._served = server
        for report in self._history:
            self._resolve(report)

    def add(self, report: CrashReport, source: SendNews | None = None) -> None:
        """Remember a report, and pass it on if it is news.

        Parameters
        ----------
        source
            The subscriber from which the report came, if any; it is left out.
        """
        if not self._history.merge(report, self._clock()):
            return
        self._pass_on(report, source)
        if source is not None:
            self._resolve(report)

    def add_confinement(self, confinement: Confinement, source: SendNews) -> None:
        """Remember a confined workload, and pass it on if it is news."""
        if self._confinements.merge(confinement, self._clock()):
            self._pass_on(confinement, source)

    def _pass_on(
        self, news: CrashReport | Confinement, source: SendNews | None
    ) -> None:
        for send in self._subscribers:
            if send is not source:
                send(news)

    def _resolve(self, report: CrashReport) -> None:
        """Confirm or withdraw a report that an earlier process of this agent left."""
        served = self._served
        if served is None or report.evidence is not CrashEvidence.REFUSED:
            return
        observed = WatchedServer(
            agent_id=report.agent_id,
            backend_server=report.backend_server,
            incarnation=report.incarnation,
        )
        if report.agent_id != served.agent_id:
            return
        is_alive = observed == served
        self.add(
            attrs.evolve(
                report,
                evidence=(
                    CrashEvidence.WITHDRAWN if is_alive else CrashEvidence.RESTARTED
                ),
                revision=report.revision + 1,
                runs=() if is_alive else report.runs,
            )
        )

    @contextmanager
    def subscribe(self, send: SendNews) -> Iterator[None]:
        """Pass all that is known, and all later news, to ``send``."""
        for report in self._history:
            send(report)
        for confinement in self._confinements.current(self._clock()):
            send(confinement)
        self._subscribers.append(send)
        try:
            yield
        finally:
            self._subscribers.remove(send)
