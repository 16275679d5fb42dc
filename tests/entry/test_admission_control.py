from __future__ import annotations

import random

import attrs

from entry.driver import submission
from entry.messages import TEAM
from entry.messages import agent_member
from verbenaplank.admission.queue import TaskQueue
from verbenaplank.configuration.effective import TeamRules
from verbenaplank.entry.admission_control import AdmissionController
from verbenaplank.entry.jobs import task_request
from verbenaplank.entry.readiness import Readiness
from verbenaplank.outcome.failure import FailureKind
from verbenaplank.overload.job_counts import JobCounts
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion
from verbenaplank.placement.task import Resources

READY = Readiness(current=True, leased=True, draining=False)
NOW_S = 1.0


@attrs.frozen
class AdmissionSetup:
    """Creates an admission controller for a fleet of one agent with 8 slots."""

    queue: TaskQueue = attrs.field(factory=TaskQueue)
    counts: JobCounts = attrs.field(factory=JobCounts)
    fleet: Fleet = attrs.field(
        factory=lambda: Fleet(least_expected_completion, random.Random(1), "Kochi")
    )

    def create_controller(
        self, max_queued_tasks: int = 1_000, **rules: float
    ) -> AdmissionController:
        self.fleet.add_or_update(agent_member("a"), 0.0)
        self.fleet.mark_connected("a", "1", 8, 0.0)
        admission = AdmissionController(
            self.fleet, self.queue, max_queued_tasks, self.counts
        )
        team = TeamRules(name=TEAM, **rules)  # type: ignore[arg-type]
        admission.configure({TEAM: team}, entries=2)
        return admission

    def fill(self, count: int) -> None:
        waiting = submission("waiting", count, deadline_s=1_000.0)
        for index in range(count):
            self.queue.push(task_request(waiting, index), 0.0)


def test_request_is_admitted_until_the_queue_is_full() -> None:
    """A request whose tasks would exceed the queue limit must be rejected."""
    setup = AdmissionSetup()
    admission = setup.create_controller(max_queued_tasks=10)
    setup.fill(6)

    fits = admission.admit(submission(count=4), READY, NOW_S)
    beyond = admission.admit(submission(count=5), READY, NOW_S)

    assert fits is None
    assert beyond is not None
    assert beyond.kind is FailureKind.OVERLOADED


def test_request_that_cannot_meet_its_deadline_is_rejected() -> None:
    """Behind a long queue, a request with a short deadline only wastes capacity."""
    setup = AdmissionSetup()
    admission = setup.create_controller()
    setup.fill(400)

    soon = admission.admit(submission(deadline_s=NOW_S + 2.0), READY, NOW_S)
    later = admission.admit(submission(deadline_s=NOW_S + 200.0), READY, NOW_S)

    assert later is None
    assert soon is not None
    assert soon.kind is FailureKind.OVERLOADED
    assert soon.retry_after_s is not None
    assert 1.0 < soon.retry_after_s < 200.0


def test_declared_run_time_alone_does_not_reject_a_request() -> None:
    """The declared run time exceeds the deadline, but no task is queued."""
    admission = AdmissionSetup().create_controller()

    hasty = submission(deadline_s=NOW_S + 0.05, declared_run_time_s=60.0)

    assert admission.admit(hasty, READY, NOW_S) is None


def test_quota_is_held_until_the_request_is_released() -> None:
    """A team reaches its limit of tasks in progress until its first request ends."""
    admission = AdmissionSetup().create_controller(max_in_progress=10)
    first = submission(count=5)

    admitted = admission.admit(first, READY, NOW_S)
    refused = admission.admit(submission(), READY, NOW_S)
    admission.release(first)
    again = admission.admit(submission(), READY, NOW_S)

    assert (admitted, again) == (None, None)
    assert refused is not None
    assert refused.kind is FailureKind.OVER_QUOTA
    assert refused.retry_after_s


def test_start_rate_of_a_team_is_limited() -> None:
    """A team submits faster than its quota of starts per second."""
    admission = AdmissionSetup().create_controller(max_starts_per_s=8.0)

    assert admission.admit(submission(count=4), READY, NOW_S) is None
    refused = admission.admit(submission(count=4), READY, NOW_S)
    assert refused is not None
    assert refused.kind is FailureKind.OVER_QUOTA
    assert admission.admit(submission(count=4), READY, NOW_S + 1.0) is None


def test_only_claimed_requests_require_the_lease() -> None:
    """The lease lapses; requests without a claim must still be accepted."""
    admission = AdmissionSetup().create_controller()
    lapsed = attrs.evolve(READY, leased=False)

    claimed = admission.admit(submission(), lapsed, NOW_S)
    free = admission.admit(submission(claimed=False), lapsed, NOW_S)

    assert free is None
    assert claimed is not None
    assert claimed.kind is FailureKind.NOT_READY


WEIGHING = {"weighs_waits": True, "needs": Resources(cores=1.0)}


def test_request_that_weighs_its_wait_is_refused_by_its_expected_end() -> None:
    """Behind a long queue it would be tried when its answer is useless."""
    setup = AdmissionSetup()
    admission = setup.create_controller()
    setup.fill(400)

    soon = submission(deadline_s=NOW_S + 2.0, **WEIGHING)
    refused = admission.admit(soon, READY, NOW_S)
    later = submission(deadline_s=NOW_S + 200.0, **WEIGHING)

    assert admission.admit(later, READY, NOW_S) is None
    assert refused is not None
    assert refused.kind is FailureKind.OVERLOADED
    assert "expected to start" in refused.detail
    labels = {"route": soon.service, "priority": "1", "cause": "no_capacity"}
    assert list(setup.counts.refused()) == [(labels, 1)]


def test_refused_callers_return_at_different_times_urgent_ones_first() -> None:
    """All were told the same constant and returned together."""
    admission = AdmissionSetup().create_controller()
    times_s: dict[bool, set[float]] = {True: set(), False: set()}
    for number in range(20):
        for urgent in times_s:
            request = submission(f"{number}", service="unknown", urgent=urgent)
            rejection = admission.admit(request, READY, NOW_S)
            assert rejection is not None
            assert rejection.retry_after_s
            times_s[urgent].add(rejection.retry_after_s)
    assert len(times_s[True]) == len(times_s[False]) == 20
    assert max(times_s[True]) <= min(times_s[False])
