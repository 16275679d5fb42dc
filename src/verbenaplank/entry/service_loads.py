"""The load of each service as one entry knows it."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.clock.sources import MonotonicClock
from verbenaplank.overload.expected_wait import ServiceLoad
from verbenaplank.placement.fleet import Fleet


@attrs.frozen(kw_only=True)
class EntryView:
    """What an entry knows of itself and of the other entries.

    Attributes
    ----------
    entry_count
        Returns the number of entries that share the agents.
    is_current
        Returns whether the entry has received the newest state since its start.
    time_left_s
        Returns for how many seconds the entry will still run jobs; infinity
        unless it is draining.
    """

    entry_count: Callable[[], int]
    is_current: Callable[[], bool]
    time_left_s: Callable[[], float]


@attrs.frozen(kw_only=True)
class ServiceLoads:
    """Derives the load of a service from the queue and the backend servers.

    Attributes
    ----------
    fleet
        The agents, with the services and cores that they offer.
    queue
        The tasks that wait at this entry.
    clock
        The monotonic clock, in seconds.
    view
        The state of the entry.
    startup_ends_s
        Monotonic time until which the entry is about to connect to its agents.
    """

    fleet: Fleet
    queue: GoalQueue
    clock: MonotonicClock
    view: EntryView
    startup_ends_s: float

    def load_of(self, service: str, workload: str, priority: int) -> ServiceLoad:
        """Return the load ahead of a new job of a workload and a priority."""
        pool = self.fleet.pool_of(service, workload)
        return attrs.evolve(
            self.capacity_of(service, workload),
            queued_core_s=self.queue.work_ahead_core_s(priority, pool),
        )

    def capacity_of(self, service: str, workload: str) -> ServiceLoad:
        """Return the load without the queued work, which costs a walk of the queue."""
        return ServiceLoad(
            queued_core_s=0.0,
            occupied_cores=self.fleet.capacity.occupied_cores_of(service, workload),
            equal_share_cores=self._equal_share_cores(service, workload),
            waiting_for_s=self.queue.waiting_for_s(self.clock()),
        )

    def _equal_share_cores(self, service: str, workload: str) -> float:
        """Return the cores for a workload that fall to this entry in equal shares.

        During startup, cores of agents that are not connected yet count too, since
        the entry is about to connect to them.  Later, an entry that is connected to a
        part of the agents shares them with as small a part of the entries.
        """
        capacity = self.fleet.capacity
        entries = max(1, self.view.entry_count())
        if self.clock() < self.startup_ends_s:
            return capacity.announced_cores_of(service) / entries
        sharing = max(1.0, entries * capacity.connected_share_of(service))
        return capacity.available_cores_of(service, workload) / sharing
