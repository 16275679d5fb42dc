"""Decides whether a new job would wait too long at an entry to meet its goal.

Load pattern: more jobs arrive than can be answered in time.  Every job that is admitted
and answered late takes capacity from one that could have been answered in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.overload.expected_wait import expected_wait_s

if TYPE_CHECKING:
    from verbenaplank.overload.expected_wait import ServiceLoad

MAX_WAIT_PER_SLACK = 0.2
"""A job is refused if its expected wait exceeds its slack times this factor.

The slack is the job's latency goal minus its estimated run time.  Run times exceed the
estimates by up to two fifths, which takes most of it."""


@attrs.frozen(kw_only=True)
class OverloadRefusal:
    """Why a job is refused, and how long it would have waited.

    Attributes
    ----------
    wait_s
        Expected wait, in seconds.
    detail
        The reason in one sentence, with the figures that led to it.
    """

    wait_s: float
    detail: str


def overload_refusal(load: ServiceLoad, slack_s: float) -> OverloadRefusal | None:
    """Return a refusal if a job would wait too long, or ``None`` to admit it.

    Parameters
    ----------
    load
        Load of the job's service as the entry knows it.
    slack_s
        Time that the job can wait and still meet its goal, in seconds.
    """
    wait_s = expected_wait_s(load)
    if wait_s <= max(0.0, slack_s) * MAX_WAIT_PER_SLACK:
        return None
    detail = (
        f"expected wait is {wait_s:.2f} s, slack of the job is {slack_s:.2f} s; "
        f"{load.queued_core_s:.0f} core seconds are queued, "
        f"{load.occupied_cores:.0f} cores occupied, "
        f"{load.equal_share_cores:.0f} an equal share"
    )
    return OverloadRefusal(wait_s=wait_s, detail=detail)
