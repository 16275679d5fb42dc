"""What the gate asks its adapters to do."""

from __future__ import annotations

import attrs

from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import DispatchRefusal
from verbenaplank.protocol.work import Revocation
from verbenaplank.protocol.work import TaskResult

ReplyItem = TaskResult | DispatchRefusal | Revocation


@attrs.frozen
class EntryKey:
    """One incarnation of an entry."""

    entry_id: str
    incarnation: str


@attrs.frozen
class StartRun:
    """Connect to the backend server, then ask the gate to begin the run."""

    task_id: str
    dispatch: Dispatch
    waited_s: float


@attrs.frozen
class StopRun:
    """Stop a running task where the backend server offers that.

    Attributes
    ----------
    cause
        Why, for the log only.
    """

    task_id: str
    cause: str = attrs.field(default="its time is over", eq=False)


@attrs.frozen
class Reply:
    """Send an item to an entry, if its stream is open."""

    entry: EntryKey
    item: ReplyItem


@attrs.frozen
class StartDecision:
    """Whether a run may begin now; if not, ``effects`` tells its entry."""

    allowed: bool
    effects: tuple[Reply, ...] = ()


Effect = StartRun | StopRun | Reply


def format_task_id(job_id: str, task_index: int, attempt: int) -> str:
    """Return the identifier under which the backend server knows a run."""
    return f"{job_id}/{task_index}/{attempt}"
