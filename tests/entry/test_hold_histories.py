"""Random histories of loads, losses and drains of racks that tasks are held for."""

from __future__ import annotations

import attrs
import hypothesis.strategies as st
from hypothesis import given
from hypothesis import settings

from entry.rack_world import TICK_S
from entry.rack_world import RackWorld
from entry.rack_world import Server
from verbenaplank.placement.locality import LONGEST_HOLD_S
from verbenaplank.placement.task import Resources

SERVERS = ("a0", "a1", "b0", "b1", "c0")


@attrs.frozen
class Step:
    after_s: float
    kind: str
    server: str
    tasks: int
    cores: float
    run_s: float
    urgent: bool


steps = st.lists(
    st.builds(
        Step,
        after_s=st.sampled_from((0.0, 0.005, 0.05, 0.2)),
        kind=st.sampled_from(("job",) * 12 + ("lose", "drain", "silence")),
        server=st.sampled_from(SERVERS),
        tasks=st.integers(1, 12),
        cores=st.sampled_from((1.0, 2.6, 8.0)),
        run_s=st.sampled_from((0.05, 0.12, 0.4)),
        urgent=st.booleans(),
    ),
    max_size=30,
)


def check(made: RackWorld) -> None:
    if not any(server.lost for server in made.servers.values()):
        assert len(set(made.ran)) == len(made.ran)
    for engine in made.engines:
        for held in [
            held
            for rack in engine._queue.held_by_rack
            for held in engine._queue.held_for(rack)
        ]:
            task = held.task
            outstanding = [
                key
                for server in engine._fleet._servers.values()
                for key in server.outstanding
            ]
            assert held.key not in outstanding
            assert engine.jobs.is_running(task.job_id)
            assert made.now_s <= task.latest_start_s + TICK_S
            assert held.hold.until_s <= min(
                task.latest_start_s, made.now_s + LONGEST_HOLD_S
            )


@settings(max_examples=80, deadline=None)
@given(steps, st.integers(1, 3))
def test_held_tasks_are_started_or_reported(history: list[Step], entries: int) -> None:
    """A held task is started twice, forgotten, or held past its latest start."""
    servers = [Server(name, f"rack-{name[0]}", 16.0, 1.0) for name in SERVERS]
    servers[1].speed = 0.5
    made = RackWorld(servers, entries)
    jobs = 0
    for step in history:
        made.run_until(made.now_s + step.after_s)
        server = made.servers[step.server]
        if step.kind == "job":
            jobs += 1
            made.submit(
                jobs % entries,
                f"job-{jobs}",
                server.rack,
                step.tasks,
                needs=Resources(cores=step.cores),
                declared_run_time_s=step.run_s,
                urgent=step.urgent,
                priority=int(not step.urgent),
            )
        elif step.kind == "lose" and not server.lost:
            made.lose(step.server)
        elif step.kind == "drain" and not server.lost:
            made.drain(step.server)
        elif step.kind == "silence":
            server.silent = True
        check(made)
    for _ in range(100):
        made.run_until(made.now_s + 0.05)
        check(made)
    assert len(made.latencies) + len(made.failed) == jobs
    assert all(engine.holds.count() == 0 for engine in made.engines)
    assert all(len(engine.jobs) == 0 for engine in made.engines)
