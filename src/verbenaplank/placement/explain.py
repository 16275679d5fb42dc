"""Explains where a task would be placed now, and why not on each other server.

The decision is that of the fleet itself.  This module only names the causes and the
expected times behind it.  Its cost grows with the connected servers of the service,
which are a subset of bounded size, and not with the fleet.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from itertools import islice
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.backend_server import fits
from verbenaplank.placement.expected_end import expected_completion_s
from verbenaplank.placement.expected_end import expected_run_time_s
from verbenaplank.placement.expected_end import has_room
from verbenaplank.placement.load import estimated_load
from verbenaplank.placement.locality import Hold
from verbenaplank.placement.locality import Place
from verbenaplank.placement.locality import weighs_waiting
from verbenaplank.placement.openings import openings_s
from verbenaplank.placement.task import NO_RESOURCES
from verbenaplank.placement.task import Resources

if TYPE_CHECKING:
    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.fleet_query import FleetQuery
    from verbenaplank.placement.load import PlacementContext
    from verbenaplank.placement.local_choice import HoldClaim
    from verbenaplank.placement.task import TaskRequest

MAX_LISTED_SERVERS = 32
"""Servers that an explanation lists; it counts the others by cause."""

EARLIEST_END = "the earliest expected end of the servers compared"
NO_CAPACITY = "no server that was compared has capacity for the task"
FULL_SERVERS_EARLIER = "servers that are full now are expected to end it earlier"


class Exclusion(StrEnum):
    """Why a backend server is not a candidate for a task.

    Attributes
    ----------
    NOT_CONNECTED
        No stream to its agent is open, or this entry is about to close it.
    CONFINED
        The task's workload may not run there, because of a confinement.
    TOO_SMALL
        The worker as a whole offers less than the task needs.
    QUARANTINED
        In quarantine, or on probation or under suspicion with a task outstanding.
    TOO_LITTLE_CAPACITY
        What other tasks leave of its resources or slots is not enough.
    COLD_SHARE_USED
        The share of a cold server that may be used is used up.
    TOO_SLOW
        It gets exclusive tasks only as single probes.
    AVOIDED
        An earlier run of the job failed there, or an earlier attempt went there.
    NOT_COMPARED
        It could take the task, but is not in the sample that was compared.
    """

    NOT_CONNECTED = "not_connected"
    EVACUATED = "evacuated"
    DRAINING = "draining"
    CONFINED = "confined"
    TOO_SMALL = "too_small"
    QUARANTINED = "quarantined"
    TOO_LITTLE_CAPACITY = "too_little_capacity"
    COLD_SHARE_USED = "cold_share_used"
    TOO_SLOW = "too_slow"
    AVOIDED = "avoided"
    NOT_COMPARED = "not_compared"


class PlacementState(StrEnum):
    """What would be done with a task now."""

    PLACED = "placed"
    HELD = "held"
    QUEUED = "queued"


@attrs.frozen(kw_only=True)
class ExplainedServer:
    """A backend server as a decision sees it.

    Attributes
    ----------
    is_local
        Whether it is in the rack that the task prefers; ``None`` without one.
    exclusion
        Why it is no candidate; ``None`` for a candidate.
    wait_s
        Seconds until the task is expected to start there, without the round trip;
        ``None`` if it is not known, and for a server that takes no tasks.
    run_s
        Expected run time there, in seconds.
    end_s
        Seconds until its answer is expected; ``None`` like the wait.
    report_age_s
        Age of the last load report in seconds; ``None`` before the first.
    """

    member_id: str
    data_centre: str
    rack: str
    is_local: bool | None
    exclusion: Exclusion | None
    wait_s: float | None
    run_s: float
    end_s: float | None
    report_age_s: float | None


@attrs.frozen(kw_only=True)
class Explanation:
    """Where a task would be placed now, and why.

    Attributes
    ----------
    member_id
        The agent on which it would be placed; empty if it is held or queued.
    rack
        Rack of that agent, or the one that the task would be held for.
    hold_s
        Seconds after which a hold is evaluated again at the latest; 0 without a hold.
    free_tasks
        Number of such tasks for which the servers have capacity now.
    servers
        Candidates by their expected end, then excluded servers.
    not_listed
        Number of the other servers by the cause of their exclusion.
    """

    state: PlacementState
    reason: str
    member_id: str = ""
    rack: str = ""
    hold_s: float = 0.0
    free_tasks: int = 0
    servers: tuple[ExplainedServer, ...] = ()
    not_listed: Mapping[Exclusion, int] = attrs.field(factory=dict)


def explain(
    fleet: FleetQuery, task: TaskRequest, now_s: float, waiting: int, claim: HoldClaim
) -> Explanation:
    """Return where a task would be placed now, and why.

    Parameters
    ----------
    waiting
        Number of tasks queued at this entry, including those of the task's job.
    claim
        The task's place among the tasks that are held.
    """
    explanation = _decide(fleet, task, now_s, waiting, claim)
    context = fleet.context(task, now_s, waiting)
    rows = _compared_servers(fleet, context)
    others, not_listed = _other_servers(fleet, context, MAX_LISTED_SERVERS - len(rows))
    return attrs.evolve(
        explanation,
        free_tasks=fleet.capacity_use(task, now_s).free_tasks,
        servers=(*rows, *others),
        not_listed=not_listed,
    )


def _decide(
    fleet: FleetQuery, task: TaskRequest, now_s: float, waiting: int, claim: HoldClaim
) -> Explanation:
    """Return the decision, without the servers behind it."""
    if not weighs_waiting(task):
        member_id = fleet.choose_agent(task, now_s, waiting)
        if member_id is not None:
            return _placed(fleet, member_id, EARLIEST_END)
        return _queued(fleet, fleet.context(task, now_s, waiting))
    decision = fleet.choose_or_hold(task, now_s, claim)
    if isinstance(decision, Place):
        return _placed(fleet, decision.member_id, decision.reason)
    if isinstance(decision, Hold):
        return Explanation(
            state=PlacementState.HELD,
            reason=decision.reason,
            rack=decision.rack,
            hold_s=decision.until_s - now_s,
        )
    return _queued(fleet, fleet.context(task, now_s, waiting))


def _placed(fleet: FleetQuery, member_id: str, reason: str) -> Explanation:
    rack = next(
        server.member.rack for server in fleet.compared if server.member_id == member_id
    )
    return Explanation(
        state=PlacementState.PLACED, reason=reason, member_id=member_id, rack=rack
    )


def _queued(fleet: FleetQuery, context: PlacementContext) -> Explanation:
    usable = fleet.usable(context.task, context.now_s, fleet.compared)
    has_candidate = any(_has_room(server, context) for server in usable)
    reason = FULL_SERVERS_EARLIER if has_candidate else NO_CAPACITY
    return Explanation(state=PlacementState.QUEUED, reason=reason)


def _compared_servers(
    fleet: FleetQuery, context: PlacementContext
) -> list[ExplainedServer]:
    """Return the servers that the decision compared, candidates first."""
    task, now_s = context.task, context.now_s
    usable = {server.member_id for server in fleet.usable(task, now_s, fleet.compared)}
    rows: list[ExplainedServer] = []
    for server in fleet.compared:
        cause: Exclusion | None = None
        if server.member_id not in usable:
            cause = exclusion_cause(fleet, server, task, now_s) or Exclusion.AVOIDED
        elif not _has_room(server, context):
            cause = Exclusion.TOO_LITTLE_CAPACITY
        rows.append(_explained(server, cause, fleet, context))
    rows.sort(key=_order)
    return rows[:MAX_LISTED_SERVERS]


def _other_servers(
    fleet: FleetQuery, context: PlacementContext, limit: int
) -> tuple[list[ExplainedServer], Mapping[Exclusion, int]]:
    """Return some of the servers that were not compared, and count the rest.

    The servers that are not connected are not walked through, as there may be many.
    """
    task, rows = context.task, list[ExplainedServer]()
    counts: Counter[Exclusion] = Counter()
    compared = {server.member_id for server in fleet.compared}
    connected = fleet.connected(task.service)
    allowed = {
        server.member_id
        for server in fleet.capacity.connected_for(task.service, task.workload)
    }
    for server in connected:
        if server.member_id in compared:
            continue
        cause = Exclusion.CONFINED
        if server.member_id in allowed:
            cause = _cause_not_compared(fleet, server, context)
        if len(rows) < limit:
            rows.append(_explained(server, cause, fleet, context))
        else:
            counts[cause] += 1
    announced = fleet.announced(task.service)
    unconnected = (server for server in announced if not server.connected)
    listed = list(islice(unconnected, limit - len(rows)))
    left = len(announced) - len(connected) - len(listed)
    if left:
        counts[Exclusion.NOT_CONNECTED] += left
    cause = Exclusion.NOT_CONNECTED
    rows += [_explained(server, cause, fleet, context) for server in listed]
    return rows, counts


def _cause_not_compared(
    fleet: FleetQuery, server: BackendServer, context: PlacementContext
) -> Exclusion:
    cause = exclusion_cause(fleet, server, context.task, context.now_s)
    if cause is not None:
        return cause
    if fleet.health.should_avoid(context.task, server):
        return Exclusion.AVOIDED
    if not _has_room(server, context):
        return Exclusion.TOO_LITTLE_CAPACITY
    return Exclusion.NOT_COMPARED


def exclusion_cause(
    fleet: FleetQuery, server: BackendServer, task: TaskRequest, now_s: float
) -> Exclusion | None:
    """Return why a server is not usable for a task; ``None`` if it is.

    The conditions are those of the fleet.  Where several hold, the one that lasts
    longest is named.
    """
    if not server.connected or server.retired:
        return Exclusion.NOT_CONNECTED
    if server.evacuated:
        return Exclusion.EVACUATED
    if not server.accepts_tasks:
        return Exclusion.DRAINING
    if not fits(task.needs, _size(server)):
        return Exclusion.TOO_SMALL
    if not fleet.health.is_usable(server, now_s):
        return Exclusion.QUARANTINED
    if task.needs != NO_RESOURCES and not server.has_free_resources(task.needs):
        return Exclusion.TOO_LITTLE_CAPACITY
    if fleet.exceeds_cold_share(server, task, now_s):
        return Exclusion.COLD_SHARE_USED
    if fleet.is_straggler(server, task, now_s):
        return Exclusion.TOO_SLOW
    return None


def _size(server: BackendServer) -> Resources:
    worker = server.member.worker
    return Resources(
        cores=worker.cores,
        memory_mb=worker.memory_mb,
        accelerators=worker.accelerators,
    )


def _has_room(server: BackendServer, context: PlacementContext) -> bool:
    return has_room(server, estimated_load(server, context), context)


def _explained(
    server: BackendServer,
    cause: Exclusion | None,
    fleet: FleetQuery,
    context: PlacementContext,
) -> ExplainedServer:
    preferred = context.task.preferred_rack
    end_s = _end_s(server, cause, fleet.typical_run_s, context)
    run_s = expected_run_time_s(server, context)
    age_s = context.now_s - server.last_report_s
    return ExplainedServer(
        member_id=server.member_id,
        data_centre=server.member.data_centre,
        rack=server.member.rack,
        is_local=server.member.rack == preferred if preferred else None,
        exclusion=cause,
        wait_s=None if end_s is None else max(0.0, end_s - run_s - server.round_trip_s),
        run_s=run_s,
        end_s=end_s,
        report_age_s=age_s if age_s < math.inf else None,
    )


def _end_s(
    server: BackendServer,
    cause: Exclusion | None,
    typical_run_s: float,
    context: PlacementContext,
) -> float | None:
    """Return the seconds until an answer is expected; ``None`` if that is not known."""
    if cause is None or cause is Exclusion.NOT_COMPARED:
        return expected_completion_s(server, estimated_load(server, context), context)
    age_s = context.now_s - server.last_report_s
    if (
        cause is not Exclusion.TOO_LITTLE_CAPACITY
        or age_s > context.settings.report_validity_s
    ):
        return None
    openings = openings_s(server, context, 1, typical_run_s)
    if not openings:
        return None
    return openings[0] + server.round_trip_s + expected_run_time_s(server, context)


def _order(server: ExplainedServer) -> tuple[bool, float]:
    end_s = math.inf if server.end_s is None else server.end_s
    return (server.exclusion is not None, end_s)
