"""Why an entry refuses a job; the values are part of the metrics."""

from __future__ import annotations

from enum import StrEnum

import attrs


class RefusalCause(StrEnum):
    """Cause of a refusal.

    ``NOT_READY``: the entry starts, stops or has lost its lease.
    ``EVENT_LOOP``: the processor of the entry is the bottleneck.
    ``NO_SERVER``: no backend server offers the service, or all of them have crashed.
    ``EVACUATED``: all data centres with servers that could run it are evacuated.
    ``TOO_LARGE``: no worker is large enough.
    ``NO_CAPACITY``: the servers are full, and the queue is too long.
    ``CAPACITY_ELSEWHERE``: the queue is too long, and enough capacity is idle, but what
    each server has left is too small for a task, or the server is too slow.
    ``QUEUE_FULL``: the entry holds as many tasks or requests as it may.
    ``QUOTA``: the team has used up its quota.
    ``HOPELESS``: the job was admitted and left the queue when its expected start was
    too late.
    ``LATEST_START``: the job was admitted and none of its tasks had started in time.
    ``DEADLINE``: the job was admitted and its deadline passed before a task had run.
    """

    NOT_READY = "not_ready"
    EVENT_LOOP = "event_loop"
    NO_SERVER = "no_server"
    EVACUATED = "evacuated"
    TOO_LARGE = "too_large"
    NO_CAPACITY = "no_capacity"
    CAPACITY_ELSEWHERE = "capacity_elsewhere"
    QUEUE_FULL = "queue_full"
    QUOTA = "quota"
    HOPELESS = "hopeless"
    LATEST_START = "latest_start"
    DEADLINE = "deadline"


@attrs.frozen(kw_only=True)
class Refusal:
    """Why a job is refused.

    Attributes
    ----------
    detail
        The reason in one sentence, for a human reader.
    wait_s
        Seconds until the work that is queued now has left; 0 if no queue is the cause.
    """

    cause: RefusalCause
    detail: str
    wait_s: float = 0.0
