"""Logs each decision of an entry about a request or an agent.

Each function logs one event, and its arguments become the fields of the line.
``job_id`` begins with the caller's id, so a search for that id finds all lines of
a request.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from verbenaplank.crashes.history import CrashHistory
    from verbenaplank.entry.dispatch_table import DispatchRecord
    from verbenaplank.entry.submission import Submission
    from verbenaplank.outcome.rejection import Rejection
    from verbenaplank.placement.task import TaskRequest
    from verbenaplank.protocol.crash import CrashReport
    from verbenaplank.protocol.membership import EvacuationList
    from verbenaplank.protocol.peer import RoutedJobName
    from verbenaplank.protocol.work import DispatchRefusal
    from verbenaplank.protocol.work import TaskResult

MS_PER_S = 1_000.0

logger = logging.getLogger(__name__)


def job_admitted(
    submission: Submission, request_id: str, routing_version: int, queued: int
) -> None:
    """Log that a routed job was admitted."""
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
    """Log that a request waits for a job that is already running."""
    extra = {"request_id": request_id, "job_id": job_id}
    logger.info("request joined running job", extra=extra)


def cancel_sent(job: RoutedJobName, state: str, entries: int, unanswered: int) -> None:
    """Log that a cancel was sent to the other entries, and what became of it.

    Parameters
    ----------
    entries
        Number of the other entries.
    unanswered
        Number of those that did not answer.
    """
    extra = {
        "job_id": job.key,
        "route": job.route,
        "outcome": state,
        "entries": entries,
        "unanswered": unanswered,
    }
    logger.info("cancel sent to other entries", extra=extra)


def tasks_placed(job_id: str, placements: Sequence[Placement]) -> None:
    """Log where tasks of a job were sent in one iteration of the event loop.

    Each placement is the task's index, its attempt, the agent's id, and the age of
    that agent's last load report in milliseconds (``None`` before the first).
    """
    logger.info("tasks placed", extra={"job_id": job_id, "placements": placements})


Placement = tuple[int, int, str, float | None]


def task_held(
    task: TaskRequest, rack: str, reason: str, held_s: float, ended_by: str
) -> None:
    """Log that a task was held for a server in a rack, and what ended the hold."""
    logger.info(
        "task held",
        extra={
            "job_id": task.job_id,
            "task_index": task.task_index,
            "attempt": task.attempt,
            "rack": rack,
            "cause": reason,
            "held_ms": _ms(held_s),
            "ended_by": ended_by,
        },
    )


def run_did_not_succeed(
    record: DispatchRecord, result: TaskResult, failed_runs: int, *, again: bool
) -> None:
    """Log the outcome of a run that did not succeed, and whether it is retried."""
    logger.warning(
        "run did not succeed",
        extra={
            **_dispatch_fields(record),
            "outcome": result.outcome,
            "cause": result.error,
            "run_ms": round(result.run_time_ms),
            "failed_runs": failed_runs,
            "again": again,
        },
    )


def dispatch_refused(record: DispatchRecord, refusal: DispatchRefusal) -> None:
    """Log that an agent refused a dispatch, which therefore never starts."""
    logger.info(
        "dispatch refused", extra={**_dispatch_fields(record), "cause": refusal.reason}
    )


def dispatch_revoked(record: DispatchRecord) -> None:
    """Log that a dispatch was revoked before it started."""
    logger.info("dispatch revoked", extra=_dispatch_fields(record))


def dispatch_lost(record: DispatchRecord, cause: str, *, again: bool) -> None:
    """Log that the outcome of a dispatch is unknown, and whether it is retried."""
    extra = {**_dispatch_fields(record), "cause": cause, "again": again}
    logger.warning("dispatch lost", extra=extra)


def backend_server_crashed(
    report: CrashReport, known_by: str, history: CrashHistory
) -> None:
    """Log each run that was in progress when a backend server crashed.

    Parameters
    ----------
    known_by
        Id of the agent that sent the report.
    history
        Counts the crashes of a task, including this one.
    """
    for run in report.runs:
        count = history.count(run.task)
        logger.warning(
            "backend server crashed under run",
            extra={
                "task": run.task,
                "run": run.number,
                "suspect": run.suspect,
                "crashes": count.total,
                "crashes_as_suspect": count.as_suspect,
                "agent": report.agent_id,
                "backend_server": report.backend_server,
                "life": report.incarnation,
                "evidence": report.evidence,
                "known_by": known_by,
            },
        )


def job_aborted(job_id: str, rejection: Rejection) -> None:
    """Log that a job was cancelled, or that its deadline or lease expired."""
    extra = {"job_id": job_id, "kind": rejection.kind, "cause": rejection.detail}
    logger.info("job aborted", extra=extra)


def agent_connected(agent_id: str, incarnation: str) -> None:
    """Log that the stream to an agent is open."""
    extra = {"agent": agent_id, "incarnation": incarnation}
    logger.info("agent connected", extra=extra)


def agent_disconnected(agent_id: str, cause: str, silent_s: float) -> None:
    """Log that an agent's stream closed, and the time since its last message."""
    extra = {"agent": agent_id, "cause": cause, "silent_ms": _ms(silent_s)}
    logger.warning("agent disconnected", extra=extra)


def agent_runs_ended(agent_id: str) -> None:
    """Log that a disconnected agent's leases expired, which ended its runs."""
    logger.warning("leases of disconnected agent expired", extra={"agent": agent_id})


def quarantine_changed(began: Sequence[str], ended: Sequence[str]) -> None:
    """Log which agents entered or left quarantine because of their run outcomes."""
    logger.warning("quarantine changed", extra={"began": began, "ended": ended})


def confinement_changed(
    began: Sequence[str],
    ended: Sequence[str],
    parts: Mapping[str, Mapping[str, float]],
) -> None:
    """Log which workloads were confined to a part of the fleet, or released.

    Parameters
    ----------
    parts
        Share of each confined workload in the work of its service.
    """
    extra = {"began": began, "ended": ended, "parts": parts}
    logger.warning("confinement changed", extra=extra)


def subset_changed(
    added: Sequence[str], retired: Sequence[str], agents: int, widened_by: int
) -> None:
    """Log that the entry uses other agents than before.

    Parameters
    ----------
    agents
        Number of agents that the entry keeps a stream to now.
    widened_by
        Number of agents by which the subset is widened.
    """
    extra = {
        "added": list(added),
        "retired": list(retired),
        "agents": agents,
        "widened_by": widened_by,
    }
    logger.info("agent subset changed", extra=extra)


def members_changed(changed: Sequence[str], left: Sequence[str], version: int) -> None:
    """Log which agents joined, changed or left, and the routing table's version."""
    extra = {"joined": changed, "left": left, "routing_version": version}
    logger.info("members changed", extra=extra)


def routing_in_force(version: int, routes: int) -> None:
    """Log the version and size of the routing table that this entry now uses."""
    extra = {"routing_version": version, "routes": routes}
    logger.info("routing table in force", extra=extra)


def evacuations_in_force(evacuations: EvacuationList) -> None:
    """Log the evacuated data centres that are now in force."""
    extra = {
        "revision": evacuations.revision,
        "data_centres": list(evacuations.data_centres),
    }
    logger.info("evacuations in force", extra=extra)


def readiness_changed(
    *, ready: bool, current: bool, draining: bool, lagging: bool
) -> None:
    """Log that the entry became ready for new requests or unready, and why."""
    extra = {"ready": ready, "current": current, "draining": draining}
    logger.info("readiness changed", extra={**extra, "lagging": lagging})


def _dispatch_fields(record: DispatchRecord) -> dict[str, object]:
    return {
        "job_id": record.task.job_id,
        "task_index": record.task.task_index,
        "attempt": record.task.attempt,
        "agent": record.agent_id,
    }


def _ms(seconds: float) -> int | None:
    return None if seconds == float("inf") else round(seconds * MS_PER_S)
