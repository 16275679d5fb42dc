"""Remembers which tasks were running on backend servers that crashed, without I/O.

Agents and entries exchange their reports, so each of them knows the crashes that any
connected one has seen.  The loss of an agent or an entry therefore resets no count, and
a job that is submitted again to another entry keeps the counts of its tasks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.protocol.crash import CrashEvidence
from verbenaplank.protocol.crash import CrashReport

if TYPE_CHECKING:
    from collections.abc import Iterator

    from verbenaplank.protocol.crash import CrashedRun

RETENTION_S = 600.0
"""How long a report is remembered; callers submit a job again within seconds."""

MAX_REPORTS = 1_000
MAX_RUNS = 4_000
"""Limit of the runs in all reports; the oldest reports are forgotten first."""

MAX_RUNS_PER_REPORT = 512

ReportKey = tuple[str, str, str]
"""Backend server, its incarnation, and the observer of the crash."""

Incarnation = tuple[str, str]
"""Backend server and its incarnation."""


@attrs.frozen(kw_only=True)
class CrashCount:
    """How many backend servers crashed while a task was running on them.

    Attributes
    ----------
    total
        All of these crashes.
    as_suspect
        Those in which a run of the task was a suspect.
    """

    total: int = 0
    as_suspect: int = 0


@attrs.frozen
class _Entry:
    report: CrashReport
    received_s: float


class CrashHistory:
    """The crash reports of the last ``RETENTION_S`` seconds, and counts by task."""

    def __init__(self) -> None:
        self._reports: OrderedDict[ReportKey, _Entry] = OrderedDict()
        self._keys_by_task: defaultdict[str, set[ReportKey]] = defaultdict(set)
        self._runs = 0

    def __iter__(self) -> Iterator[CrashReport]:
        return iter([entry.report for entry in self._reports.values()])

    def merge(self, report: CrashReport, now_s: float) -> bool:
        """Add a report unless a newer one of the same observer is known.

        Returns
        -------
        bool
            Whether the report is news, so that others may not know it either.
        """
        key = _key(report)
        known = self._reports.get(key)
        if known is not None and known.report.revision >= report.revision:
            return False
        self._remove(key)
        runs = report.runs[:MAX_RUNS_PER_REPORT]
        self._reports[key] = _Entry(attrs.evolve(report, runs=runs), now_s)
        self._runs += len(runs)
        for run in runs:
            self._keys_by_task[run.task].add(key)
        self._evict(now_s)
        return True

    def has_crashes(self, task: str) -> bool:
        """Return whether any report names a task."""
        return task in self._keys_by_task

    def count(self, task: str, *, confirmed: bool = False) -> CrashCount:
        """Return how often backend servers crashed while a task was running there.

        Parameters
        ----------
        confirmed
            Whether to leave out backend servers that may only be cut off.
        """
        keys = self._keys_by_task.get(task)
        if not keys:
            return CrashCount()
        crashed: set[Incarnation] = set()
        suspected: set[Incarnation] = set()
        for key in keys:
            report = self._reports[key].report
            if report.evidence is CrashEvidence.WITHDRAWN:
                continue
            if confirmed and report.evidence is CrashEvidence.REFUSED:
                continue
            crashed.add(key[:2])
            if any(run.suspect for run in _runs_of(report, task)):
                suspected.add(key[:2])
        return CrashCount(total=len(crashed), as_suspect=len(suspected))

    def _evict(self, now_s: float) -> None:
        while self._reports:
            key, oldest = next(iter(self._reports.items()))
            is_recent = now_s - oldest.received_s < RETENTION_S
            if is_recent and self._is_within_limits():
                return
            self._remove(key)

    def _is_within_limits(self) -> bool:
        return len(self._reports) <= MAX_REPORTS and self._runs <= MAX_RUNS

    def _remove(self, key: ReportKey) -> None:
        entry = self._reports.pop(key, None)
        if entry is None:
            return
        self._runs -= len(entry.report.runs)
        for run in entry.report.runs:
            keys = self._keys_by_task[run.task]
            keys.discard(key)
            if not keys:
                del self._keys_by_task[run.task]


def _key(report: CrashReport) -> ReportKey:
    return (report.backend_server, report.incarnation, report.observer)


def _runs_of(report: CrashReport, task: str) -> list[CrashedRun]:
    return [run for run in report.runs if run.task == task]
