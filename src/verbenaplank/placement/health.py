"""Quarantine of backend servers that fail whatever they start.

A failure says little by itself: the job may be one that can never run.  It
counts against a backend server once per job, unless tasks of the same job
succeeded elsewhere; it does not count at all when the job failed elsewhere and
succeeded nowhere.  How much evidence is needed grows with the share of
failures that the other backend servers show.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Collection

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.settings import HealthSettings
    from verbenaplank.placement.task import TaskRequest

USUAL_FAILURE_SHARE = 0.02
FAILURE_SHARE_GAIN = 0.1
MAX_WEIGHT_PER_JOB = 2


@attrs.define
class _JobEvidence:
    failed_on: set[str] = attrs.field(factory=set)
    succeeded_on: set[str] = attrs.field(factory=set)


class Health:
    """Evidence of failures by job, and the quarantine that follows from it."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._jobs: OrderedDict[str, _JobEvidence] = OrderedDict()

    def is_usable(self, server: BackendServer, now_s: float) -> bool:
        """Return whether health lets a backend server have one more task.

        After a quarantine, and while under suspicion, it gets one at a time.
        """
        if not (server.on_trial or server.suspected_jobs):
            return True
        return now_s >= server.quarantined_until_s and not server.outstanding

    def avoids(self, task: TaskRequest, server: BackendServer) -> bool:
        """Return whether the task's job should not return to a backend server."""
        return (
            task.job_id in server.suspected_jobs
            or server.member_id in task.avoided_members
        )

    def succeeded(self, server: BackendServer, task: TaskRequest) -> None:
        """Take a success as evidence."""
        evidence = self._jobs.get(task.job_id)
        if evidence is not None:
            evidence.succeeded_on.add(server.member_id)
        server.suspected_jobs.clear()
        server.failure_share -= FAILURE_SHARE_GAIN * server.failure_share
        if not server.on_trial:
            return
        server.trial_successes += 1
        if server.trial_successes >= self._settings.successes_to_return:
            server.on_trial = False
            server.quarantine_s = 0.0

    def failed(
        self,
        server: BackendServer,
        task: TaskRequest,
        peers: Collection[BackendServer],
        now_s: float,
    ) -> None:
        """Take a failure as evidence, and quarantine where it suffices.

        ``peers`` are the backend servers of the same service.
        """
        self._evidence(task.job_id).failed_on.add(server.member_id)
        server.failure_share += FAILURE_SHARE_GAIN * (1.0 - server.failure_share)
        count = server.suspected_jobs.get(task.job_id, 0)
        server.suspected_jobs[task.job_id] = count + 1
        if now_s < server.quarantined_until_s:
            return
        needed = 1 if server.on_trial else self._needed(server, peers)
        if self._weight(server) >= needed and self._may_quarantine(
            server, peers, now_s
        ):
            self._quarantine(server, now_s)

    def job_started(self, job_id: str) -> None:
        """Begin to collect evidence of a job."""
        if job_id not in self._jobs:
            self._evidence(job_id)

    def _evidence(self, job_id: str) -> _JobEvidence:
        evidence = self._jobs.get(job_id)
        if evidence is None:
            evidence = _JobEvidence()
            self._jobs[job_id] = evidence
            if len(self._jobs) > self._settings.max_remembered_jobs:
                self._jobs.popitem(last=False)
        return evidence

    def _weight(self, server: BackendServer) -> int:
        return sum(
            self._weight_of_job(server, job_id, failures)
            for job_id, failures in server.suspected_jobs.items()
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

    def _needed(self, server: BackendServer, peers: Collection[BackendServer]) -> int:
        others = [peer.failure_share for peer in peers if peer is not server]
        mean = sum(others) / len(others) if others else 1.0
        share = min(max(mean, USUAL_FAILURE_SHARE), 0.99)
        needed = math.log(self._settings.chance_of_error) / math.log(share)
        return max(self._settings.minimum_evidence, math.ceil(needed))

    def _may_quarantine(
        self, server: BackendServer, peers: Collection[BackendServer], now_s: float
    ) -> bool:
        """Return whether the quarantined and the suspected are few enough.

        When many are suspected at once, the cause is not theirs.
        """
        affected = sum(
            1
            for peer in peers
            if peer is server
            or peer.on_trial
            or now_s < peer.quarantined_until_s
            or self._weight(peer) > 0
        )
        return affected <= self._settings.max_quarantined_share * len(peers)

    def _quarantine(self, server: BackendServer, now_s: float) -> None:
        settings = self._settings
        doubled_s = 2.0 * server.quarantine_s
        duration_s = max(settings.first_quarantine_s, doubled_s)
        server.quarantine_s = min(duration_s, settings.max_quarantine_s)
        server.quarantined_until_s = now_s + server.quarantine_s
        server.on_trial = True
        server.trial_successes = 0
        server.suspected_jobs.clear()
