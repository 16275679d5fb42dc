"""Confines workloads whose tasks crash backend servers to a part of the fleet."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from verbenaplank.crashes.containment import CrashContainment
from verbenaplank.crashes.workload_shares import WorkloadShares
from verbenaplank.entry import decision_log

if TYPE_CHECKING:
    from verbenaplank.entry.submission import Submission
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.protocol.crash import CrashReport


class CrashConfinement:
    """Applies the evidence of crashes to the fleet of one entry.

    Parameters
    ----------
    fleet
        Keeps confined workloads to their part of the backend servers.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._containment = CrashContainment()
        self._shares: defaultdict[str, WorkloadShares] = defaultdict(WorkloadShares)
        self._confined: frozenset[str] = frozenset()

    @property
    def confined(self) -> frozenset[str]:
        """Return the confined workloads."""
        return self._confined

    def on_job(self, submission: Submission, now_s: float) -> None:
        """Count an admitted job, so that its workload's share is known."""
        work_core_s = (
            len(submission.payloads)
            * submission.declared_run_time_s
            * submission.needs.cores
        )
        shares = self._shares[submission.service]
        shares.add_job(submission.workload, work_core_s, now_s)

    def on_crash(self, report: CrashReport, now_s: float) -> None:
        """Record a crash as evidence against the workloads of its suspects."""
        self._containment.record(report, now_s)

    def update(self, now_s: float) -> None:
        """Confine and release workloads as the evidence says now."""
        job_shares: dict[str, float] = {}
        for shares in self._shares.values():
            job_shares |= shares.job_shares()
        confined = self._containment.update(job_shares, now_s)
        if confined == self._confined:
            return
        for service, shares in self._shares.items():
            parts = {
                workload: shares.work_share(workload)
                for workload in confined & shares.job_shares().keys()
            }
            self._fleet.confine(service, parts, now_s)
        decision_log.confinement_changed(
            began=sorted(confined - self._confined),
            ended=sorted(self._confined - confined),
        )
        self._confined = confined
