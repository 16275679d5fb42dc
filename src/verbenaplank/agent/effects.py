"""Effects that the gate returns for its caller to execute."""

from __future__ import annotations

import attrs

from verbenaplank.agent.lease_holder import LeaseHolder
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import DispatchRefusal
from verbenaplank.protocol.work import Revocation
from verbenaplank.protocol.work import TaskResult

ReplyItem = TaskResult | DispatchRefusal | Revocation


@attrs.frozen
class EntryKey:
    """Identifies one incarnation of an entry."""

    entry_id: str
    incarnation: str


@attrs.frozen
class StartRun:
    """Connect to the backend server, confirm the start with the gate, then run.

    Attributes
    ----------
    waited_s
        How long the dispatch was queued, in seconds.
    """

    task_id: str
    dispatch: Dispatch
    waited_s: float


@attrs.frozen
class StopRun:
    """Stop a running task, if the backend server can stop runs.

    Attributes
    ----------
    cause
        Reason that is logged; ignored when effects are compared.
    """

    task_id: str
    cause: str = attrs.field(default="run budget exceeded", eq=False)


@attrs.frozen
class Reply:
    """Send an item to an entry whose stream is open; otherwise drop it."""

    entry: EntryKey
    item: ReplyItem


@attrs.frozen
class StartDecision:
    """Whether a run may start now; if not, ``effects`` may hold a refusal.

    Attributes
    ----------
    owner
        The entry whose lease the run depends on, if it may start.
    """

    allowed: bool
    effects: tuple[Reply, ...] = ()
    owner: LeaseHolder | None = None


Effect = StartRun | StopRun | Reply


def format_task_id(job_id: str, task_index: int, attempt: int) -> str:
    """Return the id of one attempt of a task, sent over HTTP as ``Task-Id``."""
    return f"{job_id}/{task_index}/{attempt}"
