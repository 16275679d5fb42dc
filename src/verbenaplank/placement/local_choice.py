"""Gathers the free and the full servers of a task, and decides by its locality."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from verbenaplank.placement.expected_end import expected_completion_s
from verbenaplank.placement.expected_end import expected_run_time_s
from verbenaplank.placement.expected_end import has_room
from verbenaplank.placement.load import estimated_load
from verbenaplank.placement.locality import Decision
from verbenaplank.placement.locality import Option
from verbenaplank.placement.locality import decide
from verbenaplank.placement.openings import openings_s
from verbenaplank.placement.policy import break_tie

if TYPE_CHECKING:
    from collections.abc import Sequence

    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.load import PlacementContext

MAX_TASKS_AHEAD = 64
"""Tasks of a rack's queue beyond which its wait is not computed.

A rack of eight servers seldom starts more within the time that a wait can gain."""


NO_HELD_TASKS: Mapping[str, int] = {}


@attrs.frozen(kw_only=True)
class HoldClaim:
    """The place of a task among the tasks that are held.

    Attributes
    ----------
    rank
        Random number from 0 to 1 that a task keeps.  This share of the tasks that
        other entries hold for the rack counts as ahead of it, so that entries with the
        same information neither all hold nor all give up.
    ahead
        Number of tasks of this entry that are held for the rack and come before.
    own_held
        Number of tasks that this entry holds by rack.
    own_reported
        Number of this entry's tasks among those that agents report as held for the
        preferred rack.
    held_since_s
        Monotonic time since which the task is held, or ``None``.
    typical_run_s
        Mean run time of tasks, weighted by the cores they occupy, in seconds.
    """

    rank: float = 0.5
    ahead: int = 0
    own_held: Mapping[str, int] = NO_HELD_TASKS
    own_reported: int = 0
    held_since_s: float | None = None
    typical_run_s: float = 0.2


def choose_or_hold(
    usable: Sequence[BackendServer],
    full: Sequence[BackendServer],
    context: PlacementContext,
    claim: HoldClaim,
) -> Decision:
    """Decide whether a task is placed on a server now or held for a full one.

    Parameters
    ----------
    usable
        Servers that take tasks and have the resources that the task needs.
    full
        Servers that lack only these resources; stragglers and cold servers that may
        not get the task are left out.
    claim
        The task's place among the tasks that are held.
    """
    free: list[tuple[float, BackendServer]] = []
    waited_for = list(full)
    for server in usable:
        load = estimated_load(server, context)
        if has_room(server, load, context):
            free.append((expected_completion_s(server, load, context), server))
        else:
            waited_for.append(server)
    now_s, task = context.now_s, context.task
    best: Option | None = None
    if free:
        best = _free_option(_without_claimed_racks(free, context, claim), context)
    later = _later_option(waited_for, context, claim)
    return decide(
        task,
        now_s,
        best,
        later,
        elsewhere_end_s=_elsewhere_end_s(waited_for, later, context),
        tolerance_s=context.settings.tie_share * context.run_time_s,
        held_since_s=claim.held_since_s,
    )


def others_held(servers: Sequence[BackendServer], own_reported: int) -> int:
    """Return how many tasks other entries hold for the rack of some servers."""
    reported = max((server.reported_held for server in servers), default=0)
    return max(0, reported - own_reported)


def _free_option(
    free: Sequence[tuple[float, BackendServer]], context: PlacementContext
) -> Option:
    best_s = min(end_s for end_s, _ in free)
    tolerance_s = context.settings.tie_share * context.run_time_s
    tied = [server for end_s, server in free if end_s <= best_s + tolerance_s]
    server = break_tie(tied, context)
    return Option(
        member_id=server.member_id,
        rack=server.member.rack,
        start_s=context.now_s,
        end_s=context.now_s + best_s,
        is_local=_is_local(server, context),
    )


def _without_claimed_racks(
    free: Sequence[tuple[float, BackendServer]],
    context: PlacementContext,
    claim: HoldClaim,
) -> Sequence[tuple[float, BackendServer]]:
    """Leave out racks that tasks are held for, if the task runs as well elsewhere.

    It does if it still meets its goal or ends as early there.  The servers of these
    racks are used if no other has room, so that none is idle.
    """
    others = [
        item
        for item in free
        if _is_local(item[1], context)
        or not (item[1].reported_held or claim.own_held.get(item[1].member.rack))
    ]
    if not others or len(others) == len(free):
        return free
    best_s = min(end_s for end_s, _ in free)
    other_s = min(end_s for end_s, _ in others)
    as_early = other_s <= best_s + context.settings.tie_share * context.run_time_s
    in_time = context.now_s + other_s <= context.task.goal_s
    return others if as_early or in_time else free


def _elsewhere_end_s(
    servers: Sequence[BackendServer], later: Option | None, context: PlacementContext
) -> float:
    """Return when a task would end on the fastest other full server, if free now.

    Servers in the rack of the one that is waited for are left out.
    """
    run_s = (
        server.round_trip_s + expected_run_time_s(server, context)
        for server in servers
        if later is None or server.member.rack != later.rack
    )
    return context.now_s + min(run_s, default=math.inf)


def _later_option(
    servers: Sequence[BackendServer], context: PlacementContext, claim: HoldClaim
) -> Option | None:
    """Return the server and time at which the task's turn is expected.

    Servers whose last report is too old are left out, since their wait is unknown.
    """
    validity_s = context.settings.report_validity_s
    known = [
        item for item in servers if context.now_s - item.last_report_s <= validity_s
    ]
    local = [item for item in known if _is_local(item, context)]
    if context.task.preferred_rack:
        known = local
    if not known:
        return None
    ahead = claim.ahead
    if local:
        ahead += round(claim.rank * others_held(local, claim.own_reported))
    if ahead > MAX_TASKS_AHEAD:
        return None
    options: list[tuple[float, float, str]] = []
    for server in known:
        run_s = server.round_trip_s + expected_run_time_s(server, context)
        starts_s = openings_s(server, context, ahead + 1, claim.typical_run_s)
        for start_s in starts_s:
            options.append((start_s + run_s, start_s, server.member_id))
    if len(options) <= ahead:
        return None
    options.sort()
    end_s, start_s, member_id = options[ahead]
    chosen = next(item for item in known if item.member_id == member_id)
    return Option(
        member_id=member_id,
        rack=chosen.member.rack,
        start_s=context.now_s + start_s,
        end_s=context.now_s + end_s,
        is_local=_is_local(chosen, context),
    )


def _is_local(server: BackendServer, context: PlacementContext) -> bool:
    rack = context.task.preferred_rack
    return bool(rack) and server.member.rack == rack
