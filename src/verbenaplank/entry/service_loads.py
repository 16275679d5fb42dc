"""The load of each service as one entry knows it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from verbenaplank.admission.goal_queue import GoalQueue
from verbenaplank.clock.sources import MonotonicClock
from verbenaplank.overload.expected_end import QueueAhead
from verbenaplank.overload.expected_wait import ServiceLoad
from verbenaplank.overload.own_share import OwnShares
from verbenaplank.placement.fleet import Fleet

if TYPE_CHECKING:
    from verbenaplank.placement.room import CapacityUse
    from verbenaplank.placement.task import TaskRequest


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
    shares
        The entry's share of the work on the backend servers that it competes for.
    """

    fleet: Fleet
    queue: GoalQueue
    clock: MonotonicClock
    view: EntryView
    startup_ends_s: float
    shares: OwnShares = attrs.field(factory=OwnShares)

    def queue_ahead(self, task: TaskRequest, use: CapacityUse) -> QueueAhead:
        """Return the queue ahead of a new job that weighs its wait.

        Parameters
        ----------
        task
            A task of the job.
        use
            Use of the backend servers on which it may run.
        """
        ahead = self.queue.ahead_of(task)
        now_s = self.clock()
        pool = (task.service, self.fleet.pool_of_task(task))
        return QueueAhead(
            work=ahead.core_s,
            own_priority_work=ahead.own_priority_core_s,
            drain_rate=self.drain_rate(task, use),
            demand_above=self.queue.demand_above(pool, task.priority, now_s),
            smaller_tasks=ahead.smaller_tasks,
        )

    def drain_rate(self, task: TaskRequest, use: CapacityUse) -> float:
        """Return the cores at which the queued tasks leave that weigh their waits."""
        now_s = self.clock()
        pool = (task.service, self.fleet.pool_of_task(task))
        entries = max(1, self.view.entry_count())
        sharing = entries * self.fleet.capacity.connected_share_of(task.service)
        rate = self.shares.drain_rate(pool, use, max(1.0, sharing), now_s)
        if now_s < self.startup_ends_s:
            return max(rate, self._equal_share_cores(task.service, task.workload))
        return rate

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
