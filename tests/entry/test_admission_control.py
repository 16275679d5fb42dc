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
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion

READY = Readiness(current=True, leased=True, draining=False)
NOW_S = 1.0


@attrs.frozen
class Desk:
    """An admission stage over a fleet of one agent with 8 slots."""

    queue: TaskQueue = attrs.field(factory=TaskQueue)
    fleet: Fleet = attrs.field(
        factory=lambda: Fleet(least_expected_completion, random.Random(1), "Kochi")
    )

    def open(
        self, max_queued_tasks: int = 1_000, **rules: float
    ) -> AdmissionController:
        self.fleet.add_or_update(agent_member("a"), 0.0)
        self.fleet.mark_connected("a", "1", 8, 0.0)
        admission = AdmissionController(self.fleet, self.queue, max_queued_tasks)
        team = TeamRules(name=TEAM, **rules)  # type: ignore[arg-type]
        admission.configure({TEAM: team}, entries=2)
        return admission

    def fill(self, count: int) -> None:
        waiting = submission("waiting", count, deadline_s=1_000.0)
        for index in range(count):
            self.queue.push(task_request(waiting, index), 0.0)


def test_request_is_admitted_until_the_queue_is_full() -> None:
    desk = Desk()
    admission = desk.open(max_queued_tasks=10)
    desk.fill(6)

    fits = admission.admit(submission(count=4), READY, NOW_S)
    beyond = admission.admit(submission(count=5), READY, NOW_S)

    assert fits is None
    assert beyond is not None
    assert beyond.kind is FailureKind.OVERLOADED


def test_request_that_cannot_meet_its_deadline_is_refused_early() -> None:
    desk = Desk()
    admission = desk.open()
    desk.fill(400)

    soon = admission.admit(submission(deadline_s=NOW_S + 2.0), READY, NOW_S)
    later = admission.admit(submission(deadline_s=NOW_S + 200.0), READY, NOW_S)

    assert later is None
    assert soon is not None
    assert soon.kind is FailureKind.OVERLOADED
    assert soon.retry_after_s is not None
    assert 1.0 < soon.retry_after_s < 200.0


def test_request_is_not_refused_by_a_declared_run_time_alone() -> None:
    admission = Desk().open()

    hasty = submission(deadline_s=NOW_S + 0.05, declared_run_time_s=60.0)

    assert admission.admit(hasty, READY, NOW_S) is None


def test_quota_counts_until_a_request_has_ended() -> None:
    admission = Desk().open(max_in_progress=10)
    first = submission(count=5)

    admitted = admission.admit(first, READY, NOW_S)
    refused = admission.admit(submission(), READY, NOW_S)
    admission.release(first)
    again = admission.admit(submission(), READY, NOW_S)

    assert (admitted, again) == (None, None)
    assert refused is not None
    assert refused.kind is FailureKind.OVER_QUOTA
    assert refused.retry_after_s


def test_starts_a_second_of_a_team_are_bounded() -> None:
    admission = Desk().open(max_starts_per_s=8.0)

    assert admission.admit(submission(count=4), READY, NOW_S) is None
    refused = admission.admit(submission(count=4), READY, NOW_S)
    assert refused is not None
    assert refused.kind is FailureKind.OVER_QUOTA
    assert admission.admit(submission(count=4), READY, NOW_S + 1.0) is None


def test_lease_is_asked_only_of_requests_with_a_claim() -> None:
    admission = Desk().open()
    lapsed = attrs.evolve(READY, leased=False)

    claimed = admission.admit(submission(), lapsed, NOW_S)
    free = admission.admit(submission(claimed=False), lapsed, NOW_S)

    assert free is None
    assert claimed is not None
    assert claimed.kind is FailureKind.NOT_READY
