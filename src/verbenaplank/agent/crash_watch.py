"""Recognises the crash of one incarnation of a backend server, without I/O.

A backend server that is cut off or paused goes silent like one that has crashed, but
answers again later.  Only closed connections with refused new ones, or another
incarnation in its place, count as a crash.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from uuid import uuid4

import attrs

from verbenaplank.protocol.crash import CrashedRun
from verbenaplank.protocol.crash import CrashEvidence
from verbenaplank.protocol.crash import CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from verbenaplank.agent.active_run import ActiveRun
    from verbenaplank.agent.lease_protocol import RunId
    from verbenaplank.clock.sources import MonotonicClock

RECENT_START_S = 0.1
"""Without an unanswered start, the runs that started within this time before the crash
are the suspects."""


@attrs.frozen(kw_only=True)
class WatchedServer:
    """The incarnation of a backend server that is watched, and its agent."""

    agent_id: str
    backend_server: str
    incarnation: str


class CrashWatch:
    """Collects the runs that end with an incarnation, and reports its crash.

    Parameters
    ----------
    server
        The incarnation that is watched.
    clock
        The monotonic clock, in seconds.
    report
        Called with each report.
    """

    def __init__(
        self,
        server: WatchedServer,
        clock: MonotonicClock,
        report: Callable[[CrashReport], None],
    ) -> None:
        self._server = server
        self._clock = clock
        self._report = report
        self._observer = uuid4().hex
        self._revisions = itertools.count(1)
        self._lost: dict[RunId, CrashedRun] = {}
        self._is_silent = False
        self._is_refusing = False
        self._is_reported = False

    def on_silent(self, runs: Iterable[ActiveRun], *, refused: bool) -> None:
        """Record that the backend server does not answer.

        Parameters
        ----------
        runs
            The runs that may be active there.
        refused
            Whether it refuses connections.
        """
        if not self._is_silent:
            self._is_silent = True
            self._lost = self._crashed_runs(runs)
        if not refused or self._is_refusing:
            return
        self._is_refusing = True
        self._lost = self._crashed_runs(runs) | self._lost
        if self._lost:
            self._is_reported = True
            self._send(CrashEvidence.REFUSED)

    def on_answer(self) -> None:
        """Record that the watched incarnation answers again."""
        self._is_silent = self._is_refusing = False
        self._lost = {}
        if self._is_reported:
            self._is_reported = False
            self._send(CrashEvidence.WITHDRAWN)

    def on_replaced(self, runs: Iterable[ActiveRun], *, planned: bool) -> None:
        """Record that another incarnation has taken the place of the watched one.

        Parameters
        ----------
        planned
            Whether the watched incarnation had announced its end.
        """
        if not self._is_silent:
            self._lost = self._crashed_runs(runs)
        if self._lost and not planned:
            self._send(CrashEvidence.RESTARTED)
        elif self._is_reported:
            self._send(CrashEvidence.WITHDRAWN)
        self._lost = {}
        self._is_silent = self._is_refusing = self._is_reported = False

    def _crashed_runs(self, runs: Iterable[ActiveRun]) -> dict[RunId, CrashedRun]:
        active = [run for run in runs if not run.end.done()]
        suspects = self._suspects(active)
        return {
            run.run_id: CrashedRun(
                task=run.run_id.task,
                number=run.run_id.number,
                workload=run.workload,
                suspect=run.run_id in suspects,
            )
            for run in active
        }

    def _suspects(self, active: list[ActiveRun]) -> set[RunId]:
        unanswered = {run.run_id for run in active if not run.start_acknowledged}
        since_s = self._clock() - RECENT_START_S
        recent = {run.run_id for run in active if run.started_s >= since_s}
        return unanswered or recent or {run.run_id for run in active}

    def _send(self, evidence: CrashEvidence) -> None:
        runs = () if evidence is CrashEvidence.WITHDRAWN else self._lost.values()
        self._report(
            CrashReport(
                agent_id=self._server.agent_id,
                backend_server=self._server.backend_server,
                incarnation=self._server.incarnation,
                observer=self._observer,
                revision=next(self._revisions),
                evidence=evidence,
                runs=tuple(runs),
            )
        )
