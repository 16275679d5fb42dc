"""Exit codes of every program."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended.

    Attributes
    ----------
    OK
        It did what was asked.
    FAILED
        The request failed, and some of it ran or may have run.
    USAGE
        The arguments, the settings or the request's content have faults;
        nothing was run.
    NOT_RUN
        The request was refused and surely not run.
    CONFLICT
        Too late: someone else changed the section first, or the job was complete;
        nothing was changed.
    UNREACHABLE
        No instance answered; the outcome is not known.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    CONFLICT = 4
    UNREACHABLE = 5
