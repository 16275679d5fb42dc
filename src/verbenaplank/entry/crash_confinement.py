"""Confines workloads whose tasks crash backend servers to a part of the fleet."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from verbenaplank.crashes.confinements import MS_PER_S
from verbenaplank.crashes.confinements import Confinements
from verbenaplank.crashes.containment import CrashContainment
from verbenaplank.crashes.workload_shares import WorkloadShares
from verbenaplank.entry import decision_log
from verbenaplank.protocol.crash import Confinement

if TYPE_CHECKING:
    from verbenaplank.entry.submission import Submission
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.protocol.crash import CrashReport


class CrashConfinement:
    """Applies the evidence of crashes, of this entry and of others, to its fleet.

    Parameters
    ----------
    fleet
        Keeps confined workloads to their part of the backend servers.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._containment = CrashContainment()
        self._shares: defaultdict[str, WorkloadShares] = defaultdict(WorkloadShares)
        self._service_of: dict[str, str] = {}
        self._known = Confinements()
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
        self._service_of[submission.workload] = submission.service
        shares = self._shares[submission.service]
        shares.add_job(submission.workload, work_core_s, now_s)

    def on_crash(self, report: CrashReport, now_s: float) -> None:
        """Record a crash as evidence against the workloads of its suspects."""
        self._containment.record(report, now_s)

    def on_confinement(self, confinement: Confinement, now_s: float) -> None:
        """Confine a workload that another entry has confined."""
        if not self._known.merge(confinement, now_s):
            return
        self._service_of[confinement.workload] = confinement.service
        blamed_s = now_s - confinement.blamed_ms / MS_PER_S
        self._containment.adopt(confinement.workload, blamed_s)

    def current(self, now_s: float) -> list[Confinement]:
        """Return the confinements, to be sent to an agent that has connected."""
        return list(self._known.current(now_s))

    def update(self, now_s: float) -> list[Confinement]:
        """Confine and release workloads as the evidence says now.

        Returns
        -------
        list of Confinement
            News to be sent to all connected agents.
        """
        job_shares: dict[str, float] = {}
        for shares in self._shares.values():
            job_shares |= shares.job_shares()
        confined = self._containment.update(job_shares, now_s)
        news = self._merge_own(confined, now_s)
        if confined != self._confined:
            self._apply(confined, now_s)
        return news

    def _merge_own(self, confined: frozenset[str], now_s: float) -> list[Confinement]:
        """Return what this entry knows of its confined workloads and others may not."""
        own = [self._own_confinement(workload, now_s) for workload in sorted(confined)]
        return [item for item in own if self._known.merge(item, now_s)]

    def _own_confinement(self, workload: str, now_s: float) -> Confinement:
        service = self._service_of.get(workload, "")
        blamed_s = self._containment.blamed_s(workload)
        return Confinement(
            service=service,
            workload=workload,
            share=self._shares[service].work_share(workload),
            blamed_ms=(now_s - blamed_s) * MS_PER_S,
        )

    def _apply(self, confined: frozenset[str], now_s: float) -> None:
        parts: defaultdict[str, dict[str, float]] = defaultdict(dict)
        for known in self._known.current(now_s):
            if known.workload in confined:
                parts[known.service][known.workload] = known.share
        for service in {*parts, *self._service_of.values()}:
            self._fleet.confine(service, parts[service], now_s)
        decision_log.confinement_changed(
            began=sorted(confined - self._confined),
            ended=sorted(self._confined - confined),
            parts=parts,
        )
        self._confined = confined
