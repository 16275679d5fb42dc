"""Malformed input of callers and backend servers must not harm the process."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from verbena_platform import callers
from verbena_platform import executor
from verbena_platform.jobs import InvalidJobError
from verbena_platform.jobs import UnsupportedJobError
from verbena_platform.jobs import decode_job
from verbena_platform.reports import InvalidReportError
from verbena_platform.reports import decode_report
from verbenaplank.agent.lease_protocol import CallFailedError
from verbenaplank.http.messages import Request
from verbenaplank.routing.table import Route

ROUTE = Route(
    name="r", host="one.example", path_prefix="/a/", service="s", timeout_ms=1_500
)
VALUE: Any = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)
STEP_KEYS = ("count", "cpu", "mem-mb", "gpu", "estimate-ms", "gang", "depends-on")
STEP = st.dictionaries(st.sampled_from(STEP_KEYS), VALUE)
JOB = st.fixed_dictionaries(
    {"steps": st.lists(STEP, min_size=1, max_size=1), "best-effort": st.just(True)}
)
REPORT = st.dictionaries(
    st.sampled_from(["service", "address", "state", "sequence", "capacity", "slots"]),
    VALUE,
)
ROW = st.lists(VALUE | st.sampled_from(["a", "done", 1]), max_size=6)
fuzzed = settings(max_examples=300, derandomize=True, deadline=None)


def job_of(**step: object) -> bytes:
    steps = [{"count": 2, "cpu": 1_000, "mem-mb": 64} | step]
    return msgspec.json.encode({"best-effort": True, "steps": steps})


@pytest.mark.parametrize(
    "step",
    [
        {"count": 1_000_000_000},
        {"count": -1},
        {"cpu": -6_000},
        {"mem-mb": -1},
        {"gpu": 2**70},
        {"estimate-ms": -5.0},
        {"estimate-ms": 1e300},
    ],
    ids=str,
)
def test_job_with_impossible_amounts_is_rejected(step: dict[str, object]) -> None:
    """A billion tasks would use up the memory; negative needs would free capacity."""
    with pytest.raises(InvalidJobError):
        decode_job(job_of(**step), "id", ROUTE, 1.0)


@fuzzed
@given(st.binary(max_size=40) | JOB.map(lambda job: repr(job).encode()))
def test_bytes_that_are_no_job_are_rejected(body: bytes) -> None:
    with pytest.raises((InvalidJobError, UnsupportedJobError)):
        decode_job(body, "id", ROUTE, 1.0)


@fuzzed
@given(JOB)
def test_decoded_jobs_have_usable_amounts(job: dict[str, Any]) -> None:
    try:
        decoded = decode_job(msgspec.json.encode(job), "id", ROUTE, 1.0)
    except (InvalidJobError, UnsupportedJobError):
        return
    needs = decoded.needs
    assert decoded.tasks
    assert min(needs.cores, needs.memory_mb, needs.accelerators) >= 0
    assert 0.0 < decoded.estimate_s < math.inf


@fuzzed
@given(REPORT)
def test_reports_of_other_writers_are_rejected_or_usable(report: Any) -> None:
    """Amounts beyond 64 bits could not be sent to the control instances."""
    try:
        decoded = decode_report("id", msgspec.json.encode(report))
    except InvalidReportError:
        return
    msgspec.msgpack.encode((decoded.size.cores, decoded.size.memory_mb, decoded.slots))


@fuzzed
@given(st.lists(ROW, max_size=3), st.lists(ROW, max_size=3))
@example([[["a"], 1, "", 50]], [])
@example([["a", {}, "", 50]], [])
@example([["a", 1, "", math.inf]], [])
@example([], [[1, "a", 1, ["done"], ""]])
def test_lists_of_runs_are_usable_or_the_call_has_failed(
    active: list[list[Any]], finished: list[list[Any]]
) -> None:
    """A list in place of a name ended the task that polls, and the lease with it."""
    wire = executor._WireReply(active=active, finished=finished)
    try:
        reply = executor._poll_reply(wire, 1)
    except CallFailedError:
        return
    runs = {run for run, _ in reply.active} | {end.run for end in reply.ended}
    assert all(isinstance(run.task, str) for run in runs)
    assert all(isinstance(end.sequence, int) for end in reply.ended)


@pytest.mark.parametrize("text", ["nan", "NaN", "abc", "-nan"])
def test_deadline_that_is_no_number_is_rejected(text: str) -> None:
    """A deadline of NaN would stay first in the queue of timers for ever."""
    headers = {callers.DEADLINE_HEADER: text}
    request = Request(method="POST", path="/a/1", headers=headers, body=b"")
    with pytest.raises(InvalidJobError):
        callers._caller_timeout_ms(request)
