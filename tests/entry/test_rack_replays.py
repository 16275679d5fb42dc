"""Replays loads in which tasks name racks, and checks which tasks wait for how long."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from entry.rack_world import RackWorld
from entry.rack_world import Server
from verbenaplank.entry.holding_queue import held_key
from verbenaplank.entry.holds import MAX_DECISIONS_PER_RACK
from verbenaplank.entry.holds import RETURNED
from verbenaplank.observability.entry_metrics import register_hold_metrics
from verbenaplank.observability.metrics import Metrics
from verbenaplank.placement.task import Resources
from verbenaplank.protocol import work

if TYPE_CHECKING:
    from verbenaplank.placement.local_choice import HoldClaim
    from verbenaplank.placement.locality import Decision
    from verbenaplank.placement.task import TaskRequest

RUN_S = 0.12
CORES = 32.0
PER_SERVER = 12
"""Tasks of 2.6 cores that a server of 32 cores runs at a time."""


def world(
    racks: int = 3, per_rack: int = 2, entries: int = 1, spread: float = 0.0
) -> RackWorld:
    servers = [
        Server(f"{rack}{number}", f"rack-{rack}", CORES, 1.0)
        for rack in "abcdefghij"[:racks]
        for number in range(per_rack)
    ]
    made = RackWorld(servers, entries)
    made.spread = spread
    return made


def fill(made: RackWorld, rack: str, tasks: int, run_s: float) -> None:
    made.submit(0, f"filler-{rack}", rack, tasks, declared_run_time_s=run_s)


def test_tasks_with_free_local_capacity_run_locally_at_once() -> None:
    """Tasks are held or sent away although their rack is free."""
    made = world()
    for number in range(20):
        made.submit(0, f"job-{number}", "rack-a")
        made.run_until(made.now_s + 0.13)
    assert made.held_most == 0
    assert {made.servers[name].rack for _, _, name in made.starts} == {"rack-a"}
    assert max(made.latencies.values()) < RUN_S + 0.005


def test_task_waits_for_a_rack_that_is_full_for_less_than_the_wait_pays() -> None:
    """The rack is full for 30 ms; a remote run takes 120 ms longer."""
    made = world()
    fill(made, "rack-a", 2 * PER_SERVER, RUN_S)
    made.run_until(RUN_S - 0.03)
    made.submit(0, "job", "rack-a")
    made.run_until(1.0)
    assert set(made.placed("job")) == {"rack-a"}
    assert made.latencies["job"] < 0.03 + RUN_S + 0.01


def test_task_runs_elsewhere_if_its_rack_is_full_for_longer() -> None:
    """A task is held although its rack is full for longer than it could gain."""
    made = world()
    fill(made, "rack-a", 2 * PER_SERVER, 1.8)
    made.run_until(0.1)
    made.submit(0, "job", "rack-a")
    made.run_until(1.0)
    assert "rack-a" not in made.placed("job")
    assert made.latencies["job"] < 2 * RUN_S + 0.01


def test_wait_that_turns_out_longer_than_expected_is_given_up() -> None:
    """The rack was expected to be free after 30 ms, and stays full."""
    made = world()
    made.submit(0, "filler", "rack-a", 2 * PER_SERVER)
    made._run_s["filler"] = 1.5
    made.run_until(RUN_S - 0.03)
    made.submit(0, "job", "rack-a")
    made.run_until(1.4)
    assert "rack-a" not in made.placed("job")
    assert made.latencies["job"] < 3 * RUN_S + 0.03


@pytest.mark.parametrize("entries", [3, 12])
def test_entries_share_a_hot_rack(entries: int) -> None:
    """All entries hold for the rack that 6 in 10 jobs name, or all give up at once."""
    made = world(racks=9, per_rack=6, entries=entries, spread=0.4)
    source = random.Random(5)
    hot: list[str] = []
    rate_per_s = 60.0 * 1.8
    at_s = 0.3
    for number in range(round(rate_per_s * 4)):
        at_s += source.expovariate(rate_per_s)
        is_hot = source.random() < 0.6
        rack = "rack-a" if is_hot else f"rack-{source.choice('bcdefghi')}"
        made.run_until(at_s)
        made.submit(source.randrange(entries), f"job-{number}", rack)
        if is_hot:
            hot.append(f"job-{number}")
    made.run_until(at_s + 1.5)
    assert not made.failed
    local = sum(made.placed(job).count("rack-a") for job in hot)
    share = local / sum(len(made.placed(job)) for job in hot)
    late = sum(made.latencies[job] > 0.253 for job in hot) / len(hot)
    longest = max(made.latencies.values())
    assert 0.2 < share < 0.999, (share, late, longest)
    assert longest < 1.0


def test_slow_local_server_is_left_for_a_fast_remote_one() -> None:
    """A rack of servers of speed 0.4 takes longer than a remote run at speed 1.2."""
    servers = [
        Server("a0", "rack-a", CORES, 0.4),
        Server("b0", "rack-b", CORES, 1.2),
        Server("b1", "rack-b", CORES, 1.2),
    ]
    made = RackWorld(servers)
    made.spread = 0.0
    for number in range(40):
        made.submit(0, f"job-{number}", ("rack-a", "rack-b")[number % 2], 4)
        made.run_until(made.now_s + 0.5)
    made.submit(0, "last", "rack-a", 4)
    made.run_until(made.now_s + 1.0)
    assert set(made.placed("last")) == {"rack-b"}
    assert made.held_most == 0


def test_nothing_is_held_on_reports_that_are_half_a_second_old() -> None:
    """Tasks wait for servers of whose load nothing is known."""
    made = world()
    fill(made, "rack-a", 2 * PER_SERVER, 0.6)
    for server in made.servers.values():
        server.silent = True
    made.run_until(0.58)
    made.submit(0, "job", "rack-a")
    made.run_until(0.585)
    assert made.engines[0].holds.count() == 0
    assert made.placed("job")


@pytest.mark.parametrize("cause", ["loss", "drain", "evacuation"])
def test_held_tasks_are_placed_elsewhere_when_their_rack_takes_no_tasks(
    cause: str,
) -> None:
    """Held tasks wait for a rack that is lost, drained or evacuated."""
    made = world()
    fill(made, "rack-a", 2 * PER_SERVER, RUN_S)
    made.run_until(RUN_S - 0.06)
    made.submit(0, "job", "rack-a")
    made.run_until(RUN_S - 0.05)
    assert made.engines[0].holds.count() == 8
    for name in ("a0", "a1"):
        if cause == "loss":
            made.lose(name)
        elif cause == "drain":
            made.drain(name)
        else:
            made.evacuate("a")
    assert made.engines[0].holds.count() == 0
    assert len(made.placed("job")) == 8
    assert "rack-a" not in made.placed("job")


def test_urgent_held_task_is_not_delayed_by_tasks_that_run_as_well_elsewhere() -> None:
    """Local capacity goes to tasks without a rack while tasks are held for it."""
    made = world()
    fill(made, "rack-a", 2 * PER_SERVER, RUN_S)
    made.run_until(RUN_S - 0.03)
    made.submit(0, "job", "rack-a", tasks=24)
    for number in range(4):
        made.submit(0, f"other-{number}", "", tasks=8, priority=1, urgent=False)
    made.run_until(1.0)
    assert set(made.placed("job")) == {"rack-a"}


def test_held_tasks_of_a_lower_priority_come_before_lower_ones_in_the_queue() -> None:
    """Queued tasks of priority 2 take each core for which one of priority 1 waits."""
    made = world(racks=2, per_rack=1)
    changes = {"urgent": False, "goal_s": 0.0, "latest_start_s": 3.0, "deadline_s": 4.0}
    fill(made, "rack-a", PER_SERVER, RUN_S)
    fill(made, "rack-b", PER_SERVER - 1, 0.5)
    made.run_until(RUN_S - 0.03)
    made.submit(0, "medium", "rack-a", tasks=4, priority=1, **changes)
    for number in range(12):
        made.submit(0, f"long-{number}", "", tasks=4, priority=2, **changes)
    made.run_until(3.0)
    assert made.latencies["medium"] < 0.03 + RUN_S + 0.02


def test_cost_of_an_event_is_bounded_when_hundreds_of_tasks_are_held() -> None:
    """Each report of a hot rack has all the tasks evaluated again that wait for it."""
    made = world(racks=3, per_rack=8)
    engine = made.engines[0]
    fill(made, "rack-a", 8 * PER_SERVER, RUN_S)
    made.run_until(RUN_S - 0.03)
    for number in range(40):
        made.submit(0, f"job-{number}", "rack-a", needs=Resources(cores=2.6))
    assert engine.holds.count() > 60
    calls = 0
    decide = engine._fleet.choose_or_hold

    def count(*arguments: object) -> object:
        nonlocal calls
        calls += 1
        return decide(*arguments)  # type: ignore[arg-type]

    engine._fleet.choose_or_hold = count  # type: ignore[method-assign, assignment]
    made._reply(0, made.servers["a0"], work.FromAgent())
    made.run_until(made.now_s + 0.001)
    assert calls <= 8


def test_evaluation_of_many_held_tasks_ends_and_leaves_none_out() -> None:
    """Guards against flushes without end that evaluate only the first held tasks.

    With a confined workload, a task that stays held does not stand for equal ones.
    """
    made = world(racks=3, per_rack=8)
    engine = made.engines[0]
    fill(made, "rack-a", 8 * PER_SERVER, RUN_S)
    made.run_until(RUN_S - 0.03)
    for number in range(6):
        made.submit(0, f"job-{number}", "rack-a")
    held = {item.key for item in engine.holds.held_for("rack-a")}
    assert len(held) > MAX_DECISIONS_PER_RACK
    engine._fleet.confine("s", {"other": 0.01}, made.now_s)
    evaluated: list[tuple[str, int, int]] = []
    decide = engine._fleet.choose_or_hold

    def record(task: TaskRequest, now_s: float, claim: HoldClaim) -> Decision:
        evaluated.append(held_key(task))
        return decide(task, now_s, claim)

    engine._fleet.choose_or_hold = record  # type: ignore[method-assign]
    message = work.FromAgent(load=made.servers["a0"].load())
    for _ in range(2):
        engine.on_agent_message("a0", message, made.now_s)
        engine.flush(made.now_s)
    flushes = 0
    while engine.next_hold_due_s() <= made.now_s and flushes < 100:
        engine.flush(made.now_s)
        flushes += 1
    assert flushes <= 4
    assert set(evaluated) == held
    assert len(evaluated) == 2 * len(held)


def test_agent_whose_stream_opens_is_told_how_many_tasks_are_held() -> None:
    """Its reports leave out the tasks held here, so other entries hold too many."""
    made = world()
    fill(made, "rack-a", 2 * PER_SERVER, RUN_S)
    made.run_until(RUN_S - 0.06)
    made.submit(0, "job", "rack-a")
    engine = made.engines[0]
    engine.tick(made.now_s)
    made.flush(0)
    server = made.servers["a1"]
    assert server.held == {0: 8}
    server.held.clear()
    engine.on_agent_disconnected("a1", made.now_s)
    welcome = work.AgentWelcome(agent_id="a1", incarnation="1", slots=1_000)
    engine.on_agent_connected(welcome, made.now_s)
    engine.tick(made.now_s)
    made.flush(0)
    assert server.held == {0: 8}


def test_agents_of_a_rack_learn_that_nothing_is_held_after_one_has_connected() -> None:
    """Guards against a number of held tasks that stays after the last hold has ended.

    Other entries would leave capacity to tasks that do not exist.
    """
    made = world()
    fill(made, "rack-a", 2 * PER_SERVER, RUN_S)
    made.run_until(RUN_S - 0.06)
    made.submit(0, "job", "rack-a")
    engine = made.engines[0]
    engine.tick(made.now_s)
    made.flush(0)
    engine.on_agent_disconnected("a1", made.now_s)
    welcome = work.AgentWelcome(agent_id="a1", incarnation="1", slots=1_000)
    engine.on_agent_connected(welcome, made.now_s)
    engine.cancel("job", made.now_s)
    engine.tick(made.now_s)
    made.flush(0)
    assert made.servers["a0"].held == {0: 0}
    assert made.servers["a1"].held == {0: 0}


def test_hold_of_a_job_that_is_cancelled_between_ticks_has_its_duration(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against negative hold times, which were counted up to the last tick."""
    caplog.set_level("INFO")
    made = world()
    fill(made, "rack-a", 2 * PER_SERVER, RUN_S)
    made.run_until(0.07)
    made.submit(0, "job", "rack-a")
    assert made.engines[0].holds.count() == 8
    made.engines[0].cancel("job", made.now_s + 0.002)
    lines = [record for record in caplog.records if record.message == "task held"]
    assert {line.held_ms for line in lines} == {2.0}  # type: ignore[attr-defined]


def test_held_task_whose_server_is_not_enabled_is_not_counted_as_placed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against holds that are logged as ended by a server that gets no task."""
    caplog.set_level("INFO")
    made = world()
    fill(made, "rack-a", 2 * PER_SERVER, RUN_S)
    made.run_until(RUN_S - 0.03)
    made.submit(0, "job", "rack-a")
    engine = made.engines[0]
    assert engine.holds.count() == 8
    for name in made.servers:
        engine._dispatcher.disable_agent(name)
    made.run_until(RUN_S + 0.05)
    lines = [record for record in caplog.records if record.message == "task held"]
    assert len(lines) == 8
    assert {line.ended_by for line in lines} == {RETURNED}  # type: ignore[attr-defined]
    assert engine.holds.counts.given_up == 0
    assert engine.queued_tasks == 8


def test_holds_are_counted_logged_and_exported(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """An operator cannot see that tasks wait for their rack, nor why one did."""
    caplog.set_level("INFO")
    made = world()
    metrics = Metrics("entry-1", "norte")
    register_hold_metrics(metrics, made.engines[0].holds)
    fill(made, "rack-a", 2 * PER_SERVER, RUN_S)
    made.run_until(RUN_S - 0.03)
    made.submit(0, "job", "rack-a")
    made.run_until(1.0)
    text = metrics.render()[0].decode()
    metrics.close()
    name = "verbenaplank_entry"
    labels = '{outcome="local server is free"}'
    assert f"{name}_locality_placed_locally_total 32.0" in text
    assert f"{name}_locality_placed_remotely_total 0.0" in text
    assert f"{name}_locality_held_total 8.0" in text
    assert f"{name}_locality_given_up_total 0.0" in text
    assert f"{name}_held_tasks 0.0" in text
    assert f"{name}_hold_duration_seconds_count{labels} 8.0" in text
    lines = [record for record in caplog.records if record.message == "task held"]
    assert {line.ended_by for line in lines} == {"local server is free"}  # type: ignore[attr-defined]
    assert {line.rack for line in lines} == {"rack-a"}  # type: ignore[attr-defined]
    assert all(20 <= line.held_ms <= 40 for line in lines)  # type: ignore[attr-defined]
