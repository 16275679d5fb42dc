"""Logs the decisions of an agent about its tasks, one line for each.

The ``job_id`` field has the same value as in the log of the entry and begins with the
id that the caller gave to the job.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from verbenaplank.history.event import EventKind

if TYPE_CHECKING:
    from collections.abc import Collection

    from verbenaplank.agent.active_run import ActiveRun
    from verbenaplank.agent.effects import EntryKey
    from verbenaplank.agent.lease_protocol import RunId
    from verbenaplank.agent.report import BackendServerReport
    from verbenaplank.history.event import Event
    from verbenaplank.placement.task import Resources
    from verbenaplank.protocol.crash import CrashReport
    from verbenaplank.protocol.membership import EvacuationList

MESSAGES = {
    EventKind.STARTED: "run started",
    EventKind.ENDED: "run ended",
    EventKind.REFUSED: "dispatch refused",
    EventKind.JOINED: "agent accepts dispatches",
    EventKind.LEFT: "agent no longer accepts dispatches",
}

logger = logging.getLogger(__name__)


def log_event(event: Event) -> None:
    """Log an event, with its detail in the log field ``outcome``."""
    extra: dict[str, object] = {}
    if event.job_id:
        extra = {
            "job_id": event.job_id,
            "task_index": event.task_index,
            "attempt": event.attempt,
        }
    if event.detail:
        extra["outcome"] = event.detail
    logger.info(MESSAGES[event.kind], extra=extra)


def log_entry_connected(entry: EntryKey, lease_left_s: float) -> None:
    """Log that an entry opened a stream, and how long its lease still lasts."""
    logger.info("entry connected", extra=_entry_fields(entry, lease_left_s))


def log_entry_disconnected(entry: EntryKey, lease_left_s: float, runs: int) -> None:
    """Log that the stream of an entry closed; its runs go on for the rest of the lease.

    Parameters
    ----------
    runs
        Number of runs of the entry.
    """
    extra = _entry_fields(entry, lease_left_s) | {"runs": runs}
    logger.info("entry disconnected", extra=extra)


def log_stop_requested(task_id: str, cause: str) -> None:
    """Log that the agent asks the backend server to stop a run, and why."""
    job_id, index, attempt = task_id.rsplit("/", 2)
    extra = {
        "job_id": job_id,
        "task_index": int(index),
        "attempt": int(attempt),
        "cause": cause,
    }
    logger.info("run stop requested", extra=extra)


def log_start_unanswered(run: RunId, cause: str) -> None:
    """Log that a start request got no usable reply; the run may have started."""
    extra = {"task": run.task, "run": run.number, "cause": cause}
    logger.warning("start request got no usable reply", extra=extra)


def log_stop_unanswered(run: RunId, cause: str) -> None:
    """Log that the first request to stop a run got no usable reply."""
    extra = {"task": run.task, "run": run.number, "cause": cause}
    logger.warning("stop request got no usable reply", extra=extra)


def log_take_over(fence: int, clock_ms: int, *, refused: bool) -> None:
    """Log that the agent sends its fencing token to the backend server.

    Parameters
    ----------
    fence
        The fencing token.
    clock_ms
        The backend server's clock in its reply.
    refused
        Whether the backend server has seen a higher token.
    """
    extra = {"fence": fence, "clock_ms": clock_ms, "refused": refused}
    logger.log(
        logging.WARNING if refused else logging.INFO, "fencing token sent", extra=extra
    )


def log_unknown_run(run: RunId) -> None:
    """Log that the backend server lists a run that this agent did not start."""
    extra = {"task": run.task, "run": run.number}
    logger.warning("unknown run stopped", extra=extra)


def log_poll_failed(cause: str, silent_s: float, runs: int) -> None:
    """Log the first failed poll, after which the lease of the runs may expire."""
    extra = {"cause": cause, "silent_ms": round(silent_s * 1_000), "runs": runs}
    logger.warning("lease not renewed", extra=extra)


def log_lease_must_end(runs: Collection[ActiveRun]) -> None:
    """Log that a poll does not extend the lease, as a run would go on for too long."""
    stopping = sum(run.stop_requested for run in runs)
    extra = {"runs": len(runs), "stopping": stopping}
    logger.warning("lease of all runs must end", extra=extra)


def log_poll_recovered(silent_s: float) -> None:
    """Log that a poll succeeded again, and the time since the reply before it."""
    extra = {"silent_ms": round(silent_s * 1_000)}
    logger.info("backend server answers polls again", extra=extra)


def log_crash(report: CrashReport) -> None:
    """Log that the backend server crashed, or that it answers again after all.

    Each run is logged as its task, its number and whether it is a suspect.
    """
    logger.warning(
        "backend server crashed",
        extra={
            "backend_server": report.backend_server,
            "life": report.incarnation,
            "evidence": report.evidence,
            "runs": [(run.task, run.number, run.suspect) for run in report.runs],
        },
    )


def log_new_incarnation(report: BackendServerReport) -> None:
    """Log a status report of another incarnation than the one before."""
    logger.info("backend server incarnation reported", extra=_report_fields(report))


def log_lease_in_doubt(report: BackendServerReport, in_doubt_s: float) -> None:
    """Log that nothing starts while a lease for a former life may last."""
    extra = _report_fields(report) | {"in_doubt_ms": round(in_doubt_s * 1_000)}
    logger.warning("lease of a former life may last", extra=extra)


def log_runs_in_doubt(report: BackendServerReport) -> None:
    """Log that runs are not reported yet, because the next life may have begun them."""
    extra = _report_fields(report)
    logger.warning("runs of a former life are in doubt", extra=extra)


def log_challenger(report: BackendServerReport, *, answers: bool) -> None:
    """Log whether another incarnation than the served one answers, and replaces it."""
    extra = _report_fields(report) | {"answers": answers}
    logger.info("another backend server incarnation reported", extra=extra)


def log_resized(worker: Resources) -> None:
    """Log that the resources of the worker have changed."""
    extra = {
        "cores": worker.cores,
        "memory_mb": worker.memory_mb,
        "accelerators": worker.accelerators,
    }
    logger.info("worker resized", extra=extra)


def log_cold(report: BackendServerReport) -> None:
    """Log that the backend server has become cold, or reports that it no longer is."""
    extra = {
        "backend_server": report.server_id,
        "remaining_ms": round(report.cold_remaining_ms),
    }
    logger.info("cold time changed", extra=extra)


def log_evacuations(evacuations: EvacuationList, *, evacuated: bool) -> None:
    """Log the evacuated data centres in force, and whether this one is among them."""
    extra = {
        "revision": evacuations.revision,
        "data_centres": list(evacuations.data_centres),
        "evacuated": evacuated,
    }
    logger.info("evacuations in force", extra=extra)


def _entry_fields(entry: EntryKey, lease_left_s: float) -> dict[str, object]:
    return {
        "entry": entry.entry_id,
        "entry_incarnation": entry.incarnation,
        "lease_left_ms": round(lease_left_s * 1_000),
    }


def _report_fields(report: BackendServerReport) -> dict[str, object]:
    return {
        "backend_server": report.server_id,
        "life": report.incarnation,
        "service": report.service,
        "address": report.address,
    }
