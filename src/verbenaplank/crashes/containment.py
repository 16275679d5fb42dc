"""Decides which workloads are confined because their tasks crash backend servers.

Load pattern: a share of the jobs of one workload crashes each backend server that
starts it.  Every job brings a new task, so giving up single tasks does not help, and
within seconds no backend server is left for any workload.

Each crash is evidence against the workloads of its suspects, as far as they are more
often among the suspects than among all jobs.  The evidence is added up as in a
cumulative sum test, so crashes that hit workloads as often as they run confine none.
"""

from __future__ import annotations

import math
from collections import Counter
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.protocol.crash import CrashEvidence

if TYPE_CHECKING:
    from collections.abc import Mapping

    from verbenaplank.protocol.crash import CrashReport

MOMENT_S = 0.1
"""Crashes within this time have a common cause, such as the loss of a rack."""

FORGET_AFTER_S = 5.0
"""Evidence is dropped, and a workload released, this long after the last crash."""

CONFINING_EVIDENCE = 2.5
MAX_EVIDENCE = 1.0
MIN_EVIDENCE = -0.7
"""Natural logarithms of likelihood ratios: to confine, and limits for one moment.

So it takes three crashes, one after the other, to confine a workload."""

MAX_SEEN_CRASHES = 1_000
"""Number of crashes whose further reports are recognised."""

MIN_SHARE = 0.01
"""Least share of the jobs that is assumed of a workload."""


@attrs.define
class _Moment:
    """Crashes at one time, with the shares of the workloads in their suspects."""

    began_s: float
    shares: list[dict[str, float]] = attrs.field(factory=list)

    def mean_share(self, workload: str) -> float:
        total = sum(shares.get(workload, 0.0) for shares in self.shares)
        return total / len(self.shares)

    def workloads(self) -> set[str]:
        return {workload for shares in self.shares for workload in shares}


class CrashContainment:
    """Evidence of crashes against workloads, without I/O."""

    def __init__(self) -> None:
        self._seen: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._moment: _Moment | None = None
        self._last_crash_s = -math.inf
        self._scores: dict[str, float] = {}
        self._confined: dict[str, float] = {}

    def record(self, report: CrashReport, now_s: float) -> None:
        """Record the first report of a crash; further ones of it change nothing."""
        incarnation = (report.backend_server, report.incarnation)
        if report.evidence is CrashEvidence.WITHDRAWN or incarnation in self._seen:
            return
        shares = suspect_shares(report)
        if not shares:
            return
        self._seen[incarnation] = None
        if len(self._seen) > MAX_SEEN_CRASHES:
            self._seen.popitem(last=False)
        if self._moment is None:
            self._moment = _Moment(now_s)
        self._moment.shares.append(shares)
        self._last_crash_s = now_s

    def adopt(self, workload: str, blamed_s: float) -> None:
        """Confine a workload that another entry has confined.

        Parameters
        ----------
        blamed_s
            Monotonic time of the last crash that was blamed on it.
        """
        known_s = self._confined.get(workload, -math.inf)
        self._confined[workload] = max(known_s, blamed_s)

    def blamed_s(self, workload: str) -> float:
        """Return the time of the last crash blamed on a confined workload."""
        return self._confined[workload]

    def update(self, job_shares: Mapping[str, float], now_s: float) -> frozenset[str]:
        """Apply the evidence of past crashes, and return the confined workloads.

        Parameters
        ----------
        job_shares
            Share of each workload in all recent jobs.
        """
        moment = self._moment
        if moment is not None and now_s - moment.began_s >= MOMENT_S:
            self._moment = None
            self._apply(moment, job_shares)
        if now_s - self._last_crash_s >= FORGET_AFTER_S:
            self._scores.clear()
        for workload, blamed_s in tuple(self._confined.items()):
            if now_s - blamed_s >= FORGET_AFTER_S:
                del self._confined[workload]
                self._scores.pop(workload, None)
        return frozenset(self._confined)

    def _apply(self, moment: _Moment, job_shares: Mapping[str, float]) -> None:
        blamed = moment.workloads()
        for workload in blamed & self._confined.keys():
            self._confined[workload] = moment.began_s
        if any(moment.mean_share(workload) >= 0.5 for workload in self._confined):
            return
        for workload in blamed | self._scores.keys():
            expected = max(job_shares.get(workload, 0.0), MIN_SHARE)
            share = moment.mean_share(workload)
            evidence = _evidence(share, expected)
            score = max(0.0, self._scores.get(workload, 0.0) + evidence)
            self._scores[workload] = score
            if score >= CONFINING_EVIDENCE:
                self._confined.setdefault(workload, moment.began_s)


def suspect_shares(report: CrashReport) -> dict[str, float]:
    """Return the share of each workload in the suspected jobs of a crash.

    The tasks of a job count as one, as they are likely to have started together.
    """
    jobs = {
        (run.workload, run.task.partition(".")[0])
        for run in report.runs
        if run.suspect and run.workload
    }
    counts = Counter(workload for workload, _ in jobs)
    return {workload: count / len(jobs) for workload, count in counts.items()}


def _evidence(share: float, expected: float) -> float:
    """Return the logarithm of how much more often than expected a workload is met."""
    if share <= 0.0:
        return MIN_EVIDENCE
    return min(MAX_EVIDENCE, max(MIN_EVIDENCE, math.log(share / expected)))
