from __future__ import annotations

import attrs

from entry.load_replay import MEDIUM
from entry.load_replay import Replay
from verbenaplank.agent.named_task import NamedTask
from verbenaplank.entry.hopeless_jobs import HopelessJobs
from verbenaplank.entry.routed_job import RoutedJob
from verbenaplank.entry.routed_job import routed_submission
from verbenaplank.entry.service_loads import EntryView
from verbenaplank.entry.service_loads import ServiceLoads
from verbenaplank.placement.task import Resources


def test_idle_straggler_does_not_keep_a_hopeless_job() -> None:
    """Guards against an idle server that gets only probes and disables the removal."""
    replay = Replay(agents=4, cores=4.0)
    replay.used = dict.fromkeys(replay.cores, 4.0) | {"agent-0": 0.0}
    replay._report(0)
    entry = replay.entries[0]
    view = EntryView(
        entry_count=lambda: 1, is_current=lambda: True, time_left_s=lambda: 1e9
    )
    loads = ServiceLoads(
        fleet=entry.fleet,
        queue=entry.queue,
        clock=lambda: 0.0,
        view=view,
        startup_ends_s=0.0,
    )
    hopeless = HopelessJobs(
        queue=entry.queue,
        jobs=entry.engine.jobs,
        dispatch_table=entry.engine.dispatch_table,
        loads=loads,
        fleet=entry.fleet,
    )
    job = RoutedJob(
        key="job",
        route=MEDIUM,
        tasks=(NamedTask(name="job.0", content=""),),
        needs=Resources(cores=1.0),
        estimate_s=0.4,
        caller_timeout_s=100.0,
    )
    submission = routed_submission(job, "job", 0.0)
    entry.engine.submit(attrs.evolve(submission, weighs_waits=True), 0.0)
    assert hopeless._fits_now("job", 0.0)
    entry.fleet._servers["agent-0"].slowness = 30.0
    entry.fleet._stragglers._limits.clear()
    assert not hopeless._fits_now("job", 0.0)
