"""Exit codes of the programs."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command.

    Attributes
    ----------
    OK
        The command succeeded.
    FAILED
        The request failed without confirmation that nothing was run, or the requested
        records are missing or damaged.
    USAGE
        The arguments, the settings or the content of the request are invalid, or a
        program could not start; nothing was run.
    NOT_RUN
        The request was refused or could not be sent; nothing was run.
    CONFLICT
        Nothing was changed, because the section was changed by someone else first,
        the job was already complete, or the id is in use with other content.
    UNREACHABLE
        A request was sent but not answered; its outcome is not known.
    WOULD_BE_REFUSED
        A query was answered: the request would be refused if it were submitted now.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    CONFLICT = 4
    UNREACHABLE = 5
    WOULD_BE_REFUSED = 6
