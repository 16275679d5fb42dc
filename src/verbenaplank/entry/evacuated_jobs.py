"""Finds the jobs that cannot start because all servers for them are evacuated."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from verbenaplank.outcome.failure import FailureKind
from verbenaplank.outcome.rejection import Rejection
from verbenaplank.overload.refusal import RefusalCause
from verbenaplank.placement.feasibility import Feasibility

if TYPE_CHECKING:
    from verbenaplank.entry.dispatch_table import DispatchTable
    from verbenaplank.entry.jobs import JobTable
    from verbenaplank.placement.fleet import Fleet

CHECK_PERIOD_S = 0.1
"""Time between two checks, which bounds their processor time."""

EVACUATED_DETAIL = "every data centre with servers that could run it is evacuated"
EVACUATED = Rejection(
    kind=FailureKind.NOT_READY, detail=EVACUATED_DETAIL, cause=RefusalCause.EVACUATED
)


class EvacuatedJobs:
    """Finds jobs none of whose tasks has started or can start.

    A job of which a task has started is kept: the rest of it may still start after a
    withdrawal.

    Parameters
    ----------
    jobs
        The jobs in progress.
    dispatch_table
        Tells whether a task of a job may have started.
    fleet
        Knows which backend servers are evacuated.
    """

    def __init__(
        self, jobs: JobTable, dispatch_table: DispatchTable, fleet: Fleet
    ) -> None:
        self._jobs = jobs
        self._dispatch_table = dispatch_table
        self._fleet = fleet
        self._checked_s = -math.inf

    def find(self, now_s: float) -> list[str]:
        """Return the ids of these jobs, if a check is due."""
        if not self._fleet.has_evacuations or now_s < self._checked_s + CHECK_PERIOD_S:
            return []
        self._checked_s = now_s
        return [
            job.submission.job_id
            for job in self._jobs
            if not self._dispatch_table.may_have_started(job.submission.job_id)
            and self._fleet.capacity.feasibility(
                job.submission.service, job.submission.needs
            )
            is Feasibility.EVACUATED
        ]
