"""The log lines of an entry: one for each decision about a request or an agent.

Each function is one event; its arguments are the line's fields.  ``job_id`` begins
with the caller's id, so all lines of a request are found by it.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.submission import Submission
    from verbenaplank.outcome.rejection import Rejection
    from verbenaplank.protocol.work import DispatchRefusal
    from verbenaplank.protocol.work import TaskResult

MS_PER_S = 1_000.0

logger = logging.getLogger(__name__)


def job_admitted(
    submission: Submission, request_id: str, routing_version: int, queued: int
) -> None:
    """Tell that a routed job was taken on."""
    logger.info(
        "job admitted",
        extra={
            "request_id": request_id,
            "job_id": submission.job_id,
            "route": submission.workload,
            "priority": submission.priority,
            "tasks": len(submission.payloads),
            "cores": submission.needs.cores,
            "estimate_ms": _ms(submission.declared_run_time_s),
            "goal_ms": _ms(submission.goal_s - submission.received_s),
            "deadline_ms": _ms(submission.deadline_s - submission.received_s),
            "routing_version": routing_version,
            "queued_tasks": queued,
        },
    )


def job_joined(job_id: str, request_id: str) -> None:
    """Tell that a caller waits for a job that runs already."""
    extra = {"request_id": request_id, "job_id": job_id}
    logger.info("job joined", extra=extra)


def tasks_placed(job_id: str, placements: Sequence[Placement]) -> None:
    """Tell where tasks of a job were sent, all at one time.

    Each placement is the task's index, its attempt, the agent, and the age of that
    agent's last report in milliseconds (none before the first).
    """
    logger.info("tasks placed", extra={"job_id": job_id, "placements": placements})


Placement = tuple[int, int, str, float | None]


def run_ended_badly(
    record: DispatchRecord, result: TaskResult, failed_runs: int, *, again: bool
) -> None:
    """Tell that a run did not succeed, and whether the task runs again."""
    logger.warning(
        "run did not succeed",
        extra={
            **_of(record),
            "outcome": result.outcome,
            "cause": result.error,
            "run_ms": round(result.run_time_ms),
            "failed_runs": failed_runs,
            "again": again,
        },
    )


def dispatch_refused(record: DispatchRecord, refusal: DispatchRefusal) -> None:
    """Tell that an agent refused a dispatch, which never starts."""
    logger.info("dispatch refused", extra={**_of(record), "cause": refusal.reason})


def dispatch_revoked(record: DispatchRecord) -> None:
    """Tell that a dispatch was taken back before it started."""
    logger.info("dispatch revoked", extra=_of(record))


def dispatch_lost(record: DispatchRecord, cause: str, *, again: bool) -> None:
    """Tell that the outcome of a run is unknown, and whether the task runs again."""
    extra = {**_of(record), "cause": cause, "again": again}
    logger.warning("dispatch lost", extra=extra)


def job_given_up(job_id: str, rejection: Rejection) -> None:
    """Tell that a job ends without its tasks' results."""
    extra = {"job_id": job_id, "kind": rejection.kind, "cause": rejection.detail}
    logger.info("job given up", extra=extra)


def agent_connected(agent_id: str, incarnation: str) -> None:
    """Tell that tasks can be sent to an agent."""
    extra = {"agent": agent_id, "incarnation": incarnation}
    logger.info("agent connected", extra=extra)


def agent_disconnected(agent_id: str, cause: str, silent_s: float) -> None:
    """Tell that an agent's stream ended, and since when nothing was heard on it."""
    extra = {"agent": agent_id, "cause": cause, "silent_ms": _ms(silent_s)}
    logger.warning("agent disconnected", extra=extra)


def agent_runs_over(agent_id: str) -> None:
    """Tell that a silent agent's runs must have ended, as all leases have lapsed."""
    logger.warning("agent silent, its runs are over", extra={"agent": agent_id})


def quarantine_changed(began: Sequence[str], ended: Sequence[str]) -> None:
    """Tell which agents get no tasks, or get them again, by what their runs did."""
    logger.warning("quarantine changed", extra={"began": began, "ended": ended})


def members_changed(changed: Sequence[str], left: Sequence[str], version: int) -> None:
    """Tell which agents the entry was told of; ``version`` is the routing table's."""
    extra = {"joined": changed, "left": left, "routing_version": version}
    logger.info("members changed", extra=extra)


def routing_in_force(version: int, routes: int) -> None:
    """Tell that a routing table is in force here."""
    extra = {"routing_version": version, "routes": routes}
    logger.info("routing table in force", extra=extra)


def readiness_changed(*, ready: bool, current: bool, draining: bool) -> None:
    """Tell that new callers may come, or no longer, and why."""
    extra = {"ready": ready, "current": current, "draining": draining}
    logger.info("readiness changed", extra=extra)


def _of(record: DispatchRecord) -> dict[str, object]:
    return {
        "job_id": record.task.job_id,
        "task_index": record.task.task_index,
        "attempt": record.task.attempt,
        "agent": record.agent_id,
    }


def _ms(seconds: float) -> int | None:
    return None if seconds == float("inf") else round(seconds * MS_PER_S)
