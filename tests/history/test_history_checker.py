from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import pytest

from verbenaplank.history.checker import ViolationKind
from verbenaplank.history.checker import check_history
from verbenaplank.history.event import AnswerState
from verbenaplank.history.event import Event
from verbenaplank.history.event import EventKind
from verbenaplank.history.json_lines import EventWriter
from verbenaplank.history.json_lines import InvalidHistoryError
from verbenaplank.history.json_lines import LocatedEvent
from verbenaplank.history.json_lines import read_events
from verbenaplank.outcome.failure import RunState

if TYPE_CHECKING:
    from pathlib import Path

REQUESTED = Event(
    kind=EventKind.REQUESTED, time_s=0.0, process="c", job_id="j", tasks=("a", "b")
)
START_0 = Event(
    kind=EventKind.BACKEND_STARTED, time_s=1.0, process="b1", job_id="j", task_index=0
)
START_1 = attrs.evolve(START_0, process="b2", task_index=1)
COMPLETE = Event(
    kind=EventKind.ANSWERED,
    time_s=2.0,
    process="c",
    job_id="j",
    state=AnswerState.COMPLETE,
    results=("a", "b"),
)
FAILED = attrs.evolve(COMPLETE, state=AnswerState.FAILED, run=RunState.RAN, results=())
NOT_RUN = attrs.evolve(FAILED, run=RunState.NOT_RUN)
LEFT = Event(kind=EventKind.LEFT, time_s=1.0, process="a1")
JOINED = attrs.evolve(LEFT, kind=EventKind.JOINED, time_s=1.2)
AGENT_START = Event(
    kind=EventKind.STARTED, time_s=1.5, process="a1", job_id="j", task_index=0
)
IDEMPOTENT = attrs.evolve(REQUESTED, idempotent=True, max_runs=2)


def _violation_kinds(*events: Event) -> list[ViolationKind]:
    located = [LocatedEvent(f"h:{line}", event) for line, event in enumerate(events, 1)]
    return [violation.kind for violation in check_history(located)]


@pytest.mark.parametrize(
    "events",
    [
        (REQUESTED, START_0, START_1, COMPLETE),
        (REQUESTED, START_0, FAILED),
        (REQUESTED, NOT_RUN),
        (IDEMPOTENT, START_0, START_0, START_1, COMPLETE),
        (REQUESTED, AGENT_START, LEFT, FAILED),
        (REQUESTED, LEFT, JOINED, attrs.evolve(AGENT_START, time_s=9.0), FAILED),
    ],
)
def test_correct_history_has_no_violation(events: tuple[Event, ...]) -> None:
    assert _violation_kinds(*events) == []


def test_refused_request_that_is_submitted_again_may_start() -> None:
    """A start after a second request belongs to it, not to the refused first one."""
    refused = attrs.evolve(NOT_RUN, time_s=0.1)
    again = attrs.evolve(REQUESTED, time_s=0.2)

    assert _violation_kinds(REQUESTED, refused, again, START_0, START_1, COMPLETE) == []


def test_refusal_of_a_resubmission_does_not_excuse_an_earlier_start() -> None:
    """A task that started before the refusal contradicts an answer of not run."""
    refused = attrs.evolve(NOT_RUN, time_s=1.5)
    again = attrs.evolve(REQUESTED, time_s=1.6)

    assert (
        _violation_kinds(REQUESTED, START_0, START_1, refused, again, COMPLETE)
        == [ViolationKind.NOT_RUN_BUT_STARTED] * 2
    )


@pytest.mark.parametrize(
    ("events", "violation"),
    [
        (
            (REQUESTED, START_0, START_0, START_1, COMPLETE),
            ViolationKind.STARTED_TOO_OFTEN,
        ),
        (
            (IDEMPOTENT, START_0, START_0, START_0, START_1, COMPLETE),
            ViolationKind.STARTED_TOO_OFTEN,
        ),
        (
            (REQUESTED, attrs.evolve(COMPLETE, results=("a",))),
            ViolationKind.PARTIAL_ANSWER,
        ),
        (
            (REQUESTED, attrs.evolve(FAILED, results=("a",))),
            ViolationKind.PARTIAL_ANSWER,
        ),
        (
            (REQUESTED, attrs.evolve(COMPLETE, results=("a", "x"))),
            ViolationKind.FOREIGN_RESULT,
        ),
        (
            (REQUESTED, COMPLETE, COMPLETE),
            ViolationKind.ANSWER_WITHOUT_REQUEST,
        ),
        ((REQUESTED,), ViolationKind.UNANSWERED),
        ((REQUESTED, START_0, NOT_RUN), ViolationKind.NOT_RUN_BUT_STARTED),
        (
            (REQUESTED, NOT_RUN, attrs.evolve(START_0, time_s=9.0)),
            ViolationKind.NOT_RUN_BUT_STARTED,
        ),
        ((START_0,), ViolationKind.START_WITHOUT_REQUEST),
        (
            (REQUESTED, LEFT, attrs.evolve(AGENT_START, time_s=3.5), FAILED),
            ViolationKind.STARTED_AFTER_LEAVING,
        ),
    ],
)
def test_each_violation_is_found(
    events: tuple[Event, ...], violation: ViolationKind
) -> None:
    assert _violation_kinds(*events) == [violation]


def test_results_in_another_order_are_violations() -> None:
    """Each result is compared with the task at its index."""
    swapped = attrs.evolve(COMPLETE, results=("b", "a"))

    assert _violation_kinds(REQUESTED, swapped) == [ViolationKind.FOREIGN_RESULT] * 2


def test_resubmission_does_not_allow_a_second_start() -> None:
    """Two callers that submit the same job share its runs."""
    other_caller = attrs.evolve(REQUESTED, process="d", time_s=0.5)
    other_answer = attrs.evolve(COMPLETE, process="d")

    assert _violation_kinds(
        REQUESTED, other_caller, START_0, START_0, START_1, COMPLETE, other_answer
    ) == [ViolationKind.STARTED_TOO_OFTEN]


def test_events_are_read_back_with_their_locations(tmp_path: Path) -> None:
    """An incomplete last line, as a killed process leaves it, is skipped."""
    path = tmp_path / "caller.jsonl"
    with EventWriter(path) as writer:
        for event in (REQUESTED, COMPLETE):
            writer.write(event)
    with path.open("ab") as file:
        file.write(b'{"kind": "answ')

    located = list(read_events(path))
    assert [each.event for each in located] == [REQUESTED, COMPLETE]
    assert [each.location for each in located] == ["caller.jsonl:1", "caller.jsonl:2"]


def test_error_names_the_line_that_is_not_an_event(tmp_path: Path) -> None:
    path = tmp_path / "caller.jsonl"
    path.write_text('{"kind": "unknown"}\n')

    with pytest.raises(InvalidHistoryError, match=r"caller\.jsonl:1"):
        list(read_events(path))
