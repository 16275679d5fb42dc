"""Decides whether a task may start again after backend servers crashed under it."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.crashes.history import CrashCount
    from verbenaplank.crashes.history import CrashHistory

MAX_CRASHES_AS_SUSPECT = 2
"""A task is given up after it was a suspect in this many crashes."""

MAX_CRASHES = 4
"""A task is given up after this many crashes, even if it was no suspect in them."""


class StartPermission(StrEnum):
    """Whether a task may start, as far as crashes are concerned.

    ``WAIT`` means that it is not known yet whether a backend server that refuses
    connections has crashed, so that the task is given up, or is only cut off.
    """

    GRANTED = "granted"
    WAIT = "wait"
    GIVEN_UP = "given_up"


def start_permission(history: CrashHistory, task: str) -> StartPermission:
    """Return whether a task may start again.

    Parameters
    ----------
    task
        Name of the task; empty for a task that crash reports do not name.
    """
    if not task or not history.has_crashes(task):
        return StartPermission.GRANTED
    if is_exceeded(history.count(task, confirmed=True)):
        return StartPermission.GIVEN_UP
    if is_exceeded(history.count(task)):
        return StartPermission.WAIT
    return StartPermission.GRANTED


def is_exceeded(count: CrashCount) -> bool:
    """Return whether too many backend servers have crashed under a task."""
    return count.as_suspect >= MAX_CRASHES_AS_SUSPECT or count.total >= MAX_CRASHES
