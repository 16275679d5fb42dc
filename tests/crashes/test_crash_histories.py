from __future__ import annotations

import pytest

from crashes.crash_world import World
from verbenaplank.crashes.limit import MAX_CRASHES
from verbenaplank.crashes.limit import MAX_CRASHES_AS_SUSPECT

STEPS = 1_200
"""A minute of the model's time."""

MAX_STARTS_AFTER_THIRD_CRASH = 2
"""The users count a third one as a broken rule."""


def play(seed: int, *, cut_share: float, kill_share: float) -> World:
    """Submit jobs for the first half of a history with random faults."""
    world = World(seed)
    for step in range(STEPS):
        if step < STEPS / 2 and step % 8 == 0:
            world.submit(deadly=world.random.random() < 0.1)
        draw = world.random.random()
        if draw < cut_share:
            world.cut()
        elif draw < cut_share + kill_share:
            world.kill_entry()
        elif draw < cut_share + 1.5 * kill_share:
            world.kill_agent()
        world.step()
    return world


@pytest.mark.parametrize("seed", range(12))
async def test_no_task_crashes_backend_servers_without_a_limit(seed: int) -> None:
    """Entries and agents are killed, servers are cut off, and callers come back."""
    world = play(seed, cut_share=0.01, kill_share=0.01)
    assert any(job.deadly for job in world.jobs.values())
    for name, starts in world.starts_after_third.items():
        assert starts <= MAX_STARTS_AFTER_THIRD_CRASH, (name, starts)
    unfinished = [
        job.name
        for job in world.jobs.values()
        if not (job.deadly or job.succeeded or job.given_up)
    ]
    assert not unfinished


@pytest.mark.parametrize("seed", range(12))
async def test_without_kills_no_task_passes_its_limit(seed: int) -> None:
    world = play(seed, cut_share=0.01, kill_share=0.0)
    for job in world.jobs.values():
        limit = MAX_CRASHES if job.crash_delay_s else MAX_CRASHES_AS_SUSPECT
        assert world.crashes[job.name] <= limit
        assert job.given_up or not job.deadly


@pytest.mark.parametrize("seed", range(12))
async def test_cuts_and_kills_alone_fail_no_job(seed: int) -> None:
    """Runs are lost in many ways; only a crash counts against a task."""
    world = World(seed)
    for step in range(STEPS):
        if step < STEPS / 2 and step % 8 == 0:
            world.submit(deadly=False)
        draw = world.random.random()
        if draw < 0.03:
            world.cut()
        elif draw < 0.04:
            world.kill_entry()
        elif draw < 0.045:
            world.kill_agent()
        world.step()
    assert not any(job.given_up for job in world.jobs.values())
    assert all(job.succeeded for job in world.jobs.values())
