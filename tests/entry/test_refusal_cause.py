from __future__ import annotations

import pytest

from entry.driver import Driver
from entry.driver import submission
from verbenaplank.entry.effects import JobFailed
from verbenaplank.entry.routed_jobs import _routed_outcome
from verbenaplank.outcome.failure import RunState


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        ("evacuated", "evacuated"),
        ("deadline", "deadline"),
        ("latest_start", "latest_start"),
        ("cancelled", None),
    ],
)
def test_queued_job_is_counted_by_what_ended_it(
    event: str, expected: str | None
) -> None:
    """Guards against evacuations and deadlines that count as a lack of capacity."""
    driver = Driver("a", slots=1)
    driver.submit("running", deadline_s=100.0)
    start_s = 2.0 if event == "latest_start" else 100.0
    driver.submit("queued", deadline_s=5.0, latest_start_s=start_s)
    if event == "evacuated":
        driver.fleet.set_evacuated(frozenset({"Kochi"}), driver.now_s)
    elif event == "cancelled":
        driver.cancel("queued")
    driver.advance(8.0 if event == "deadline" else 2.0)
    failure = driver.failed["queued"]
    assert failure.run is RunState.NOT_RUN
    outcome = _routed_outcome(JobFailed("queued", failure), submission("queued"))
    assert outcome.cause == expected
