"""Events that callers, entries, agents and backend servers record."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import StrEnum

import attrs

from verbenaplank.outcome.failure import RunState


class EventKind(StrEnum):
    """What happened.

    ``REQUESTED`` and ``ANSWERED`` come from callers, ``DISPATCHED`` from
    entries, ``JOINED``, ``STARTED``, ``ENDED``, ``REFUSED`` and ``LEFT`` from
    agents, ``BACKEND_STARTED`` and ``BACKEND_ENDED`` from backend servers.
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
    """How a request was answered."""

    COMPLETE = "complete"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class Event:
    """One event of one process.

    Attributes
    ----------
    time_s
        Seconds on the machine's monotonic clock.
    process
        Name of the caller or of the process that recorded the event.
    attempt
        The allowed run of the task, counted from 1.
    idempotent
        On ``REQUESTED``: whether the request may run more than once.
    max_runs
        On ``REQUESTED``: how often each task may start.
    tasks
        On ``REQUESTED``: what each task's result must hold, in order.
    results
        On ``ANSWERED``: what each result held, in order.
    state
        On ``ANSWERED``: whether the answer is complete or failed.
    run
        On a failed ``ANSWERED``: what the answer says of the tasks' starts.
    detail
        The outcome of a run or the reason for a refusal.
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
"""Receives each event as it happens."""


def ignore_event(event: Event) -> None:
    """Record nothing."""


def event_time_s() -> float:
    """Return the time for an event, comparable between a machine's processes."""
    return time.monotonic()
