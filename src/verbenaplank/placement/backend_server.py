"""What one entry knows of one backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.task import NO_RESOURCES
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.membership import Member

if TYPE_CHECKING:
    from verbenaplank.placement.task import TaskRequest
    from verbenaplank.protocol.work import LoadReport

TaskKey = tuple[str, int, int]
"""Job identifier, task index and attempt."""

SLOWNESS_GAIN = 0.05
DOUBT = 0.3
"""Log slowness that is conceded after one run; it shrinks with further runs."""

CORE_TOLERANCE = 1e-6
"""Sums of fractions are not exact; the agent's gate counts in thousandths."""

MAX_LOG_ERROR = math.log(8.0)


def task_key(task: TaskRequest) -> TaskKey:
    """Return what identifies one run of a task."""
    return (task.job_id, task.task_index, task.attempt)


def fits(needs: Resources, size: Resources) -> bool:
    """Return whether a worker of this size can hold a task with these needs."""
    return (
        needs.cores <= size.cores
        and needs.memory_mb <= size.memory_mb
        and needs.accelerators <= size.accelerators
    )


@attrs.define(eq=False)
class BackendServer:
    """State of one backend server, from this entry's own tasks and its reports.

    Attributes
    ----------
    outstanding
        When each task that this entry has there was dispatched, oldest first.
    held
        What each of these tasks needs; the sums stand beside it.
    others
        Tasks of other entries there, by the last report.
    log_slowness
        Natural logarithm of its run times over those of the whole fleet.
    slowness
        What placement expects; it concedes some doubt, so that a backend server
        which looked slow in its first few runs is tried again.
    quiet_since_s
        When a task last finished there, or when the oldest outstanding one was
        dispatched to an idle backend server.
    suspected_jobs
        Failures here by job since the last success here.
    failure_share
        Moving average of failures among the results from here.
    """

    member: Member
    round_trip_s: float
    connected: bool = False
    drained: bool = False
    incarnation: str = ""
    slots: int = 0
    outstanding: dict[TaskKey, float] = attrs.field(factory=dict)
    held: dict[TaskKey, Resources] = attrs.field(factory=dict)
    cores_held: float = 0.0
    memory_held_mb: int = 0
    accelerators_held: int = 0
    others: float = 0.0
    reported_s: float = -math.inf
    report_draining: bool = False
    cores_of_others: float = 0.0
    memory_of_others_mb: float = 0.0
    log_slowness: float = 0.0
    slowness: float = 1.0
    slowness_samples: int = 0
    quiet_since_s: float = 0.0
    suspected_jobs: dict[str, int] = attrs.field(factory=dict)
    failure_share: float = 0.0
    quarantined_until_s: float = -math.inf
    quarantine_s: float = 0.0
    on_trial: bool = False
    trial_successes: int = 0

    @property
    def member_id(self) -> str:
        """Return the agent's identifier."""
        return self.member.member_id

    @property
    def open_for_work(self) -> bool:
        """Return whether it may get new tasks as far as membership tells."""
        return self.connected and not (
            self.drained or self.member.draining or self.report_draining
        )

    def start(self, task: TaskRequest, now_s: float) -> None:
        """Record a dispatch."""
        if not self.outstanding:
            self.quiet_since_s = now_s
        key = task_key(task)
        self.outstanding[key] = now_s
        if task.needs != NO_RESOURCES:
            self._release(self.held.pop(key, NO_RESOURCES))
            self.held[key] = task.needs
            self.cores_held += task.needs.cores
            self.memory_held_mb += task.needs.memory_mb
            self.accelerators_held += task.needs.accelerators

    def end(self, task: TaskRequest) -> bool:
        """Forget a dispatch; return whether it was known."""
        key = task_key(task)
        self._release(self.held.pop(key, NO_RESOURCES))
        return self.outstanding.pop(key, None) is not None

    def clear(self) -> None:
        """Forget the connection and everything that was dispatched over it."""
        self.connected = False
        self.outstanding.clear()
        self.held.clear()
        self._release(NO_RESOURCES)
        self.others = 0.0
        self.reported_s = -math.inf

    def take_report(self, report: LoadReport, now_s: float) -> None:
        """Take a load report, which is half a round trip old."""
        unseen = self._dispatched_after(now_s - self.round_trip_s)
        seen = len(self.outstanding) - len(unseen)
        self.others = max(0.0, float(report.running + report.queued - seen))
        self.reported_s = now_s
        self.report_draining = report.draining
        cores, memory_mb = self.cores_held, self.memory_held_mb
        for key in unseen:
            needs = self.held.get(key, NO_RESOURCES)
            cores -= needs.cores
            memory_mb -= needs.memory_mb
        self.cores_of_others = max(0.0, report.cores_used - cores)
        self.memory_of_others_mb = max(0.0, report.memory_used_mb - memory_mb)

    def learn_slowness(self, log_error: float) -> None:
        """Move the learned slowness towards one run's deviation."""
        self.slowness_samples += 1
        gain = max(1.0 / self.slowness_samples, SLOWNESS_GAIN)
        error = log_error - self.log_slowness
        clamped = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, error))
        self.log_slowness += gain * clamped
        doubt = DOUBT / math.sqrt(self.slowness_samples)
        self.slowness = math.exp(self.log_slowness - doubt)

    def has_room_for(self, needs: Resources) -> bool:
        """Return whether the worker's free part holds a task with these needs."""
        size = self.member.worker
        free_cores = size.cores - self.cores_held - self.cores_of_others
        free_memory_mb = size.memory_mb - self.memory_held_mb - self.memory_of_others_mb
        return (
            needs.cores <= free_cores + CORE_TOLERANCE
            and needs.memory_mb <= free_memory_mb
            and needs.accelerators <= size.accelerators - self.accelerators_held
        )

    def _release(self, needs: Resources) -> None:
        if not self.held:
            self.cores_held = 0.0
            self.memory_held_mb = self.accelerators_held = 0
            return
        self.cores_held -= needs.cores
        self.memory_held_mb -= needs.memory_mb
        self.accelerators_held -= needs.accelerators

    def _dispatched_after(self, limit_s: float) -> list[TaskKey]:
        keys: list[TaskKey] = []
        for key, dispatched_s in reversed(self.outstanding.items()):
            if dispatched_s <= limit_s:
                break
            keys.append(key)
        return keys
