"""Numbers of outstanding tasks by job and rack."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.placement.backend_server import BackendServer


class JobRackCounts:
    """Counts each job's outstanding tasks by rack."""

    def __init__(self) -> None:
        self._counts: dict[str, dict[str, int]] = {}

    def by_rack(self, job_id: str) -> dict[str, int]:
        """Return a job's outstanding tasks by rack; the caller must not change it."""
        return self._counts.get(job_id, NO_TASKS)

    def add(self, job_id: str, server: BackendServer) -> None:
        """Add one task of a job."""
        counts = self._counts.setdefault(job_id, {})
        rack = server.member.rack
        counts[rack] = counts.get(rack, 0) + 1

    def remove(self, job_id: str, server: BackendServer) -> None:
        """Subtract one task of a job; forget a job without outstanding tasks."""
        counts = self._counts.get(job_id)
        rack = server.member.rack
        if counts is None or rack not in counts:
            return
        counts[rack] -= 1
        if counts[rack] == 0:
            del counts[rack]
        if not counts:
            del self._counts[job_id]


NO_TASKS: dict[str, int] = {}
