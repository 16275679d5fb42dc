"""Answers the question where a request or job would be placed now, and why."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs
import msgspec

from verbenaplank.entry.jobs import task_request
from verbenaplank.entry.response import HttpResponse
from verbenaplank.placement.explain import explain
from verbenaplank.placement.task import TaskRequest

if TYPE_CHECKING:
    from verbenaplank.entry.engine import Engine
    from verbenaplank.entry.submission import Submission
    from verbenaplank.outcome.rejection import Rejection
    from verbenaplank.placement.explain import ExplainedServer
    from verbenaplank.placement.explain import Explanation
    from verbenaplank.placement.fleet_query import FleetQuery

MS_PER_S = 1_000.0

USUAL_RANK = 0.5
"""Rank of a task among those that other entries hold; a submission draws one."""

ADMITTED = "admitted"
REFUSED = "refused"
KNOWN = "known"


@attrs.frozen
class TaskGroup:
    """Tasks of a job between which placement makes no difference.

    Attributes
    ----------
    task
        The first one.
    """

    task: TaskRequest
    count: int


def task_groups(submission: Submission) -> list[TaskGroup]:
    """Return the tasks of a job, identical ones as one group.

    The tasks of a job differ in nothing that placement considers, except that the last
    one of a wide job ends it.
    """
    count = len(submission.payloads)
    first, last = task_request(submission, 0), task_request(submission, count - 1)
    if first.ends_wide_job == last.ends_wide_job:
        return [TaskGroup(first, count)]
    return [TaskGroup(first, count - 1), TaskGroup(last, 1)]


def known_answer() -> HttpResponse:
    """Return the answer for a request that this entry knows already.

    A submission would be answered with its response, and nothing would be placed.
    """
    return _response({"state": KNOWN, "tasks": []})


def answer(
    submission: Submission,
    rejection: Rejection | None,
    engine: Engine,
    fleet: FleetQuery,
    now_s: float,
) -> HttpResponse:
    """Return the answer for a valid request that is not known yet.

    Parameters
    ----------
    rejection
        Why it would be refused, or ``None``.
    engine
        Its queue and held tasks are read only.
    now_s
        Monotonic time, in seconds.
    """
    waiting = engine.queued_tasks + len(submission.payloads)
    groups: list[dict[str, object]] = []
    for group in task_groups(submission):
        claim = engine.holds.claim(group.task, USUAL_RANK, now_s)
        explanation = explain(fleet, group.task, now_s, waiting, claim)
        document = _explanation_document(explanation)
        if rejection is not None:
            document = _refused_document(document, rejection)
        index = group.task.task_index
        groups.append({"first_task": index, "count": group.count, **document})
    if rejection is None:
        return _response({"state": ADMITTED, "tasks": groups})
    refusal = {
        "kind": rejection.kind,
        "detail": rejection.detail,
        "findings": rejection.findings,
        "retry_after_s": rejection.retry_after_s,
    }
    return _response({"state": REFUSED, "refusal": refusal, "tasks": groups})


def _response(document: dict[str, object]) -> HttpResponse:
    return HttpResponse(status=HTTPStatus.OK, body=msgspec.json.encode(document))


def _explanation_document(explanation: Explanation) -> dict[str, object]:
    is_held = explanation.hold_s > 0.0
    return {
        "state": explanation.state,
        "reason": explanation.reason,
        "server": explanation.member_id or None,
        "rack": explanation.rack or None,
        "hold_ms": _ms(explanation.hold_s) if is_held else None,
        "free_tasks": explanation.free_tasks,
        "servers": [_server_document(server) for server in explanation.servers],
        "not_listed": explanation.not_listed,
    }


def _refused_document(
    document: dict[str, object], rejection: Rejection
) -> dict[str, object]:
    """Return the servers behind a refusal; nothing would be placed."""
    return document | {
        "state": REFUSED,
        "reason": rejection.detail,
        "server": None,
        "rack": None,
        "hold_ms": None,
    }


def _server_document(server: ExplainedServer) -> dict[str, object]:
    return {
        "server": server.member_id,
        "data_centre": server.data_centre,
        "rack": server.rack,
        "local": server.is_local,
        "excluded": server.exclusion,
        "expected_wait_ms": _ms(server.wait_s),
        "expected_run_ms": _ms(server.run_s),
        "expected_end_ms": _ms(server.end_s),
        "report_age_ms": _ms(server.report_age_s),
    }


def _ms(time_s: float | None) -> float | None:
    return None if time_s is None else round(time_s * MS_PER_S, 1)
