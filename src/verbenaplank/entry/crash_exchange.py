"""Collects crash reports from agents, counts and logs them, and passes them on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.crashes.history import CrashHistory
from verbenaplank.entry import decision_log
from verbenaplank.entry.effects import Effect
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.protocol.crash import CrashEvidence

if TYPE_CHECKING:
    from collections.abc import Iterable

    from verbenaplank.protocol.crash import CrashReport


@attrs.define
class CrashCounts:
    """Counts of crash reports by their evidence, and of what was done about them.

    Attributes
    ----------
    refused, restarted, withdrawn
        Reports by evidence, each counted once however often it arrives.
    suspected_runs
        Runs in these reports that are suspects.
    jobs_given_up
        Jobs that failed because too many backend servers had crashed under a task.
    """

    refused: int = 0
    restarted: int = 0
    withdrawn: int = 0
    suspected_runs: int = 0
    jobs_given_up: int = 0


class CrashExchange:
    """The crash reports that an entry knows.

    Parameters
    ----------
    effects
        Receives the reports to be sent to agents.

    Attributes
    ----------
    history
        The reports, and the counts by task.
    counts
        Exported as metrics.
    """

    def __init__(self, effects: list[Effect]) -> None:
        self.history = CrashHistory()
        self.counts = CrashCounts()
        self._effects = effects

    def send_all(self, agent_id: str) -> None:
        """Send all known reports to an agent whose stream has opened."""
        for report in self.history:
            self._effects.append(SendToAgent(agent_id, report))

    def receive(
        self, report: CrashReport, source: str, agents: Iterable[str], now_s: float
    ) -> bool:
        """Add a report and pass it on to other agents if it is news.

        Parameters
        ----------
        source
            Id of the agent that sent the report.
        agents
            Ids of all connected agents.

        Returns
        -------
        bool
            Whether the report was news.
        """
        if not self.history.merge(report, now_s):
            return False
        self._count(report)
        decision_log.backend_server_crashed(report, source, self.history)
        for agent_id in agents:
            if agent_id != source:
                self._effects.append(SendToAgent(agent_id, report))
        return True

    def _count(self, report: CrashReport) -> None:
        if report.evidence is CrashEvidence.REFUSED:
            self.counts.refused += 1
        elif report.evidence is CrashEvidence.RESTARTED:
            self.counts.restarted += 1
        else:
            self.counts.withdrawn += 1
        self.counts.suspected_runs += sum(run.suspect for run in report.runs)
