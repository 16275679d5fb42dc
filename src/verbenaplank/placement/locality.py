"""Decides whether a task is placed now or held for a server that ends it earlier.

Load patterns: tasks that run several times longer on any rack but their own, of which
many name the same rack at times; and servers of uneven speed, of which the slow ones
are free while the fast ones are about to be.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from verbenaplank.placement.task import TaskRequest

SHORTEST_HOLD_S = 0.005
"""A hold is not evaluated again sooner without an event, which limits its cost."""

LONGEST_HOLD_S = 0.1
"""A hold is evaluated again after this time even if no event of its rack arrives.

Reports grow old without an event, and no task is held for a server whose last report
is too old."""


class Reason(StrEnum):
    """Why a task is placed now or held."""

    LOCAL = "local server is free"
    NO_OTHER = "no other server is expected to become free"
    NO_GAIN = "waiting is not expected to end earlier"
    MEETS_GOAL = "the free server meets the goal"
    WAITED_ENOUGH = "waited as long as the wait could gain"
    LATEST_START = "no time is left to wait"
    LOCAL_EARLIER = "a local server is expected to end it earlier"
    FASTER_EARLIER = "a faster server is expected to end it earlier"


@attrs.frozen(kw_only=True)
class Option:
    """A server on which a task could run.

    Attributes
    ----------
    start_s
        Monotonic time at which it is expected to have capacity for the task.
    end_s
        Monotonic time at which the task is expected to be answered.
    is_local
        Whether it is in the rack that the task prefers.
    """

    member_id: str
    rack: str
    start_s: float
    end_s: float
    is_local: bool


@attrs.frozen(kw_only=True)
class Place:
    """Place the task on a server now."""

    member_id: str
    reason: Reason
    is_local: bool = False


@attrs.frozen(kw_only=True)
class Hold:
    """Hold the task, and decide again on an event of the rack or at ``until_s``.

    Attributes
    ----------
    rack
        Rack of the server that is waited for.
    until_s
        Monotonic time in seconds.
    """

    rack: str
    until_s: float
    reason: Reason


Decision = Place | Hold | None
"""``None`` if no server is free and none is worth being held for."""


def weighs_waiting(task: TaskRequest) -> bool:
    """Return whether a task is held when waiting is expected to end earlier.

    A task without a preferred rack takes a free server at once, unless the rest of a
    wide job waits for it: how much faster another server is counts for less than the
    error in the expected wait for it.
    """
    if task.preferred_rack:
        return True
    return task.remote_factor > 1.0 and task.ends_wide_job


def decide(
    task: TaskRequest,
    now_s: float,
    free: Option | None,
    later: Option | None,
    *,
    tolerance_s: float = 0.0,
    held_since_s: float | None = None,
    elsewhere_end_s: float = math.inf,
) -> Decision:
    """Return whether to place a task on a free server or to hold it for a later one.

    A task leaves for a server outside its rack only if the local one is not expected
    to end it earlier.  Apart from that, a free server that meets the goal is used
    although a faster one would end earlier, so that slow servers have work too.  This
    does not apply to the last task of a wide job, on which its other tasks wait.

    Parameters
    ----------
    free
        The best server with capacity.
    later
        The best server without capacity whose wait is known.
    tolerance_s
        Ends that differ by less count as equal.
    held_since_s
        Monotonic time since which the task is held, or ``None``.
    elsewhere_end_s
        Monotonic time at which the task would be answered by a full server outside
        the rack of ``later`` that became free now.  A held task returns to the queue
        if that is earlier, since only queued tasks get such a server.
    """
    if free is None:
        if held_since_s is None or later is None or now_s >= task.latest_start_s:
            return None
        if later.end_s >= elsewhere_end_s:
            return None
        return _hold(task, now_s, later, task.latest_start_s)
    reason = _reason_to_place(task, now_s, free, later, tolerance_s, held_since_s)
    if reason is not None or later is None:
        return Place(
            member_id=free.member_id,
            reason=reason or Reason.NO_OTHER,
            is_local=free.is_local,
        )
    slack_s = task.goal_s - free.end_s
    last_s = now_s + slack_s if slack_s > 0.0 else task.latest_start_s
    return _hold(task, now_s, later, last_s)


def _reason_to_place(
    task: TaskRequest,
    now_s: float,
    free: Option,
    later: Option | None,
    tolerance_s: float,
    held_since_s: float | None,
) -> Reason | None:
    meets_goal = free.end_s <= task.goal_s and not task.ends_wide_job
    leaves_rack = bool(task.preferred_rack) and not free.is_local
    if meets_goal and not leaves_rack:
        return Reason.LOCAL if free.is_local else Reason.MEETS_GOAL
    if later is None:
        return Reason.LOCAL if free.is_local else Reason.NO_OTHER
    if meets_goal and not later.is_local:
        return Reason.MEETS_GOAL
    if now_s >= task.latest_start_s:
        return Reason.LATEST_START
    if later.end_s + tolerance_s >= free.end_s:
        return Reason.LOCAL if free.is_local else Reason.NO_GAIN
    if held_since_s is not None:
        largest_gain_s = (free.end_s - now_s) - (later.end_s - later.start_s)
        if now_s - held_since_s >= largest_gain_s:
            return Reason.WAITED_ENOUGH
    return None


def _hold(task: TaskRequest, now_s: float, later: Option, last_s: float) -> Hold:
    until_s = min(later.start_s, last_s, now_s + LONGEST_HOLD_S)
    until_s = min(max(until_s, now_s + SHORTEST_HOLD_S), task.latest_start_s)
    reason = Reason.LOCAL_EARLIER if later.is_local else Reason.FASTER_EARLIER
    return Hold(rack=later.rack, until_s=until_s, reason=reason)
