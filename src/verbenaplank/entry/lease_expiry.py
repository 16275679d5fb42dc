"""Fails the claimed jobs of an entry whose lease has expired."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.entry.abort_reasons import LEASE_EXPIRED

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.entry.jobs import JobTable


class LeaseExpiry:
    """Checks the jobs in progress once after each change of the lease.

    Parameters
    ----------
    jobs
        The jobs in progress.
    held_since
        Takes the current monotonic time and returns the monotonic time since which
        the lease has been held without a gap, or infinity.  Both are in seconds.
    """

    def __init__(self, jobs: JobTable, held_since: Callable[[float], float]) -> None:
        self._jobs = jobs
        self._held_since = held_since
        self._checked_since_s = float("-inf")

    def fail_jobs(self, now_s: float) -> None:
        """Fail claimed jobs as ``OUTCOME_UNKNOWN`` once the lease has expired.

        From then on, another entry may return that outcome for the same id.
        """
        since_s = self._held_since(now_s)
        if since_s == self._checked_since_s:
            return
        self._checked_since_s = since_s
        for job in self._jobs:
            if job.submission.claimed and job.submission.received_s < since_s:
                self._jobs.fail_immediately(job, LEASE_EXPIRED, now_s)
