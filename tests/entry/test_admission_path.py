from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from admission.tasks import task
from entry.messages import agent_member
from verbenaplank.entry.admission_path import AdmissionPath
from verbenaplank.entry.admission_path import Candidate
from verbenaplank.overload.expected_end import QueueAhead
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.policy import least_expected_completion

if TYPE_CHECKING:
    from verbenaplank.placement.room import CapacityUse

SERVICES = ("draw", "paint")


def test_use_of_servers_is_observed_for_each_service() -> None:
    """Guards against a busy service whose jobs keep others from being observed."""
    fleet = Fleet(least_expected_completion, random.Random(1), "Kochi")
    fleet.add_or_update(attrs.evolve(agent_member("a"), services=SERVICES), 0.0)
    fleet.mark_connected("a", "1", 8, 0.0)
    observed: list[str] = []

    def queue_ahead(candidate: Candidate, use: CapacityUse, now_s: float) -> QueueAhead:
        observed.append(candidate.task.service)
        return QueueAhead(work=0.0, own_priority_work=0.0, drain_rate=8.0)

    path = AdmissionPath(
        fleet=fleet,
        is_waiting=lambda: False,
        queue_ahead=queue_ahead,
        present_limit=lambda candidate, now_s: None,
    )
    for service in SERVICES * 2:
        request = task(service=service, weighs_waits=True)
        candidate = Candidate(task=request, tasks=1, goal_in_s=9.0, useless_in_s=9.0)
        assert path.refusal(candidate, 0.0) is None
    assert observed == list(SERVICES)
