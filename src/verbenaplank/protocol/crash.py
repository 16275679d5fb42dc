"""Reports of crashed backend servers, exchanged by agents and entries."""

from __future__ import annotations

from enum import StrEnum

import attrs


class CrashEvidence(StrEnum):
    """Why an incarnation of a backend server counts as crashed, or no longer does.

    ``REFUSED`` means that its connections were closed and new ones are refused.
    ``RESTARTED`` means that another incarnation has taken its place.
    ``WITHDRAWN`` means that it answers again, so it has not crashed.
    """

    REFUSED = "refused"
    RESTARTED = "restarted"
    WITHDRAWN = "withdrawn"


@attrs.frozen(kw_only=True)
class CrashedRun:
    """A run that was in progress when its backend server crashed.

    Attributes
    ----------
    task
        Name of the task, which is the same for all submissions of its job.
    number
        Number of the run at the backend server.
    workload
        Name of a kind of task; empty if unknown.
    suspect
        Whether the run was about to start, or had just started, so that it is more
        likely than the others to have caused the crash.
    """

    task: str
    number: int
    workload: str = ""
    suspect: bool = False


@attrs.frozen(kw_only=True)
class CrashReport:
    """What an agent knows of the crash of one incarnation of its backend server.

    Attributes
    ----------
    agent_id
        The agent beside the backend server.
    backend_server
        Id of the backend server; it may be used again after a restart.
    incarnation
        Incarnation of the backend server that crashed.
    observer
        Differs between the observations of two agent processes.
    revision
        Increases with each report of one observer; the highest one holds.
    """

    agent_id: str
    backend_server: str
    incarnation: str
    observer: str
    revision: int
    evidence: CrashEvidence
    runs: tuple[CrashedRun, ...] = ()


@attrs.frozen(kw_only=True)
class Confinement:
    """A workload that an entry has confined because its tasks crash backend servers.

    Attributes
    ----------
    share
        Share of the workload in the work of its service, which decides how many
        backend servers it keeps.
    blamed_ms
        Time since the last crash that was blamed on it, when the message was sent, in
        milliseconds.
    """

    service: str
    workload: str
    share: float
    blamed_ms: float
