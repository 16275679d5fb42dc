"""The gate: starts each task once, or refuses its dispatch for good.

A core without I/O.  Every method takes the monotonic time ``now_s``, read by
the caller after its last wait, and returns the effects to carry out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.agent.effects import Begin
from verbenaplank.agent.effects import Effect
from verbenaplank.agent.effects import EntryKey
from verbenaplank.agent.effects import Reply
from verbenaplank.agent.effects import StartRun
from verbenaplank.agent.effects import StopRun
from verbenaplank.agent.effects import task_id_of
from verbenaplank.agent.entries import Entries
from verbenaplank.agent.entries import Entry
from verbenaplank.agent.memory import ResultMemory
from verbenaplank.agent.memory import StartedBy
from verbenaplank.agent.memory import StartMemory
from verbenaplank.agent.replies import lost_result_reply
from verbenaplank.agent.replies import refusal_reply
from verbenaplank.agent.replies import revocation_reply
from verbenaplank.agent.room import WorkerRoom
from verbenaplank.agent.room import total
from verbenaplank.agent.waiting import Waiting
from verbenaplank.agent.waiting import WaitingQueue
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import LoadReport
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import RevocationState

if TYPE_CHECKING:
    from collections.abc import Callable

    from verbenaplank.protocol.work import Revoke
    from verbenaplank.protocol.work import Stop
    from verbenaplank.protocol.work import TaskResult


@attrs.frozen(kw_only=True)
class GateLimits:
    """Limits of a gate.

    Attributes
    ----------
    slots
        How many tasks run at a time.
    size
        What the tasks that run may need together; ``None`` if slots decide alone.
    retention_s
        How long a start is remembered and a result kept.
    """

    slots: int
    max_queued_tasks: int
    retention_s: float
    size: Resources | None = None


@attrs.define
class _Running:
    entry: Entry
    dispatch: Dispatch
    stopping: bool = False


class Gate:
    """Decides which dispatches start, when, and which never do."""

    def __init__(
        self, incarnation: str, services: frozenset[str], limits: GateLimits
    ) -> None:
        self._incarnation = incarnation
        self._services = services
        self._limits = limits
        self._room = WorkerRoom(slots=limits.slots, size=limits.size)
        self._draining = False
        self._entries = Entries()
        self._waiting = WaitingQueue()
        self._reserved: dict[str, Waiting] = {}
        self._running: dict[str, _Running] = {}
        self._starts = StartMemory(limits.retention_s)
        self._results = ResultMemory(limits.retention_s)

    @property
    def draining(self) -> bool:
        """Whether every new dispatch is refused."""
        return self._draining

    @property
    def idle(self) -> bool:
        """Whether nothing runs and nothing waits."""
        return not (self._running or self._reserved or self._waiting)

    def load(self, now_s: float | None = None) -> LoadReport:
        """Return what the agent has of all entries together."""
        held = total(self._held())
        return LoadReport(
            running=self._slots_taken(),
            queued=len(self._waiting),
            draining=self._draining,
            cores_used=held.cores,
            memory_used_mb=held.memory_mb,
            clock_s=now_s,
        )

    def has_work_of(self, key: EntryKey) -> bool:
        """Return whether an entry has anything that waits or runs here."""
        entry = self._entries[key]
        owners = [waiting.entry for waiting in self._waiting]
        owners += [waiting.entry for waiting in self._reserved.values()]
        owners += [running.entry for running in self._running.values()]
        return any(owner is entry for owner in owners)

    def on_hello(self, key: EntryKey, now_s: float) -> None:
        """Take in that an entry opened a stream."""
        self._entries.connect(key, now_s)

    def on_renewal(
        self,
        key: EntryKey,
        lease_s: float,
        now_s: float,
        heard_clock_s: float | None = None,
    ) -> None:
        """Renew the lease of everything that an entry has here.

        It counts from the time of this agent that the entry had heard, if any.
        """
        since_s = now_s if heard_clock_s is None else min(now_s, heard_clock_s)
        self._entries.renew(key, lease_s, since_s)

    def on_disconnect(self, key: EntryKey, now_s: float) -> list[Effect]:
        """Refuse what an entry has waiting, as its stream is gone."""
        entry = self._entries[key]
        entry.connected = False
        return self._refuse_waiting(
            lambda waiting: waiting.entry is entry, RefusalReason.LEASE_EXPIRED
        )

    def on_dispatch(
        self, key: EntryKey, dispatch: Dispatch, now_s: float
    ) -> list[Effect]:
        """Queue a dispatch or refuse it; one that is here already is ignored."""
        entry = self._entries[key]
        task_id = task_id_of(dispatch.job_id, dispatch.task_index, dispatch.attempt)
        waiting = Waiting(entry, task_id, dispatch, now_s)
        if dispatch.dispatch_id in entry.closed:
            return [refusal_reply(waiting, RefusalReason.REVOKED)]
        if self._holds(entry, task_id, dispatch.dispatch_id):
            return []
        if self._starts.get(task_id) == StartedBy(entry.number, dispatch.dispatch_id):
            return self._result_again(entry, task_id)
        reason = self._reason_to_refuse(waiting, now_s)
        reason = reason or self._reason_not_to_queue(dispatch)
        if reason is not None:
            return [*self._refuse(waiting, reason)]
        self._waiting.append(waiting)
        return []

    def on_revoke(self, key: EntryKey, revoke: Revoke, now_s: float) -> list[Effect]:
        """Make sure that a dispatch never starts, or tell that it has."""
        entry = self._entries[key]
        task_id = task_id_of(revoke.job_id, revoke.task_index, revoke.attempt)
        if revoke.agent_incarnation not in ("", self._incarnation):
            return self._answer_started(entry, "", revoke)
        if self._was_started(entry, task_id, revoke.dispatch_id):
            return self._answer_started(entry, task_id, revoke)
        self._remove(entry, task_id, revoke.dispatch_id)
        entry.closed.add(revoke.dispatch_id)
        return [revocation_reply(key, revoke, RevocationState.REVOKED)]

    def on_stop(self, key: EntryKey, stop: Stop) -> list[Effect]:
        """Refuse a waiting dispatch, or stop the run that it started."""
        entry = self._entries[key]
        task_id = task_id_of(stop.job_id, stop.task_index, stop.attempt)
        waiting = self._remove(entry, task_id, stop.dispatch_id)
        if waiting is not None:
            return [*self._refuse(waiting, RefusalReason.REVOKED)]
        running = self._running.get(task_id)
        if running is None or running.entry is not entry:
            return []
        return _stop(task_id, running, "its entry ordered it")

    def on_finished(
        self, task_id: str, result: TaskResult, now_s: float
    ) -> list[Effect]:
        """Free the slot of a run, keep its result and send it to the owner."""
        running = self._running.pop(task_id)
        self._results.keep(task_id, result, now_s)
        return [Reply(running.entry.key, result)]

    def on_received(self, task_id: str) -> None:
        """Drop the result of a task, as its owner has received it."""
        self._results.drop(task_id)

    def start_ready(self, now_s: float) -> list[Effect]:
        """Give free slots to what waits, urgent dispatches first."""
        effects: list[Effect] = []
        while (first := self._waiting.first()) is not None:
            if not self._room.has_room_for(first.dispatch.needs, self._held()):
                break
            waiting = self._waiting.pop()
            reason = self._reason_to_refuse(waiting, now_s)
            if reason is not None:
                effects += self._refuse(waiting, reason)
                continue
            self._reserved[waiting.task_id] = waiting
            waited_s = now_s - waiting.received_s
            effects.append(StartRun(waiting.task_id, waiting.dispatch, waited_s))
        return effects

    def begin(self, start: StartRun, now_s: float) -> Begin:
        """Begin a run whose connection stands, unless that is now refused."""
        waiting = self._take_reserved(start)
        if waiting is None:
            return Begin(allowed=False)
        reason = self._reason_to_refuse(waiting, now_s)
        if reason is not None:
            return Begin(False, tuple(self._refuse(waiting, reason)))
        entry, dispatch = waiting.entry, waiting.dispatch
        self._starts.add(start.task_id, entry.number, dispatch.dispatch_id, now_s)
        self._running[start.task_id] = _Running(entry, dispatch)
        return Begin(allowed=True)

    def abandon(self, start: StartRun) -> list[Reply]:
        """Refuse a dispatch, as the backend server cannot be reached."""
        waiting = self._take_reserved(start)
        if waiting is None:
            return []
        return self._refuse(waiting, RefusalReason.BACKEND_SERVER_DOWN)

    def drain(self) -> list[Effect]:
        """Refuse what waits and every later dispatch; what runs goes on."""
        self._draining = True
        return self._refuse_waiting(lambda _: True, RefusalReason.DRAINING)

    def resume(self) -> None:
        """Accept dispatches again after a drain."""
        self._draining = False

    def expire(self, now_s: float) -> list[Effect]:
        """Act on leases and budgets that ran out, and forget what is too old."""
        self._starts.expire(now_s)
        self._results.expire(now_s)
        effects = self._refuse_waiting(
            lambda waiting: waiting.entry.lease_until_s < now_s,
            RefusalReason.LEASE_EXPIRED,
        )
        effects += self._refuse_waiting(
            lambda waiting: waiting.is_late(now_s), RefusalReason.BUDGET_SPENT
        )
        for task_id, running in self._running.items():
            if running.entry.lease_until_s < now_s:
                effects += _stop(task_id, running, "the lease of its entry lapsed")
        self._entries.forget_gone(now_s)
        return effects

    def _take_reserved(self, start: StartRun) -> Waiting | None:
        """End a reservation; ``None`` if it was withdrawn, or given to another."""
        waiting = self._reserved.get(start.task_id)
        if waiting is None or waiting.dispatch is not start.dispatch:
            return None
        return self._reserved.pop(start.task_id)

    def _slots_taken(self) -> int:
        return len(self._running) + len(self._reserved)

    def _reason_to_refuse(self, waiting: Waiting, now_s: float) -> RefusalReason | None:
        if self._may_have_started(waiting):
            return RefusalReason.ALREADY_STARTED
        if self._draining:
            return RefusalReason.DRAINING
        if waiting.dispatch.agent_incarnation != self._incarnation:
            return RefusalReason.WRONG_INCARNATION
        if waiting.dispatch.service not in self._services:
            return RefusalReason.UNKNOWN_SERVICE
        if not waiting.entry.connected or waiting.entry.lease_until_s < now_s:
            return RefusalReason.LEASE_EXPIRED
        if waiting.is_late(now_s):
            return RefusalReason.BUDGET_SPENT
        return None

    def _may_have_started(self, waiting: Waiting) -> bool:
        task_id = waiting.task_id
        if task_id in self._reserved or task_id in self._running:
            return True
        return self._starts.get(task_id) is not None or self._is_forgotten(waiting)

    def _is_forgotten(self, waiting: Waiting) -> bool:
        """Return whether this very dispatch may have started long ago."""
        dispatch_id = waiting.dispatch.dispatch_id
        return self._starts.may_have_forgotten(waiting.entry.number, dispatch_id)

    def _held(self) -> list[Resources]:
        reserved = [waiting.dispatch.needs for waiting in self._reserved.values()]
        return reserved + [run.dispatch.needs for run in self._running.values()]

    def _reason_not_to_queue(self, dispatch: Dispatch) -> RefusalReason | None:
        if not self._room.holds(dispatch.needs):
            return RefusalReason.FULL
        if self._limits.size is not None:
            ahead = [*self._held(), *(item.dispatch.needs for item in self._waiting)]
            if self._room.has_room_for(dispatch.needs, ahead):
                return None
            is_full = len(self._waiting) >= self._limits.max_queued_tasks
            return RefusalReason.FULL if is_full else None
        free_slots = self._limits.slots - self._slots_taken()
        is_full = len(self._waiting) >= self._limits.max_queued_tasks + free_slots
        return RefusalReason.FULL if is_full else None

    def _refuse(self, waiting: Waiting, reason: RefusalReason) -> list[Reply]:
        if not self._is_forgotten(waiting):
            waiting.entry.closed.add(waiting.dispatch.dispatch_id)
        return [refusal_reply(waiting, reason)]

    def _refuse_waiting(
        self, condition: Callable[[Waiting], bool], reason: RefusalReason
    ) -> list[Effect]:
        effects: list[Effect] = []
        for waiting in self._waiting.remove_where(condition):
            effects.extend(self._refuse(waiting, reason))
        return effects

    def _holds(self, entry: Entry, task_id: str, dispatch_id: int) -> bool:
        reserved = self._reserved.get(task_id)
        is_reserved = reserved is not None and reserved.is_from(entry, dispatch_id)
        return is_reserved or self._waiting.holds(entry, dispatch_id)

    def _remove(self, entry: Entry, task_id: str, dispatch_id: int) -> Waiting | None:
        reserved = self._reserved.get(task_id)
        if reserved is not None and reserved.is_from(entry, dispatch_id):
            return self._reserved.pop(task_id)
        return self._waiting.remove(entry, dispatch_id)

    def _was_started(self, entry: Entry, task_id: str, dispatch_id: int) -> bool:
        if dispatch_id in entry.closed or self._holds(entry, task_id, dispatch_id):
            return False
        started = self._starts.get(task_id)
        if started is not None:
            return started == StartedBy(entry.number, dispatch_id)
        return self._starts.may_have_forgotten(entry.number, dispatch_id)

    def _answer_started(
        self, entry: Entry, task_id: str, revoke: Revoke
    ) -> list[Effect]:
        if task_id in self._running:
            return [revocation_reply(entry.key, revoke, RevocationState.STARTED)]
        revocation = revocation_reply(entry.key, revoke, RevocationState.FINISHED)
        again = self._result_again(entry, task_id)
        return [revocation, *(again or [lost_result_reply(entry.key, revoke)])]

    def _result_again(self, entry: Entry, task_id: str) -> list[Effect]:
        result = self._results.get(task_id)
        return [] if result is None else [Reply(entry.key, result)]


def _stop(task_id: str, running: _Running, cause: str) -> list[Effect]:
    if running.stopping:
        return []
    running.stopping = True
    return [StopRun(task_id, cause)]
