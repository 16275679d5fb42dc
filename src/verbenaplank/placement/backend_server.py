"""State that one entry keeps about one backend server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.cold import ColdTime
from verbenaplank.placement.task import NO_RESOURCES
from verbenaplank.placement.task import Resources
from verbenaplank.protocol.membership import Member

if TYPE_CHECKING:
    from verbenaplank.placement.task import TaskRequest
    from verbenaplank.protocol.work import LoadReport

TaskKey = tuple[str, int, int]
"""Job identifier, task index and attempt of one run."""

SLOWNESS_GAIN = 0.05
SURPRISE = math.log(2.0)
"""Log error of a run time that is seldom by chance, and hardly ever twice in a row."""

CHANGED_GAIN = 0.5
"""Gain after two such errors in a row in the same direction.

The backend server has then become slower or faster."""

RUNS_TO_SETTLE = 5
"""Number of runs with the larger gain after such a change."""

INITIAL_SLOWNESS_DISCOUNT = 0.3
"""Subtracted from the log slowness after one run; it shrinks with further runs."""

MS_PER_S = 1_000.0

CORE_TOLERANCE = 1e-6
"""Tolerance for rounding errors in sums of fractional cores.

The agent counts thousandths of a core.
"""

MAX_LOG_ERROR = math.log(8.0)


def task_key(task: TaskRequest) -> TaskKey:
    """Return the key that identifies one run of a task."""
    return (task.job_id, task.task_index, task.attempt)


def fits(needs: Resources, size: Resources) -> bool:
    """Return whether a worker that offers ``size`` can run a task with these needs."""
    return (
        needs.cores <= size.cores
        and needs.memory_mb <= size.memory_mb
        and needs.accelerators <= size.accelerators
    )


@attrs.define(eq=False)
class BackendServer:
    """State of one backend server as one entry sees it.

    It combines the tasks that this entry dispatched with the last load report.
    All times are monotonic, in seconds.

    Attributes
    ----------
    round_trip_s
        Assumed round trip time between this entry and the agent.
    retired
        Whether this entry is about to close its stream to the agent.
    evacuated
        Whether an operator has evacuated its data centre.
    outstanding
        Dispatch time of each unfinished task of this entry there, oldest first.
    reservations
        Resources of each outstanding task that needs any; their sums are in
        ``reserved_cores``, ``reserved_memory_mb`` and ``reserved_accelerators``.
    expected_run_s
        Expected run time of each outstanding task that has one, in seconds.
    reported_held
        Tasks that all entries hold for its rack, according to the last load report.
    other_entries_tasks
        Tasks of other entries there, according to the last load report.
    last_report_s
        Time of the last load report; minus infinity before the first.
    log_slowness
        Natural logarithm of the ratio of its run times to those of the fleet.
    slowness
        Ratio that placement expects.  It is discounted while few runs are known,
        so that a backend server whose first few runs were slow is tried again.
    last_surprise
        1 if the last run was surprisingly slow, -1 if surprisingly fast, else 0.
    runs_to_settle
        Number of runs for which the slowness is still learned faster.
    last_progress_s
        Last time at which a task finished there, was dispatched there while the
        backend server was idle, or the stream to the agent was opened.
    failures_by_job
        Number of failures here for each job since the last success here or the
        start of the last quarantine.
    failure_share
        Moving average of the share of failures among the results from here.
    quarantine_s
        Duration of the last quarantine; 0 after a completed probation.
    on_probation
        Whether it is in quarantine or in the probation that follows.
    probation_successes
        Number of successes since the start of the last quarantine.
    cold
        When the backend server is slow after a start or a return.
    """

    member: Member
    round_trip_s: float
    connected: bool = False
    drained: bool = False
    retired: bool = False
    evacuated: bool = False
    incarnation: str = ""
    slots: int = 0
    outstanding: dict[TaskKey, float] = attrs.field(factory=dict)
    reservations: dict[TaskKey, Resources] = attrs.field(factory=dict)
    expected_run_s: dict[TaskKey, float] = attrs.field(factory=dict)
    reported_held: int = 0
    reserved_cores: float = 0.0
    reserved_memory_mb: int = 0
    reserved_accelerators: int = 0
    other_entries_tasks: float = 0.0
    last_report_s: float = -math.inf
    reported_draining: bool = False
    other_entries_cores: float = 0.0
    other_entries_memory_mb: float = 0.0
    log_slowness: float = 0.0
    slowness: float = 1.0
    slowness_samples: int = 0
    last_surprise: int = 0
    runs_to_settle: int = 0
    last_progress_s: float = 0.0
    failures_by_job: dict[str, int] = attrs.field(factory=dict)
    failure_share: float = 0.0
    quarantined_until_s: float = -math.inf
    quarantine_s: float = 0.0
    on_probation: bool = False
    probation_successes: int = 0
    cold: ColdTime = attrs.field(factory=ColdTime)

    @property
    def member_id(self) -> str:
        """Return the agent's identifier."""
        return self.member.member_id

    @property
    def accepts_tasks(self) -> bool:
        """Return whether it is connected, and not draining, retired or evacuated."""
        return self.connected and not (
            self.drained
            or self.retired
            or self.evacuated
            or self.member.draining
            or self.reported_draining
        )

    @property
    def stall_counts_from_s(self) -> float:
        """Return the time from which a missing end of a task counts as a stall.

        A cold time does not count, because runs take longer then.
        """
        return max(self.last_progress_s, self.cold.until_s)

    def add_task(
        self, task: TaskRequest, now_s: float, run_s: float | None = None
    ) -> None:
        """Record that a task with an expected run time was dispatched to it."""
        if not self.outstanding:
            self.last_progress_s = now_s
        key = task_key(task)
        self.outstanding[key] = now_s
        if run_s is not None:
            self.expected_run_s[key] = run_s
        if task.needs != NO_RESOURCES:
            self._release_resources(self.reservations.pop(key, NO_RESOURCES))
            self.reservations[key] = task.needs
            self.reserved_cores += task.needs.cores
            self.reserved_memory_mb += task.needs.memory_mb
            self.reserved_accelerators += task.needs.accelerators

    def remove_task(self, task: TaskRequest) -> bool:
        """Remove a dispatched task; return whether it was recorded."""
        key = task_key(task)
        self._release_resources(self.reservations.pop(key, NO_RESOURCES))
        self.expected_run_s.pop(key, None)
        return self.outstanding.pop(key, None) is not None

    def reset(self) -> None:
        """Mark as disconnected; drop the dispatched tasks and the reported load."""
        self.connected = False
        self.outstanding.clear()
        self.reservations.clear()
        self.expected_run_s.clear()
        self.reported_held = 0
        self._release_resources(NO_RESOURCES)
        self.other_entries_tasks = 0.0
        self.last_report_s = -math.inf

    def apply_load_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report, which is half a round trip old.

        It does not count the tasks dispatched within the last round trip, since
        they had not reached the agent when it sent the report.
        """
        unseen = self.dispatched_after(now_s - self.round_trip_s)
        seen = len(self.outstanding) - len(unseen)
        self.other_entries_tasks = max(
            0.0, float(report.running + report.queued - seen)
        )
        self.last_report_s = now_s
        self.reported_draining = report.draining
        self.reported_held = report.held
        cores, memory_mb = self.reserved_cores, self.reserved_memory_mb
        for key in unseen:
            needs = self.reservations.get(key, NO_RESOURCES)
            cores -= needs.cores
            memory_mb -= needs.memory_mb
        self.other_entries_cores = max(0.0, report.cores_used - cores)
        self.other_entries_memory_mb = max(0.0, report.memory_used_mb - memory_mb)
        remaining_s = report.cold_remaining_ms / MS_PER_S
        self.cold.apply(remaining_s, report.cold_span_ms / MS_PER_S, now_s)

    def update_slowness(self, log_ratio: float) -> None:
        """Update the learned slowness with one run.

        Parameters
        ----------
        log_ratio
            Natural logarithm of the ratio of its run time to that of the fleet.
        """
        self.slowness_samples += 1
        error = log_ratio - self.log_slowness
        gain = max(1.0 / self.slowness_samples, SLOWNESS_GAIN)
        surprise = 0 if abs(error) < SURPRISE else round(math.copysign(1, error))
        if surprise and surprise == self.last_surprise:
            self.runs_to_settle = RUNS_TO_SETTLE
        self.last_surprise = surprise
        if self.runs_to_settle:
            self.runs_to_settle -= 1
            gain = max(gain, CHANGED_GAIN)
        clamped = max(-MAX_LOG_ERROR, min(MAX_LOG_ERROR, error))
        self.log_slowness += gain * clamped
        discount = INITIAL_SLOWNESS_DISCOUNT / math.sqrt(self.slowness_samples)
        self.slowness = math.exp(self.log_slowness - discount)

    def forget_slowness(self) -> None:
        """Expect the speed of the fleet, as another incarnation has started."""
        self.log_slowness = 0.0
        self.slowness = 1.0
        self.slowness_samples = 0
        self.last_surprise = 0
        self.runs_to_settle = 0

    def has_free_resources(self, needs: Resources, tasks: int = 1) -> bool:
        """Return whether the worker can take so many more tasks with these needs."""
        size = self.member.worker
        free_cores = size.cores - self.reserved_cores - self.other_entries_cores
        free_memory_mb = (
            size.memory_mb - self.reserved_memory_mb - self.other_entries_memory_mb
        )
        free_accelerators = size.accelerators - self.reserved_accelerators
        return (
            tasks * needs.cores <= free_cores + CORE_TOLERANCE
            and tasks * needs.memory_mb <= free_memory_mb
            and tasks * needs.accelerators <= free_accelerators
        )

    def free_tasks(self, needs: Resources) -> int:
        """Return how many more tasks with these needs have a slot and resources."""
        slots = self.slots - len(self.outstanding) - math.ceil(self.other_entries_tasks)
        if slots <= 0 or not self.has_free_resources(needs):
            return 0
        size, count = self.member.worker, slots
        if needs.cores > 0.0:
            free = size.cores - self.reserved_cores - self.other_entries_cores
            count = min(count, int((free + CORE_TOLERANCE) / needs.cores))
        if needs.memory_mb > 0:
            free = (
                size.memory_mb - self.reserved_memory_mb - self.other_entries_memory_mb
            )
            count = min(count, int(free / needs.memory_mb))
        if needs.accelerators > 0:
            free = size.accelerators - self.reserved_accelerators
            count = min(count, int(free / needs.accelerators))
        return count

    def _release_resources(self, needs: Resources) -> None:
        if not self.reservations:
            self.reserved_cores = 0.0
            self.reserved_memory_mb = self.reserved_accelerators = 0
            return
        self.reserved_cores -= needs.cores
        self.reserved_memory_mb -= needs.memory_mb
        self.reserved_accelerators -= needs.accelerators

    def dispatched_after(self, limit_s: float) -> list[TaskKey]:
        """Return the unfinished tasks that were dispatched after a time."""
        keys: list[TaskKey] = []
        for key, dispatched_s in reversed(self.outstanding.items()):
            if dispatched_s <= limit_s:
                break
            keys.append(key)
        return keys
