"""Decides about the tasks that are held, and counts and logs what becomes of them."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from verbenaplank.entry import decision_log
from verbenaplank.entry.effects import SendToAgent
from verbenaplank.entry.holding_queue import Evaluation
from verbenaplank.entry.holding_queue import HeldTask
from verbenaplank.entry.holding_queue import level_of
from verbenaplank.placement.local_choice import MAX_TASKS_AHEAD
from verbenaplank.placement.local_choice import HoldClaim
from verbenaplank.placement.locality import Hold
from verbenaplank.placement.locality import Place
from verbenaplank.placement.unplaceable import UnplaceableNeeds
from verbenaplank.protocol.work import HeldCount

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from verbenaplank.entry.holding_queue import HoldingQueue
    from verbenaplank.entry.holding_queue import Level
    from verbenaplank.placement.fleet import Fleet
    from verbenaplank.placement.locality import Decision
    from verbenaplank.placement.task import TaskRequest
    from verbenaplank.protocol.membership import Member

MAX_DECISIONS_PER_RACK = 32
"""Held tasks of a rack and level that one flush evaluates; the next one goes on."""

MAX_TASKS_OF_A_JOB = 4
"""Queued tasks that count as those of the same job, and do not prevent a hold."""

REPORT_LAG_S = 0.25
"""Load reports may count the number that an entry sent before for this long."""

JOB_ENDED = "the job ended"
RETURNED = "returned to the queue, as no server is free"


@attrs.define
class LocalityCounts:
    """Counts of tasks that may be held; exported as metrics.

    Attributes
    ----------
    placed_locally, placed_remotely
        Tasks with a preferred rack that were placed there, and on other racks.
    held
        Holds of tasks; a task that returns to the queue may be held again.
    given_up
        Held tasks with a preferred rack that were then placed on another one.
    """

    placed_locally: int = 0
    placed_remotely: int = 0
    held: int = 0
    given_up: int = 0


def ignore_hold(outcome: str, duration_s: float) -> None:
    """Do nothing; the default for ``on_end``."""


class Holds:
    """Decides which tasks are held, and when a hold ends.

    Parameters
    ----------
    queue
        Stores the held tasks.
    fleet
        Decides whether a task is placed or held.
    random
        Random numbers for the ranks of held tasks.

    Attributes
    ----------
    counts
        Counts for metrics.
    on_end
        Called with what ended a hold, and its duration in seconds.
    """

    def __init__(
        self, queue: HoldingQueue, fleet: Fleet, random: random.Random
    ) -> None:
        self.counts = LocalityCounts()
        self.on_end: Callable[[str, float], None] = ignore_hold
        self._queue = queue
        self._fleet = fleet
        self._random = random
        self._rank = 0.0
        self._sent: dict[str, int] = {}
        self._sent_before: dict[str, tuple[int, float]] = {}

    def count(self) -> int:
        """Return the number of held tasks."""
        return self._queue.held_count

    def held_for(self, rack: str) -> Sequence[HeldTask]:
        """Return the tasks that are held for a rack."""
        return self._queue.held_for(rack)

    def changed_counts(
        self, connected: Iterable[str], members: Mapping[str, Member], now_s: float
    ) -> list[SendToAgent]:
        """Return messages to the agents of racks whose number of held tasks changed."""
        counts = dict(self._queue.held_by_rack)
        changed = {rack for rack, _ in counts.items() ^ self._sent.items()}
        for rack in changed:
            self._sent_before[rack] = (self._sent.get(rack, 0), now_s)
        self._sent = counts
        if not changed:
            return []
        return [
            SendToAgent(agent_id, HeldCount(counts.get(members[agent_id].rack, 0)))
            for agent_id in connected
            if agent_id in members and members[agent_id].rack in changed
        ]

    def count_for_new_stream(self, agent_id: str, rack: str) -> list[SendToAgent]:
        """Return the message to an agent of a rack whose stream has opened, if any.

        It has the number that the other agents of the rack were sent last, and is left
        out if that is 0, which an agent assumes for a new stream.
        """
        sent = self._sent.get(rack, 0)
        return [SendToAgent(agent_id, HeldCount(sent))] if sent else []

    def decide(self, task: TaskRequest, now_s: float) -> Decision:
        """Return whether to place or hold a task that is in the queue."""
        self._rank = self._random.random()
        claim = self.claim(task, self._rank, now_s)
        return self._fleet.choose_or_hold(task, now_s, claim)

    def claim(self, task: TaskRequest, rank: float, now_s: float) -> HoldClaim:
        """Return the place of a task that is not held among those that are."""
        counts = self._queue.held_by_rack
        ahead = counts.get(task.preferred_rack, 0)
        if not task.preferred_rack:
            ahead = self._queue.held_count + self._competing()
        return HoldClaim(
            rank=rank,
            ahead=ahead,
            own_held=counts,
            own_reported=self._own_reported(task.preferred_rack, now_s),
        )

    def hold(self, task: TaskRequest, hold: Hold, now_s: float) -> None:
        """Hold a task that :meth:`decide` was called for last."""
        self.counts.held += 1
        self._queue.hold(HeldTask(task, hold, since_s=now_s, rank=self._rank))

    def due_levels(self, racks: Iterable[str]) -> list[Level]:
        """Return the levels of the tasks held for some racks, in order."""
        return sorted(
            {
                level_of(held.task)
                for rack in racks
                for held in self._queue.held_for(rack)
            }
        )

    def decide_again(
        self,
        rack: str,
        level: Level,
        now_s: float,
        *,
        changed: bool,
        is_enabled: Callable[[str], bool],
    ) -> Iterator[tuple[HeldTask, Decision]]:
        """Yield the tasks held for a rack that are held no longer, and the decisions.

        A task for which neither a free server nor a hold is left returns to the queue.
        The caller dispatches a task before it takes the next one, so that each
        decision sees the capacity that is left.

        If the load of the rack has ``changed``, the tasks whose hold has not ended are
        evaluated too, except those that need at least as much as one that stays held.
        A task whose server is not enabled returns to the queue.
        """
        begun = self._queue.begin_or_continue(rack, level, changed=changed)
        last = begun.after
        decisions = 0
        ahead = 0
        no_capacity: defaultdict[str, UnplaceableNeeds] = defaultdict(UnplaceableNeeds)
        for held in self._queue.held_for(rack):
            task, order = held.task, held.order()
            is_due = held.hold.until_s <= now_s
            known = no_capacity[task.preferred_rack]
            if level_of(task) != level or not (
                is_due or (begun.changed and not known.covers(task))
            ):
                ahead += 1
                continue
            if begun.after is not None and order <= begun.after:
                ahead += 1
                self._queue.require_decision(held)
                continue
            if decisions >= MAX_DECISIONS_PER_RACK:
                left = attrs.evolve(begun, after=last)
                self._queue.leave_unfinished(rack, level, left)
                return
            decisions += 1
            last = order
            decision = self._decide_again(held, rack, ahead, now_s)
            if isinstance(decision, Hold):
                ahead += 1
                self._queue.release(held)
                held.hold = decision
                self._queue.hold(held)
                if not self._fleet.avoids_servers(task):
                    known.add(task)
                continue
            if decision is not None and not is_enabled(decision.member_id):
                decision = None
            self._end(held, decision, now_s)
            yield held, decision
        if begun.restarts:
            self._queue.leave_unfinished(rack, level, Evaluation(changed=True))

    def count_placed(self, task: TaskRequest, place: Place) -> None:
        """Count a placement of a task that may be held."""
        if not task.preferred_rack:
            return
        if place.is_local:
            self.counts.placed_locally += 1
        else:
            self.counts.placed_remotely += 1

    def drop(self, held: HeldTask, now_s: float) -> None:
        """Log the end of a hold whose job has ended."""
        self._log_end(held, JOB_ENDED, now_s)

    def _decide_again(
        self, held: HeldTask, rack: str, ahead: int, now_s: float
    ) -> Decision:
        counts = self._queue.held_by_rack
        if not held.task.preferred_rack:
            ahead += self._queue.held_count - counts[rack] + self._competing()
        claim = HoldClaim(
            rank=held.rank,
            ahead=ahead,
            own_held=counts,
            own_reported=self._own_reported(rack, now_s),
            held_since_s=held.since_s,
        )
        return self._fleet.choose_or_hold(held.task, now_s, claim)

    def _competing(self) -> int:
        """Return the tasks that may take a server before a task without a rack does.

        Behind a queue of other jobs it is too many for a hold, since the queue would
        take the fast servers while the slow ones idle.
        """
        queued = len(self._queue)
        return queued if queued <= MAX_TASKS_OF_A_JOB else MAX_TASKS_AHEAD + queued

    def _own_reported(self, rack: str, now_s: float) -> int:
        """Return how many of the reported held tasks may be this entry's own."""
        sent = self._sent.get(rack, 0)
        before, changed_s = self._sent_before.get(rack, (0, -math.inf))
        return max(sent, before) if now_s - changed_s < REPORT_LAG_S else sent

    def _end(self, held: HeldTask, decision: Decision, now_s: float) -> None:
        self._queue.release(held)
        if not isinstance(decision, Place):
            self._queue.push(held.task, now_s)
            self._log_end(held, RETURNED, now_s)
            return
        if held.task.preferred_rack and not decision.is_local:
            self.counts.given_up += 1
        self._log_end(held, decision.reason, now_s)

    def _log_end(self, held: HeldTask, ended_by: str, now_s: float) -> None:
        held_s = now_s - held.since_s
        self.on_end(ended_by, held_s)
        decision_log.task_held(
            held.task, held.hold.rack, held.hold.reason, held_s, ended_by
        )
