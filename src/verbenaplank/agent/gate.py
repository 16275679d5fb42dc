"""Admission control of an agent: which dispatches start, and when.

A dispatch starts its task at most once, and never after it was refused.  The
gate does no I/O: its methods take the monotonic time ``now_s``, which the caller
reads after its last ``await``, and return the effects that the caller executes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.deduplication import ResultCache
from verbenaplank.agent.deduplication import StartedBy
from verbenaplank.agent.deduplication import StartedTasks
from verbenaplank.agent.dispatch_queue import DispatchQueue
from verbenaplank.agent.dispatch_queue import QueuedDispatch
from verbenaplank.agent.effects import Effect
from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.effects import Reply
from verbenaplank.agent.effects import StartDecision
from verbenaplank.agent.effects import StartRun
from verbenaplank.agent.effects import StopRun
from verbenaplank.agent.effects import format_task_id
from verbenaplank.agent.entries import Entries
from verbenaplank.agent.entries import Entry
from verbenaplank.agent.occupancy import Occupancy
from verbenaplank.agent.replies import lost_result_reply
from verbenaplank.agent.replies import refusal_reply
from verbenaplank.agent.replies import revocation_reply
from verbenaplank.agent.worker_capacity import WorkerCapacity
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import RevocationState

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.agent.gate_limits import GateLimits
    from verbenaplank.agent.occupancy import RunningTask
    from verbenaplank.placement.task import Resources
    from verbenaplank.protocol.work import Revoke
    from verbenaplank.protocol.work import Stop
    from verbenaplank.protocol.work import TaskResult


class Gate:
    """Admits, queues, starts and refuses the dispatches of all entries.

    A dispatch is queued, then holds a reserved slot while the caller connects to
    the backend server, then runs.  Its lease and budget are checked at each step.

    Attributes
    ----------
    evacuated
        Whether refusals because of a drain say that the data centre is evacuated.
    """

    def __init__(
        self, incarnation: str, services: frozenset[str], limits: GateLimits
    ) -> None:
        self._incarnation = incarnation
        self._services = services
        self._limits = limits
        self._capacity = WorkerCapacity(slots=limits.slots, size=limits.size)
        self._draining = False
        self.evacuated = False
        self._entries = Entries()
        self._queue = DispatchQueue()
        self._occupancy = Occupancy()
        self._started = StartedTasks(limits.retention_s)
        self._results = ResultCache(limits.retention_s)

    @property
    def draining(self) -> bool:
        """Whether the agent drains and refuses every new dispatch."""
        return self._draining

    @property
    def idle(self) -> bool:
        """Whether no dispatch is running, reserved or queued."""
        return not (self._occupancy or self._queue)

    def load(self, now_s: float | None = None) -> LoadReport:
        """Return the load from all entries; ``running`` includes reserved slots.

        Parameters
        ----------
        now_s
            Reading of the agent's clock that the report carries.
        """
        in_use = self._occupancy.usage
        return LoadReport(
            running=in_use.tasks,
            queued=len(self._queue),
            draining=self._draining,
            cores_used=in_use.cores,
            memory_used_mb=in_use.memory_mb,
            clock_s=now_s,
        )

    def headroom(self) -> float:
        """Return how many further tasks fit that need as much as the largest here."""
        return self._capacity.headroom(self._occupancy.needs())

    def entries_with_work(self) -> set[EntryKey]:
        """Return the entries with a dispatch that is queued, reserved or running."""
        keys = {queued.entry.key for queued in self._queue}
        keys.update(owner.key for owner in self._occupancy.owners())
        return keys

    def lease_left_s(self, key: EntryKey, now_s: float) -> float:
        """Return how long the lease of an entry still lasts; 0 if it has expired."""
        return max(0.0, self._entries[key].lease_until_s - now_s)

    def runs_of(self, key: EntryKey) -> int:
        """Return the number of running tasks of an entry."""
        running = self._occupancy.all_running()
        return sum(run.entry.key == key for _, run in running)

    def on_hello(self, key: EntryKey, now_s: float) -> None:
        """Mark an entry as connected; it gets a lease with its first renewal."""
        self._entries.connect(key, now_s)

    def on_renewal(
        self,
        key: EntryKey,
        lease_s: float,
        now_s: float,
        heard_clock_s: float | None = None,
    ) -> None:
        """Renew the lease that covers all queued and running tasks of an entry.

        If the renewal echoes a clock reading of this agent in ``heard_clock_s``,
        the lease counts from that reading, so that a delayed renewal does not prolong
        it.
        """
        since_s = now_s if heard_clock_s is None else min(now_s, heard_clock_s)
        self._entries.renew(key, lease_s, since_s)

    def on_disconnect(self, key: EntryKey, now_s: float) -> list[Effect]:
        """Mark an entry as disconnected and refuse its queued dispatches."""
        entry = self._entries[key]
        entry.connected = False
        return self._refuse_queued(
            lambda queued: queued.entry is entry, RefusalReason.LEASE_EXPIRED
        )

    def on_dispatch(
        self, key: EntryKey, dispatch: Dispatch, now_s: float
    ) -> list[Effect]:
        """Queue a dispatch or refuse it.

        A duplicate of a queued, reserved or running dispatch is ignored.  If the
        task has finished, its result is sent again while it is retained.
        """
        entry = self._entries[key]
        task_id = format_task_id(dispatch.job_id, dispatch.task_index, dispatch.attempt)
        queued = QueuedDispatch(entry, task_id, dispatch, now_s)
        if dispatch.dispatch_id in entry.closed:
            return [refusal_reply(queued, RefusalReason.REVOKED)]
        if self._is_queued_or_reserved(entry, task_id, dispatch.dispatch_id):
            return []
        if self._started.get(task_id) == StartedBy(entry.number, dispatch.dispatch_id):
            return self._resend_result(entry, task_id)
        reason = self._refusal_reason(queued, now_s)
        reason = reason or self._capacity_refusal_reason(dispatch)
        if reason is not None:
            return [*self._refuse(queued, reason)]
        self._queue.append(queued)
        return []

    def on_revoke(self, key: EntryKey, revoke: Revoke, now_s: float) -> list[Effect]:
        """Withdraw a dispatch so that it never starts, or report that it started.

        A dispatch to another incarnation of this agent may have started there, so it
        is reported as finished, with a lost result.
        """
        entry = self._entries[key]
        task_id = format_task_id(revoke.job_id, revoke.task_index, revoke.attempt)
        if revoke.agent_incarnation not in ("", self._incarnation):
            return self._replies_to_revoke_after_start(entry, "", revoke)
        if self._dispatch_may_have_started(entry, task_id, revoke.dispatch_id):
            return self._replies_to_revoke_after_start(entry, task_id, revoke)
        self._withdraw(entry, task_id, revoke.dispatch_id)
        entry.closed.add(revoke.dispatch_id)
        return [revocation_reply(key, revoke, RevocationState.REVOKED)]

    def on_stop(self, key: EntryKey, stop: Stop) -> list[Effect]:
        """Refuse a dispatch that has not started, or stop its run."""
        entry = self._entries[key]
        task_id = format_task_id(stop.job_id, stop.task_index, stop.attempt)
        queued = self._withdraw(entry, task_id, stop.dispatch_id)
        if queued is not None:
            return [*self._refuse(queued, RefusalReason.REVOKED)]
        running = self._occupancy.running(task_id)
        if running is None or running.entry is not entry:
            return []
        return _stop_once(task_id, running, "requested by its entry")

    def on_finished(
        self, task_id: str, result: TaskResult, now_s: float
    ) -> list[Effect]:
        """Free the slot of a run, retain its result and send it to its entry."""
        running = self._occupancy.end(task_id)
        self._results.add(task_id, result, now_s)
        return [Reply(running.entry.key, result)]

    def on_received(self, task_id: str) -> None:
        """Drop the retained result of a task after its entry has received it."""
        self._results.drop(task_id)

    def assign_slots(self, now_s: float) -> list[Effect]:
        """Reserve free slots for queued dispatches, urgent ones first.

        Return a :class:`StartRun` for each reservation, and a refusal for each
        dispatch that may no longer start.
        """
        effects: list[Effect] = []
        while (first := self._queue.first()) is not None:
            if not self._capacity.fits(first.dispatch.needs, self._occupancy.usage):
                break
            queued = self._queue.pop()
            reason = self._refusal_reason(queued, now_s)
            if reason is not None:
                effects += self._refuse(queued, reason)
                continue
            self._occupancy.reserve(queued)
            waited_s = now_s - queued.received_s
            effects.append(StartRun(queued.task_id, queued.dispatch, waited_s))
        return effects

    def confirm_start(self, start: StartRun, now_s: float) -> StartDecision:
        """Turn a reservation into a run once a backend connection is open.

        The dispatch is checked again, because connecting takes time and the worker may
        have shrunk meanwhile; the start is recorded only if it is allowed.
        """
        queued = self._occupancy.take_reserved(start)
        if queued is None:
            return StartDecision(allowed=False)
        reason = self._refusal_reason(queued, now_s)
        if not self._capacity.fits(queued.dispatch.needs, self._occupancy.usage):
            reason = reason or RefusalReason.FULL
        if reason is not None:
            return StartDecision(False, tuple(self._refuse(queued, reason)))
        entry, dispatch = queued.entry, queued.dispatch
        self._started.add(start.task_id, entry.number, dispatch.dispatch_id, now_s)
        self._occupancy.start(queued)
        return StartDecision(allowed=True, owner=entry)

    def on_connect_failed(self, start: StartRun) -> list[Reply]:
        """Release a reservation and refuse its dispatch, because connecting failed."""
        queued = self._occupancy.take_reserved(start)
        if queued is None:
            return []
        return self._refuse(queued, RefusalReason.BACKEND_SERVER_DOWN)

    def resize(self, size: Resources) -> list[Effect]:
        """Use another size of the worker, and refuse dispatches too large for it.

        Running tasks go on, also if they exceed the new size together; nothing starts
        until enough of them have ended.
        """
        self._capacity = attrs.evolve(self._capacity, size=size)
        return self._refuse_queued(
            lambda queued: not self._capacity.fits_alone(queued.dispatch.needs),
            RefusalReason.FULL,
        )

    def drain(self) -> list[Effect]:
        """Refuse queued and later dispatches and let running tasks finish.

        A dispatch with a reserved slot is refused when its start is confirmed.
        """
        self._draining = True
        return self._refuse_queued(lambda _: True, RefusalReason.DRAINING)

    def resume(self) -> None:
        """Accept dispatches again after a drain."""
        self._draining = False

    def expire(self, now_s: float) -> list[Effect]:
        """Refuse or stop the dispatches whose lease or start budget has expired.

        Started tasks, results and entries past their retention are dropped.
        """
        self._started.expire(now_s)
        self._results.expire(now_s)
        effects = self._refuse_queued(
            lambda queued: not queued.entry.has_lease(now_s),
            RefusalReason.LEASE_EXPIRED,
        )
        effects += self._refuse_queued(
            lambda queued: queued.is_late(now_s), RefusalReason.BUDGET_SPENT
        )
        for task_id, running in self._occupancy.all_running():
            if not running.entry.has_lease(now_s):
                effects += _stop_once(
                    task_id, running, "the lease of its entry expired"
                )
        self._entries.remove_expired(now_s)
        return effects

    def _refusal_reason(
        self, queued: QueuedDispatch, now_s: float
    ) -> RefusalReason | None:
        if self._task_may_have_started(queued):
            return RefusalReason.ALREADY_STARTED
        if self._draining:
            return RefusalReason.DRAINING
        if queued.dispatch.agent_incarnation != self._incarnation:
            return RefusalReason.WRONG_INCARNATION
        if queued.dispatch.service not in self._services:
            return RefusalReason.UNKNOWN_SERVICE
        if not queued.entry.connected or not queued.entry.has_lease(now_s):
            return RefusalReason.LEASE_EXPIRED
        if queued.is_late(now_s):
            return RefusalReason.BUDGET_SPENT
        return None

    def _task_may_have_started(self, queued: QueuedDispatch) -> bool:
        task_id = queued.task_id
        if task_id in self._occupancy:
            return True
        return self._started.get(task_id) is not None or self._start_may_be_evicted(
            queued
        )

    def _start_may_be_evicted(self, queued: QueuedDispatch) -> bool:
        """Return whether the dispatch may have started and its record been evicted."""
        dispatch_id = queued.dispatch.dispatch_id
        return self._started.may_have_evicted(queued.entry.number, dispatch_id)

    def _capacity_refusal_reason(self, dispatch: Dispatch) -> RefusalReason | None:
        if not self._capacity.fits_alone(dispatch.needs):
            return RefusalReason.FULL
        if self._capacity.size is not None:
            ahead = attrs.evolve(self._occupancy.usage)
            for item in self._queue:
                ahead.add(item.dispatch.needs)
            if self._capacity.fits(dispatch.needs, ahead):
                return None
            is_full = len(self._queue) >= self._limits.max_queued_tasks
            return RefusalReason.FULL if is_full else None
        free_slots = self._limits.slots - len(self._occupancy)
        is_full = len(self._queue) >= self._limits.max_queued_tasks + free_slots
        return RefusalReason.FULL if is_full else None

    def _refuse(self, queued: QueuedDispatch, reason: RefusalReason) -> list[Reply]:
        # Only a dispatch that has certainly never started may be closed.
        if not self._start_may_be_evicted(queued):
            queued.entry.closed.add(queued.dispatch.dispatch_id)
        evacuated = self.evacuated and reason is RefusalReason.DRAINING
        return [refusal_reply(queued, reason, evacuated=evacuated)]

    def _refuse_queued(
        self, condition: Callable[[QueuedDispatch], bool], reason: RefusalReason
    ) -> list[Effect]:
        effects: list[Effect] = []
        for queued in self._queue.remove_where(condition):
            effects.extend(self._refuse(queued, reason))
        return effects

    def _is_queued_or_reserved(
        self, entry: Entry, task_id: str, dispatch_id: int
    ) -> bool:
        is_reserved = self._occupancy.is_reserved(entry, task_id, dispatch_id)
        return is_reserved or self._queue.contains(entry, dispatch_id)

    def _withdraw(
        self, entry: Entry, task_id: str, dispatch_id: int
    ) -> QueuedDispatch | None:
        reserved = self._occupancy.withdraw(entry, task_id, dispatch_id)
        return reserved or self._queue.remove(entry, dispatch_id)

    def _dispatch_may_have_started(
        self, entry: Entry, task_id: str, dispatch_id: int
    ) -> bool:
        if dispatch_id in entry.closed or self._is_queued_or_reserved(
            entry, task_id, dispatch_id
        ):
            return False
        started = self._started.get(task_id)
        if started is not None:
            return started == StartedBy(entry.number, dispatch_id)
        return self._started.may_have_evicted(entry.number, dispatch_id)

    def _replies_to_revoke_after_start(
        self, entry: Entry, task_id: str, revoke: Revoke
    ) -> list[Effect]:
        if self._occupancy.running(task_id) is not None:
            return [revocation_reply(entry.key, revoke, RevocationState.STARTED)]
        revocation = revocation_reply(entry.key, revoke, RevocationState.FINISHED)
        again = self._resend_result(entry, task_id)
        return [revocation, *(again or [lost_result_reply(entry.key, revoke)])]

    def _resend_result(self, entry: Entry, task_id: str) -> list[Effect]:
        result = self._results.get(task_id)
        return [] if result is None else [Reply(entry.key, result)]


def _stop_once(task_id: str, running: RunningTask, cause: str) -> list[Effect]:
    if running.stopping:
        return []
    running.stopping = True
    return [StopRun(task_id, cause)]
