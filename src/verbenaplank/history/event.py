"""Defines the events that callers, entries, agents and backend servers record."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import StrEnum

import attrs

from verbenaplank.outcome.failure import RunState


class EventKind(StrEnum):
    """Kind of an event.

    Callers record ``REQUESTED`` and ``ANSWERED``, entries ``DISPATCHED``, agents
    ``JOINED``, ``STARTED``, ``ENDED``, ``REFUSED`` and ``LEFT``, and backend servers
    ``BACKEND_STARTED`` and ``BACKEND_ENDED``.
    """

    REQUESTED = "requested"
    ANSWERED = "answered"
    DISPATCHED = "dispatched"
    JOINED = "joined"
    STARTED = "started"
    ENDED = "ended"
    REFUSED = "refused"
    LEFT = "left"
    BACKEND_STARTED = "backend_started"
    BACKEND_ENDED = "backend_ended"


class AnswerState(StrEnum):
    """Whether a request was answered with all results or with a failure."""

    COMPLETE = "complete"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class Event:
    """One event that a process recorded.

    Attributes
    ----------
    time_s
        Time on the monotonic clock of the machine, in seconds.
    process
        Name of the caller or of the process that recorded the event.
    job_id
        Id of the job; empty if the event belongs to no job.
    task_index
        Index of the task in its job; -1 if the event belongs to no task.
    attempt
        Number of the attempt to run the task, counted from 1.
    idempotent
        On ``REQUESTED``: whether the tasks may run more than once.
    max_runs
        On ``REQUESTED``: how often each task may start.
    tasks
        On ``REQUESTED``: expected content of each result, in order.
    results
        On ``ANSWERED``: actual content of each result, in order.
    state
        On ``ANSWERED``: whether the answer is complete or failed.
    run
        On a failed ``ANSWERED``: whether tasks ran, according to the answer.
    detail
        Outcome of a run or reason for a refusal.
    """

    kind: EventKind
    time_s: float
    process: str
    job_id: str = ""
    task_index: int = -1
    attempt: int = 1
    idempotent: bool = False
    max_runs: int = 1
    tasks: tuple[str, ...] = ()
    results: tuple[str, ...] = ()
    state: AnswerState | None = None
    run: RunState | None = None
    detail: str = ""


EventHook = Callable[[Event], None]
"""Called with each event when it happens."""


def ignore_event(event: Event) -> None:
    """Discard an event."""


def event_time_s() -> float:
    """Return the current event time in seconds, comparable across one machine."""
    return time.monotonic()
