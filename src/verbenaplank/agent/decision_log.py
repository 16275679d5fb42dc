"""Logs the decisions of an agent about its tasks, one line for each.

The ``job_id`` field has the same value as in the log of the entry and begins with the
caller's id.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from verbenaplank.history.event import EventKind

if TYPE_CHECKING:
    from verbenaplank.agent.lease_protocol import RunId
    from verbenaplank.history.event import Event

MESSAGES = {
    EventKind.STARTED: "run started",
    EventKind.ENDED: "run ended",
    EventKind.REFUSED: "dispatch refused",
    EventKind.JOINED: "dispatches accepted",
    EventKind.LEFT: "dispatches no longer accepted",
}

logger = logging.getLogger(__name__)


def log_event(event: Event) -> None:
    """Log an event; ``outcome`` is the outcome of a run or the reason of a refusal."""
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


def log_run_stopped(task_id: str, cause: str) -> None:
    """Log that the agent stops a run, and why."""
    job_id, index, attempt = task_id.rsplit("/", 2)
    extra = {
        "job_id": job_id,
        "task_index": int(index),
        "attempt": int(attempt),
        "cause": cause,
    }
    logger.info("run stopped", extra=extra)


def log_start_unanswered(run: RunId, cause: str) -> None:
    """Log that a start request got no reply, so that the run may start or not."""
    extra = {"task": run.task, "run": run.number, "cause": cause}
    logger.warning("start request not answered", extra=extra)


def log_poll_failed(cause: str, silent_s: float, runs: int) -> None:
    """Log the first failed poll, after which the lease of the runs may expire."""
    extra = {"cause": cause, "silent_ms": round(silent_s * 1_000), "runs": runs}
    logger.warning("lease not renewed", extra=extra)


def log_poll_recovered(silent_s: float) -> None:
    """Log that a poll succeeded again, and how long the backend server was silent."""
    extra = {"silent_ms": round(silent_s * 1_000)}
    logger.info("lease renewed again", extra=extra)
