"""Quarantine of backend servers on which the tasks of several jobs fail.

A single failure is weak evidence, since the job itself may be unable to run.
The failures of one job on a backend server therefore count as one.  If tasks of
the job succeeded elsewhere, up to ``MAX_WEIGHT_PER_JOB`` failures count; if tasks
of the job failed elsewhere and succeeded nowhere else, none counts.  The evidence
required grows with the share of failures on the other servers.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.protocol.work import TaskOutcome

if TYPE_CHECKING:
    from collections.abc import Collection

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.settings import HealthSettings
    from verbenaplank.placement.task import TaskRequest

MIN_FAILURE_SHARE = 0.02
FAILURE_SHARE_GAIN = 0.1
MAX_WEIGHT_PER_JOB = 2
FAILURES = frozenset(
    {
        TaskOutcome.FAILED,
        TaskOutcome.TIMED_OUT,
        TaskOutcome.CONNECTION_LOST,
        TaskOutcome.NOT_STARTED,
    }
)

SLOW_FAILURES = frozenset({TaskOutcome.TIMED_OUT, TaskOutcome.NOT_STARTED})
"""Failures that are no evidence on a cold server, because it is slow for a while."""


@attrs.define
class _JobEvidence:
    failed_on: set[str] = attrs.field(factory=set)
    succeeded_on: set[str] = attrs.field(factory=set)


class HealthTracker:
    """Collects failures by job, and quarantines backend servers that keep failing."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._jobs: OrderedDict[str, _JobEvidence] = OrderedDict()

    def is_usable(self, server: BackendServer, now_s: float) -> bool:
        """Return whether the health of a backend server allows one more task.

        It gets none during a quarantine, and one at a time during the probation
        that follows and while its last result was a failure.
        """
        if not (server.on_probation or server.failures_by_job):
            return True
        return now_s >= server.quarantined_until_s and not server.outstanding

    def should_avoid(self, task: TaskRequest, server: BackendServer) -> bool:
        """Return whether a task should go to another backend server if possible.

        This is so if the job failed there since the last success or quarantine of
        the server, or if an earlier attempt of the task went to it.
        """
        return (
            task.job_id in server.failures_by_job
            or server.member_id in task.avoided_members
        )

    def has_failed_somewhere(self, job_id: str) -> bool:
        """Return whether a task of a job has failed on some backend server."""
        evidence = self._jobs.get(job_id)
        return evidence is not None and bool(evidence.failed_on)

    def record_success(self, server: BackendServer, task: TaskRequest) -> None:
        """Record a successful run; enough of them end a probation."""
        evidence = self._jobs.get(task.job_id)
        if evidence is not None:
            evidence.succeeded_on.add(server.member_id)
        server.failures_by_job.clear()
        server.failure_share -= FAILURE_SHARE_GAIN * server.failure_share
        if not server.on_probation:
            return
        server.probation_successes += 1
        if server.probation_successes >= self._settings.successes_to_return:
            server.on_probation = False
            server.quarantine_s = 0.0

    def record_failure(
        self,
        server: BackendServer,
        task: TaskRequest,
        peers: Collection[BackendServer],
        now_s: float,
    ) -> None:
        """Record a failed run, and quarantine the server if the evidence suffices.

        Parameters
        ----------
        peers
            All backend servers of the task's service, including this one.
        """
        self._job_evidence(task.job_id).failed_on.add(server.member_id)
        server.failure_share += FAILURE_SHARE_GAIN * (1.0 - server.failure_share)
        count = server.failures_by_job.get(task.job_id, 0)
        server.failures_by_job[task.job_id] = count + 1
        if now_s < server.quarantined_until_s:
            return
        needed = 1 if server.on_probation else self._required_evidence(server, peers)
        if self._evidence_weight(server) >= needed and self._may_quarantine(
            server, peers, now_s
        ):
            self._quarantine(server, now_s)

    def forget(self, server: BackendServer) -> None:
        """Drop the evidence against a backend server that has restarted."""
        server.failures_by_job.clear()
        server.quarantined_until_s = -math.inf
        server.quarantine_s = 0.0
        server.on_probation = False
        server.probation_successes = 0

    def register_job(self, job_id: str) -> None:
        """Start collecting results of a job as evidence."""
        if job_id not in self._jobs:
            self._job_evidence(job_id)

    def _job_evidence(self, job_id: str) -> _JobEvidence:
        evidence = self._jobs.get(job_id)
        if evidence is None:
            evidence = _JobEvidence()
            self._jobs[job_id] = evidence
            if len(self._jobs) > self._settings.max_remembered_jobs:
                self._jobs.popitem(last=False)
        return evidence

    def _evidence_weight(self, server: BackendServer) -> int:
        return sum(
            self._weight_of_job(server, job_id, failures)
            for job_id, failures in server.failures_by_job.items()
        )

    def _weight_of_job(self, server: BackendServer, job_id: str, failures: int) -> int:
        evidence = self._jobs.get(job_id)
        if evidence is None:
            return 1
        if evidence.succeeded_on - {server.member_id}:
            return min(failures, MAX_WEIGHT_PER_JOB)
        if evidence.failed_on - {server.member_id}:
            return 0
        return 1

    def _required_evidence(
        self, server: BackendServer, peers: Collection[BackendServer]
    ) -> int:
        others = [peer.failure_share for peer in peers if peer is not server]
        mean = sum(others) / len(others) if others else 1.0
        share = min(max(mean, MIN_FAILURE_SHARE), 0.99)
        needed = math.log(self._settings.false_positive_probability) / math.log(share)
        return max(self._settings.minimum_evidence, math.ceil(needed))

    def _may_quarantine(
        self, server: BackendServer, peers: Collection[BackendServer], now_s: float
    ) -> bool:
        """Return whether few enough peers are quarantined or suspected.

        When many are suspected at once, the servers are not the likely cause.
        """
        affected = sum(
            1
            for peer in peers
            if peer is server
            or peer.on_probation
            or now_s < peer.quarantined_until_s
            or self._evidence_weight(peer) > 0
        )
        return affected <= self._settings.max_quarantined_share * len(peers)

    def _quarantine(self, server: BackendServer, now_s: float) -> None:
        settings = self._settings
        doubled_s = 2.0 * server.quarantine_s
        duration_s = max(settings.first_quarantine_s, doubled_s)
        server.quarantine_s = min(duration_s, settings.max_quarantine_s)
        server.quarantined_until_s = now_s + server.quarantine_s
        server.on_probation = True
        server.probation_successes = 0
        server.failures_by_job.clear()
