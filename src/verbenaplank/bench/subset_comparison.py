"""Command that simulates how long tasks wait with subsets of different sizes.

``python -m verbenaplank.bench.subset_comparison`` prints a row for each size.

The model has entries of uneven traffic and agents with a few slots each.  An entry
sends a task to the agent of its subset with the most free slots, as far as it knows: it
counts its own tasks at once, and those of others from reports that are
``report_age_s`` old.  A full agent refuses the task, and the entry tries the next one
after a round trip.  A task waits at its entry if no agent seems to have a free slot.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

import attrs
import typer

from verbenaplank.protocol.membership import Member
from verbenaplank.protocol.membership import MemberRole
from verbenaplank.subsetting.subset import AgentSubset

if TYPE_CHECKING:
    from collections.abc import Callable

ROUND_TRIP_S = 0.004
RETRY_S = 0.01
"""How often an entry looks again for a free agent for its first task."""

WARM_UP_SHARE = 0.2


@attrs.frozen(kw_only=True)
class SubsetScenario:
    """Size, load and unevenness of the simulated fleet.

    Attributes
    ----------
    load
        Share of all slots that the tasks occupy on average.
    uneven
        Standard deviation of the logarithm of the entries' traffic.
    report_age_s
        Age of what an entry knows of other entries' tasks, in seconds.
    """

    entries: int = 35
    agents: int = 160
    slots: int = 6
    run_time_s: float = 0.3
    load: float = 0.75
    uneven: float = 0.5
    report_age_s: float = 0.1
    length_s: float = 20.0
    seed: int = 1


@attrs.define
class _Agent:
    busy: int = 0
    reported_busy: int = 0
    own: dict[int, int] = attrs.field(factory=dict)
    own_at_report: dict[int, int] = attrs.field(factory=dict)

    def free_slots_seen_by(self, entry: int, slots: int) -> int:
        others = self.reported_busy - self.own_at_report.get(entry, 0)
        return slots - others - self.own.get(entry, 0)

    def report(self) -> None:
        self.reported_busy = self.busy
        self.own_at_report = dict(self.own)


class SubsetSimulation:
    """Simulates one scenario with subsets of one size.

    Attributes
    ----------
    waits_s
        Time from the arrival of each task to its start, in seconds.
    refusals
        Number of tasks that an agent refused because it was full.
    """

    def __init__(self, scenario: SubsetScenario, subset_size: int) -> None:
        self.waits_s: list[float] = []
        self.refusals = 0
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._agents = [_Agent() for _ in range(scenario.agents)]
        self._subsets = _subsets(scenario, subset_size)
        self._queues: list[deque[float]] = [deque() for _ in range(scenario.entries)]

    def run(self) -> None:
        """Run the simulation to its end."""
        scenario = self._scenario
        weights = [
            self._random.lognormvariate(0.0, scenario.uneven)
            for _ in range(scenario.entries)
        ]
        starts_per_s = (
            scenario.load * scenario.agents * scenario.slots / scenario.run_time_s
        )
        for entry, weight in enumerate(weights):
            self._arrive(entry, starts_per_s * weight / sum(weights))
        for agent in self._agents:
            first_s = self._random.uniform(0.0, scenario.report_age_s)
            self._schedule(first_s, partial(self._report, agent))
        while self._events and self._now_s < scenario.length_s:
            self._now_s, _, act = heapq.heappop(self._events)
            act()

    def _schedule(self, delay_s: float, act: Callable[[], None]) -> None:
        event = (self._now_s + delay_s, next(self._sequence), act)
        heapq.heappush(self._events, event)

    def _arrive(self, entry: int, rate_per_s: float) -> None:
        def arrive() -> None:
            self._queues[entry].append(self._now_s)
            if len(self._queues[entry]) == 1:
                self._place_first(entry)
            self._arrive(entry, rate_per_s)

        self._schedule(self._random.expovariate(rate_per_s), arrive)

    def _place_first(self, entry: int) -> None:
        while self._queues[entry]:
            agent = self._best_agent(entry)
            if agent is None:
                self._schedule(RETRY_S, partial(self._place_first, entry))
                return
            self._send(entry, agent, self._queues[entry].popleft())

    def _best_agent(self, entry: int) -> _Agent | None:
        slots = self._scenario.slots
        free = [
            (self._agents[number].free_slots_seen_by(entry, slots), number)
            for number in self._random.sample(
                self._subsets[entry], min(16, len(self._subsets[entry]))
            )
        ]
        seen, number = max(free)
        return self._agents[number] if seen > 0 else None

    def _send(self, entry: int, agent: _Agent, arrived_s: float) -> None:
        agent.own[entry] = agent.own.get(entry, 0) + 1
        self._schedule(ROUND_TRIP_S / 2, partial(self._reach, entry, agent, arrived_s))

    def _reach(self, entry: int, agent: _Agent, arrived_s: float) -> None:
        if agent.busy >= self._scenario.slots:
            self.refusals += 1
            back = partial(self._return, entry, agent, arrived_s)
            self._schedule(ROUND_TRIP_S / 2, back)
            return
        agent.busy += 1
        if self._now_s > WARM_UP_SHARE * self._scenario.length_s:
            self.waits_s.append(self._now_s - arrived_s - ROUND_TRIP_S / 2)
        run_s = self._random.expovariate(1.0 / self._scenario.run_time_s)
        self._schedule(run_s, partial(self._end, entry, agent))

    def _return(self, entry: int, agent: _Agent, arrived_s: float) -> None:
        agent.own[entry] -= 1
        agent.report()
        self._queues[entry].appendleft(arrived_s)
        if len(self._queues[entry]) == 1:
            self._place_first(entry)

    def _end(self, entry: int, agent: _Agent) -> None:
        agent.busy -= 1
        agent.own[entry] -= 1

    def _report(self, agent: _Agent) -> None:
        agent.report()
        self._schedule(self._scenario.report_age_s, partial(self._report, agent))


def _subsets(scenario: SubsetScenario, size: int) -> list[list[int]]:
    members = {
        str(number): Member(
            member_id=str(number),
            role=MemberRole.AGENT,
            incarnation="1",
            data_centre=str(number % 5),
            address="127.0.0.1:1",
            services=("service",),
        )
        for number in range(scenario.agents)
    }
    entries = [f"entry-{number}" for number in range(scenario.entries)]
    subsets: list[list[int]] = []
    for entry_id in entries:
        subset = AgentSubset(entry_id, size)
        subset.set_members(entries, members, 0.0)
        subsets.append(sorted(int(name) for name in subset.choose(0.0, lambda _: True)))
    return subsets


def main(
    load: float = 0.75, uneven: float = 0.5, report_age_s: float = 0.1, seed: int = 1
) -> None:
    """Print the wait of tasks for several sizes of the subset."""
    scenario = SubsetScenario(
        load=load, uneven=uneven, report_age_s=report_age_s, seed=seed
    )
    typer.echo("agents of an entry | wait, mean | 99% | refused a start")
    for size in (8, 16, 24, 32, 48, 64, scenario.agents):
        simulation = SubsetSimulation(scenario, size)
        simulation.run()
        waits_s = sorted(simulation.waits_s)
        mean_ms = 1_000 * sum(waits_s) / len(waits_s)
        late_ms = 1_000 * waits_s[int(0.99 * len(waits_s))]
        refused = simulation.refusals / len(waits_s)
        typer.echo(f"{size} | {mean_ms:.1f} ms | {late_ms:.0f} ms | {refused:.3f}")


if __name__ == "__main__":
    typer.run(main)
