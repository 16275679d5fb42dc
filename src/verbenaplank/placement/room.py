"""What the tasks of all entries leave free on the backend servers of a service."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.backend_server import CORE_TOLERANCE
from verbenaplank.placement.expected_end import remote_factor

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.task import TaskRequest


@attrs.frozen(kw_only=True)
class CapacityUse:
    """Use of the backend servers on which a task may run.

    The unit is a core at the speed of a usual server, or a slot for a task that needs
    no cores.

    Attributes
    ----------
    own, others
        Occupied by tasks of this entry, and of other entries as reports show.
    idle
        Not occupied, on servers that accept tasks.
    free
        The part of it that further tasks with the same needs can use.
    free_tasks
        Number of these tasks.
    free_tasks_in_time
        Number of them that would end in time.
    """

    own: float = 0.0
    others: float = 0.0
    idle: float = 0.0
    free: float = 0.0
    free_tasks: int = 0
    free_tasks_in_time: int = 0

    @property
    def available(self) -> float:
        """Return the capacity that is occupied or can be used by such tasks."""
        return self.own + self.others + self.free


def capacity_use(
    servers: Iterable[BackendServer],
    task: TaskRequest,
    run_s: float,
    within_s: float,
    max_slowness: float,
) -> CapacityUse:
    """Return the use of some backend servers.

    Parameters
    ----------
    run_s
        Expected run time of the task at slowness 1, in seconds.
    within_s
        Seconds within which a run must end to be in time.
    max_slowness
        Slowness above which a server gets such tasks only as probes; its free capacity
        does not count.
    """
    own = others = idle = free = 0.0
    free_tasks = in_time = 0
    cores = task.needs.cores
    for server in servers:
        speed = 1.0 / server.slowness
        size, used, used_by_others = _units(server, by_cores=cores > 0.0)
        own += speed * used
        others += speed * used_by_others
        idle_there = size - used - used_by_others
        if idle_there <= 0.0 or not server.accepts_tasks:
            continue
        idle += speed * idle_there
        if idle_there + CORE_TOLERANCE < cores or server.slowness > max_slowness:
            continue
        count = server.free_tasks(task.needs)
        free += speed * count * (cores or 1.0)
        free_tasks += count
        if _ends_within(server, task, run_s, within_s):
            in_time += count
    return CapacityUse(
        own=own,
        others=others,
        idle=idle,
        free=free,
        free_tasks=free_tasks,
        free_tasks_in_time=in_time,
    )


def has_room(
    servers: Iterable[BackendServer],
    task: TaskRequest,
    tasks: int,
    run_s: float,
    within_s: float,
    max_slowness: float,
) -> bool:
    """Return whether servers have free capacity for so many tasks, to end in time.

    It looks at no more servers than it needs.  The parameters are those of
    :func:`capacity_use`.
    """
    for server in servers:
        if server.slowness > max_slowness or not server.accepts_tasks:
            continue
        if _ends_within(server, task, run_s, within_s):
            tasks -= server.free_tasks(task.needs)
            if tasks <= 0:
                return True
    return False


def _ends_within(
    server: BackendServer, task: TaskRequest, run_s: float, within_s: float
) -> bool:
    run_there_s = run_s * server.slowness * remote_factor(server, task)
    return server.round_trip_s + run_there_s <= within_s


def _units(server: BackendServer, *, by_cores: bool) -> tuple[float, float, float]:
    """Return the size of a server, and what this and the other entries occupy."""
    if by_cores:
        size = server.member.worker.cores
        return size, server.reserved_cores, server.other_entries_cores
    return server.slots, len(server.outstanding), server.other_entries_tasks


def cores_by_state(
    servers: Iterable[BackendServer],
) -> Mapping[tuple[str, str], float]:
    """Return the cores of backend servers by data centre and state.

    The states are ``own`` and ``others`` (occupied by tasks of this entry and of other
    entries), ``idle``, and ``unavailable`` (of servers that take no tasks of this entry
    now).
    """
    cores: defaultdict[tuple[str, str], float] = defaultdict(float)
    for server in servers:
        data_centre, size = server.member.data_centre, server.member.worker.cores
        if not server.accepts_tasks:
            cores[data_centre, "unavailable"] += size
            continue
        own, others = server.reserved_cores, server.other_entries_cores
        cores[data_centre, "own"] += own
        cores[data_centre, "others"] += others
        cores[data_centre, "idle"] += max(0.0, size - own - others)
    return cores
