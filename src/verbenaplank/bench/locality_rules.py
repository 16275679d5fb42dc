"""Rules that are compared for how long a task waits for its rack.

Each rule is a fleet that decides differently whether a task is placed or held.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING

from verbenaplank.placement.backend_server import task_key
from verbenaplank.placement.expected_end import remote_factor
from verbenaplank.placement.fleet import Fleet
from verbenaplank.placement.local_choice import HoldClaim
from verbenaplank.placement.local_choice import choose_or_hold
from verbenaplank.placement.locality import LONGEST_HOLD_S
from verbenaplank.placement.locality import Decision
from verbenaplank.placement.locality import Hold
from verbenaplank.placement.locality import Option
from verbenaplank.placement.locality import Place
from verbenaplank.placement.locality import Reason
from verbenaplank.placement.locality import decide
from verbenaplank.placement.policy import least_expected_completion

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Mapping

    from verbenaplank.bench.locality_servers import SimulatedServer
    from verbenaplank.placement.backend_server import BackendServer
    from verbenaplank.placement.task import TaskRequest

FIXED_WAIT_S = 0.06
"""Half of the time that a short task takes longer on another rack."""

DATA_CENTRE = "norte"


class Rule(StrEnum):
    """A rule that is compared."""

    NEVER = "never wait"
    FIXED = "fixed wait"
    PRODUCT = "this rule"
    ORACLE = "oracle"


class NeverWaits(Fleet):
    """Places each task on the free server that is expected to end it first."""

    def choose_or_hold(
        self, task: TaskRequest, now_s: float, claim: HoldClaim
    ) -> Decision:
        """Return the server for a task, or ``None`` if none is free."""
        servers = self._sampler.sample_with_rack(task)
        usable = self._usable_servers(task, now_s, servers)
        return choose_or_hold(usable, (), self._context(task, now_s), HoldClaim())


class FixedWait(NeverWaits):
    """Holds each task for its rack for up to ``FIXED_WAIT_S``."""

    def choose_or_hold(
        self, task: TaskRequest, now_s: float, claim: HoldClaim
    ) -> Decision:
        """Return a local server, a hold, or after the fixed wait any server."""
        decision = super().choose_or_hold(task, now_s, claim)
        if not task.preferred_rack or (
            isinstance(decision, Place) and decision.is_local
        ):
            return decision
        since_s = now_s if claim.held_since_s is None else claim.held_since_s
        until_s = min(since_s + FIXED_WAIT_S, task.latest_start_s)
        if now_s >= until_s:
            return decision
        return Hold(
            rack=task.preferred_rack,
            until_s=min(until_s, now_s + LONGEST_HOLD_S),
            reason=Reason.LOCAL_EARLIER,
        )


class Oracle(NeverWaits):
    """Decides as the product does, with the true ends of all tasks.

    Attributes
    ----------
    servers
        The simulated servers by name.
    run_time_s_of
        Returns the true run time of a task in its rack at speed 1, in seconds.
    held_before
        Returns how many tasks of all entries are held for the rack of a task and have
        an earlier goal.
    """

    servers: Mapping[str, SimulatedServer]
    run_time_s_of: Callable[[TaskRequest], float]
    held_before: Callable[[TaskRequest], int]

    def choose_or_hold(
        self, task: TaskRequest, now_s: float, claim: HoldClaim
    ) -> Decision:
        """Return the decision that the true ends lead to."""
        rack = task.preferred_rack
        free: list[Option] = []
        full: list[Option] = []
        ahead = self.held_before(task) if rack else 0
        for server in self._sampler.sample_with_rack(task):
            simulated = self.servers[server.member_id]
            run_s = self._true_run_time_s(server, task) + server.round_trip_s
            is_local = bool(rack) and server.member.rack == rack
            openings = simulated.openings_s(now_s, task.needs.cores, ahead + 1)
            for opening_s in openings:
                option = Option(
                    member_id=server.member_id,
                    rack=server.member.rack,
                    start_s=opening_s,
                    end_s=opening_s + run_s,
                    is_local=is_local,
                )
                (free if opening_s <= now_s else full).append(option)
        later = sorted(
            (option for option in full if option.is_local or not rack),
            key=lambda option: option.end_s,
        )
        elsewhere = [option for option in full if not option.is_local]
        return decide(
            task,
            now_s,
            min(free, key=lambda option: option.end_s, default=None),
            later[ahead] if len(later) > ahead else None,
            held_since_s=claim.held_since_s,
            elsewhere_end_s=min((each.end_s for each in elsewhere), default=math.inf),
        )

    def record_dispatch(self, member_id: str, task: TaskRequest, now_s: float) -> None:
        """Record a dispatch, which the following decisions take into account."""
        super().record_dispatch(member_id, task, now_s)
        server = self._servers[member_id]
        end_s = now_s + server.round_trip_s + self._true_run_time_s(server, task)
        self.servers[member_id].ends_s[task_key(task)] = (end_s, task.needs.cores)

    def _true_run_time_s(self, server: BackendServer, task: TaskRequest) -> float:
        run_s = self.run_time_s_of(task) * remote_factor(server, task)
        return run_s / self.servers[server.member_id].speed


FLEETS: Mapping[Rule, type[Fleet]] = {
    Rule.NEVER: NeverWaits,
    Rule.FIXED: FixedWait,
    Rule.PRODUCT: Fleet,
    Rule.ORACLE: Oracle,
}


def make_fleet(rule: Rule, random: random.Random) -> Fleet:
    """Return a fleet that decides by a rule."""
    return FLEETS[rule](least_expected_completion, random, DATA_CENTRE)
