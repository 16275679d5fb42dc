"""The log lines of an agent: one for each decision about a task.

``job_id`` is the one of the entry's lines and begins with the caller's id.
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
    EventKind.LEFT: "dispatches refused from now on",
}

logger = logging.getLogger(__name__)


def log_event(event: Event) -> None:
    """Tell of a start, an end with its outcome, a refusal with its reason."""
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


def stop_ordered(task_id: str, cause: str) -> None:
    """Tell that a run is stopped, by its entry's order or a lapsed lease."""
    job_id, index, attempt = task_id.rsplit("/", 2)
    extra = {
        "job_id": job_id,
        "task_index": int(index),
        "attempt": int(attempt),
        "cause": cause,
    }
    logger.info("run stopped", extra=extra)


def start_unanswered(run: RunId, cause: str) -> None:
    """Tell that a start may have been carried out, or may be later."""
    extra = {"task": run.task, "run": run.number, "cause": cause}
    logger.warning("start not answered", extra=extra)


def hold_unanswered(cause: str, silent_s: float, runs: int) -> None:
    """Tell that the backend server falls silent, so that its runs' lease may lapse."""
    extra = {"cause": cause, "silent_ms": round(silent_s * 1_000), "runs": runs}
    logger.warning("lease not renewed", extra=extra)


def hold_answered(silent_s: float) -> None:
    """Tell that the backend server answers again, and how long it did not."""
    extra = {"silent_ms": round(silent_s * 1_000)}
    logger.info("lease renewed again", extra=extra)
