"""Backend servers that stay slow for some time after a start or a return.

Load pattern: after an evacuation is withdrawn, all servers of a data centre return at
once, empty and slow, while tasks wait.  Without a limit all entries would send their
queues there.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.task import TaskRequest

FIRST_SHARE = 0.1
"""Share of its size that a server may use at the beginning of its cold time."""

RETURN_GRACE_S = 1.0
"""How long a server counts as cold after an evacuation without a report of it.

The status report that announces the cold time may follow the withdrawal."""

FACTOR_GAIN = 0.05
MAX_FACTOR = 8.0
MAX_RUN_RATIO = 8.0
"""Limit of a single run's ratio, so that one outlier changes the factor little."""


@attrs.define
class ColdTime:
    """The cold time of one backend server, from its reports.

    All times are monotonic, in seconds.

    Attributes
    ----------
    since_s, until_s
        Begin and announced end of the last cold time; minus infinity before the first.
    span_s
        Duration of that cold time.
    grace_until_s
        Until when a report without a cold time does not end it.
    """

    since_s: float = -math.inf
    until_s: float = -math.inf
    span_s: float = 0.0
    grace_until_s: float = -math.inf

    def apply(self, remaining_s: float, span_s: float, now_s: float) -> None:
        """Apply a report of the remaining and the whole duration."""
        if remaining_s <= 0.0:
            if now_s >= self.grace_until_s:
                self.until_s = min(self.until_s, now_s)
            return
        if now_s >= self.until_s or now_s < self.grace_until_s:
            self.span_s = 0.0
        if now_s >= self.until_s:
            self.since_s = now_s
        self.grace_until_s = -math.inf
        self.until_s = now_s + remaining_s
        self.span_s = max(self.span_s, span_s, remaining_s)

    def begin_grace(self, now_s: float) -> None:
        """Count as cold until a report may have announced a cold time."""
        if now_s < self.until_s:
            return
        self.since_s = now_s
        self.until_s = self.grace_until_s = now_s + RETURN_GRACE_S
        self.span_s = RETURN_GRACE_S

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether some of the time between two times was cold."""
        return start_s < self.until_s and end_s > self.since_s

    def left_share(self, time_s: float) -> float:
        """Return the share of the cold time that is left at a time, from 1 to 0."""
        if time_s >= self.until_s:
            return 0.0
        return min(1.0, (self.until_s - time_s) / self.span_s)


def decayed_factor(server: BackendServer, factor: float, now_s: float) -> float:
    """Return how many times longer a run takes that starts now on a server.

    Parameters
    ----------
    factor
        How many times longer it takes at the beginning of a cold time.
    """
    if now_s >= server.cold.until_s:
        return 1.0
    return 1.0 + (factor - 1.0) * server.cold.left_share(now_s)


def exceeds_share(server: BackendServer, task: TaskRequest, now_s: float) -> bool:
    """Return whether a task exceeds the share of a cold server that may be used.

    The share grows to the whole server by the end of the cold time.  Since the other
    entries see the same free capacity until the next report, an entry uses only that
    share of it between two reports.  One task is always allowed.
    """
    if now_s >= server.cold.until_s:
        return False
    share = max(FIRST_SHARE, 1.0 - server.cold.left_share(now_s))
    unseen = server.dispatched_after(server.last_report_s)
    if unseen and _own_share(server, task, len(unseen)) > share * share:
        return True
    tasks = len(server.outstanding) + server.other_entries_tasks
    if tasks < 1.0:
        return False
    cores = server.reserved_cores + server.other_entries_cores + task.needs.cores
    return _share(server, tasks + 1.0, cores) > share


def _own_share(server: BackendServer, task: TaskRequest, unseen: int) -> float:
    """Return the share that so many tasks like this one and the task itself use."""
    count = unseen + 1.0
    return _share(server, count, count * task.needs.cores)


def _share(server: BackendServer, tasks: float, cores: float) -> float:
    size_cores = server.member.worker.cores
    share = tasks / max(server.slots, 1)
    return max(share, cores / size_cores) if size_cores > 0.0 else share


class ColdFactors:
    """How many times longer tasks run on cold servers, learned for each service.

    Parameters
    ----------
    initial
        The factor at the beginning of a cold time while no run is known.
    """

    def __init__(self, initial: float) -> None:
        self._initial = initial
        self._learned: dict[str, float] = {}

    def of(self, service: str) -> float:
        """Return the factor at the beginning of a cold time."""
        return self._learned.get(service, self._initial)

    def record(self, service: str, left_share: float, ratio: float) -> None:
        """Update a factor with one run.

        Parameters
        ----------
        left_share
            Share of the cold time that was left when the run started.  A run near the
            end tells little.
        ratio
            Its run time relative to the one expected on the server when it is warm.
        """
        factor = self.of(service)
        error = min(ratio, MAX_RUN_RATIO) - 1.0 - (factor - 1.0) * left_share
        factor += FACTOR_GAIN * left_share * error
        self._learned[service] = min(max(factor, 1.0), MAX_FACTOR)
