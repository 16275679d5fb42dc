"""The dispatches that occupy slots and resources of a worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.entries import Entry
from verbenaplank.agent.worker_capacity import Usage
from verbenaplank.protocol.work import Dispatch

if TYPE_CHECKING:
    from collections.abc import ItemsView
    from collections.abc import Iterator

    from verbenaplank.agent.dispatch_queue import QueuedDispatch
    from verbenaplank.agent.effects import StartRun
    from verbenaplank.placement.task import Resources


@attrs.define
class RunningTask:
    """A task that runs on the backend server.

    Attributes
    ----------
    stopping
        Whether the backend server has been asked to stop the run.
    """

    entry: Entry
    dispatch: Dispatch
    stopping: bool = False


class Occupancy:
    """Dispatches with a reserved slot, and running tasks, by task id.

    Attributes
    ----------
    usage
        What they need in total, kept up to date because every decision reads it.
    """

    def __init__(self) -> None:
        self.usage = Usage()
        self._reserved: dict[str, QueuedDispatch] = {}
        self._running: dict[str, RunningTask] = {}

    def __len__(self) -> int:
        return len(self._running) + len(self._reserved)

    def __contains__(self, task_id: str) -> bool:
        return task_id in self._reserved or task_id in self._running

    def needs(self) -> list[Resources]:
        """Return what each dispatch needs."""
        reserved = [queued.dispatch.needs for queued in self._reserved.values()]
        return reserved + [run.dispatch.needs for run in self._running.values()]

    def owners(self) -> Iterator[Entry]:
        """Return the entry of each dispatch."""
        for queued in self._reserved.values():
            yield queued.entry
        for running in self._running.values():
            yield running.entry

    def reserve(self, queued: QueuedDispatch) -> None:
        """Reserve a slot for a dispatch."""
        self._reserved[queued.task_id] = queued
        self.usage.add(queued.dispatch.needs)

    def is_reserved(self, entry: Entry, task_id: str, dispatch_id: int) -> bool:
        """Return whether the dispatch has a reserved slot."""
        reserved = self._reserved.get(task_id)
        return reserved is not None and reserved.is_from(entry, dispatch_id)

    def withdraw(
        self, entry: Entry, task_id: str, dispatch_id: int
    ) -> QueuedDispatch | None:
        """Remove and return a reservation, or return ``None`` if there is none."""
        if not self.is_reserved(entry, task_id, dispatch_id):
            return None
        return self._remove_reserved(task_id)

    def take_reserved(self, start: StartRun) -> QueuedDispatch | None:
        """Remove and return a reservation.

        Return ``None`` if it was withdrawn or now belongs to another dispatch.
        """
        queued = self._reserved.get(start.task_id)
        if queued is None or queued.dispatch is not start.dispatch:
            return None
        return self._remove_reserved(start.task_id)

    def start(self, queued: QueuedDispatch) -> None:
        """Record that a task runs whose reservation was taken."""
        self._running[queued.task_id] = RunningTask(queued.entry, queued.dispatch)
        self.usage.add(queued.dispatch.needs)

    def end(self, task_id: str) -> RunningTask:
        """Remove and return a running task."""
        running = self._running.pop(task_id)
        self.usage.remove(running.dispatch.needs)
        return running

    def running(self, task_id: str) -> RunningTask | None:
        """Return a running task, or ``None`` if it does not run."""
        return self._running.get(task_id)

    def all_running(self) -> ItemsView[str, RunningTask]:
        """Return the running tasks with their ids."""
        return self._running.items()

    def _remove_reserved(self, task_id: str) -> QueuedDispatch:
        queued = self._reserved.pop(task_id)
        self.usage.remove(queued.dispatch.needs)
        return queued
