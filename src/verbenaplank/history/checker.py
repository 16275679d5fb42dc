"""Checks a history against what must always hold."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from verbenaplank.history.event import AnswerState
from verbenaplank.history.event import EventKind
from verbenaplank.history.json_lines import LocatedEvent
from verbenaplank.outcome.failure import Run

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

LEAVING_TOLERANCE_S = 2.0
"""An agent may start what reached it so long after it left."""


class ViolationKind(StrEnum):
    """Which promise a history breaks."""

    STARTED_TOO_OFTEN = "started_too_often"
    PARTIAL_ANSWER = "partial_answer"
    FOREIGN_RESULT = "foreign_result"
    ANSWER_WITHOUT_REQUEST = "answer_without_request"
    UNANSWERED = "unanswered"
    NOT_RUN_BUT_STARTED = "not_run_but_started"
    STARTED_AFTER_LEAVING = "started_after_leaving"
    START_WITHOUT_REQUEST = "start_without_request"


@attrs.frozen(kw_only=True)
class Violation:
    """One broken promise, with the place of the event that shows it."""

    kind: ViolationKind
    location: str
    detail: str

    def __str__(self) -> str:
        return f"{self.location}: {self.kind}: {self.detail}"


@attrs.frozen
class _TaskKey:
    job_id: str
    task_index: int


@attrs.frozen
class _SubmissionKey:
    caller: str
    job_id: str


@attrs.define
class _Submission:
    """A request and its answer; a caller that resubmits has several."""

    request: LocatedEvent
    answer: LocatedEvent | None = None

    @property
    def refused_as_not_run(self) -> bool:
        return self.answer is not None and self.answer.event.run is Run.NOT_RUN


@attrs.define
class _History:
    submissions: defaultdict[str, list[_Submission]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    starts: defaultdict[str, list[LocatedEvent]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    agent_starts: list[LocatedEvent] = attrs.field(factory=list)
    left_s: dict[str, float] = attrs.field(factory=dict)
    late_starts: list[Violation] = attrs.field(factory=list)
    stray_answers: list[LocatedEvent] = attrs.field(factory=list)


def check_history(events: Iterable[LocatedEvent]) -> list[Violation]:
    """Return every violation, in the order of the checks.

    Starts are taken from the backend servers' own records; a history without
    them takes those of the agents.
    """
    history = _collect(sorted(events, key=lambda located: located.event.time_s))
    violations = [*_check_starts(history), *history.late_starts]
    for submissions in history.submissions.values():
        for submission in submissions:
            violations.extend(_check_answer(submission))
    violations.extend(_check_not_run(history))
    violations.extend(
        _violation(ViolationKind.ANSWER_WITHOUT_REQUEST, answer, answer.event.job_id)
        for answer in history.stray_answers
    )
    return violations


def _collect(events: Iterable[LocatedEvent]) -> _History:
    history = _History()
    open_submissions: defaultdict[_SubmissionKey, list[_Submission]] = defaultdict(list)
    backend_starts: list[LocatedEvent] = []
    for located in events:
        event = located.event
        key = _SubmissionKey(event.process, event.job_id)
        if event.kind is EventKind.REQUESTED:
            submission = _Submission(located)
            history.submissions[event.job_id].append(submission)
            open_submissions[key].append(submission)
        elif event.kind is EventKind.ANSWERED:
            _add_answer(history, open_submissions[key], located)
        elif event.kind is EventKind.STARTED:
            history.agent_starts.append(located)
            history.late_starts.extend(_check_leaving(history, located))
        elif event.kind is EventKind.BACKEND_STARTED:
            backend_starts.append(located)
        elif event.kind is EventKind.LEFT:
            history.left_s[event.process] = event.time_s
        elif event.kind is EventKind.JOINED:
            history.left_s.pop(event.process, None)
    for start in backend_starts or history.agent_starts:
        history.starts[start.event.job_id].append(start)
    return history


def _add_answer(
    history: _History, waiting: list[_Submission], answer: LocatedEvent
) -> None:
    if waiting:
        waiting.pop(0).answer = answer
    else:
        history.stray_answers.append(answer)


def _check_starts(history: _History) -> Iterator[Violation]:
    for job_id, starts in history.starts.items():
        submissions = history.submissions.get(job_id)
        if not submissions:
            yield _violation(ViolationKind.START_WITHOUT_REQUEST, starts[0], job_id)
            continue
        allowed = _allowed_starts(submissions)
        counts: Counter[_TaskKey] = Counter()
        for start in starts:
            key = _TaskKey(job_id, start.event.task_index)
            counts[key] += 1
            if counts[key] == allowed + 1:
                detail = f"task {key.task_index} of {job_id} over {allowed}"
                yield _violation(ViolationKind.STARTED_TOO_OFTEN, start, detail)


def _allowed_starts(submissions: list[_Submission]) -> int:
    """Return how often each task may start; resubmissions add nothing."""
    requests = [submission.request.event for submission in submissions]
    if not all(request.idempotent for request in requests):
        return 1
    return max(request.max_runs for request in requests)


def _check_leaving(history: _History, start: LocatedEvent) -> Iterator[Violation]:
    process = start.event.process
    late_s = start.event.time_s - history.left_s.get(process, float("inf"))
    if late_s > LEAVING_TOLERANCE_S:
        detail = f"{process} started a task {late_s:.1f} s after it left"
        yield _violation(ViolationKind.STARTED_AFTER_LEAVING, start, detail)


def _check_answer(submission: _Submission) -> Iterator[Violation]:
    answer, request = submission.answer, submission.request
    job_id = request.event.job_id
    if answer is None:
        yield _violation(ViolationKind.UNANSWERED, request, job_id)
        return
    results, tasks = answer.event.results, request.event.tasks
    if answer.event.state is AnswerState.FAILED:
        if results:
            detail = f"{job_id} failed with {len(results)} results"
            yield _violation(ViolationKind.PARTIAL_ANSWER, answer, detail)
        return
    if len(results) != len(tasks):
        detail = f"{job_id} has {len(results)} results for {len(tasks)} tasks"
        yield _violation(ViolationKind.PARTIAL_ANSWER, answer, detail)
        return
    for index, (result, task) in enumerate(zip(results, tasks, strict=True)):
        if result != task:
            detail = f"result {index} of {job_id} is {result!r}, not {task!r}"
            yield _violation(ViolationKind.FOREIGN_RESULT, answer, detail)


def _check_not_run(history: _History) -> Iterator[Violation]:
    """Look for starts that no submission but refused ones can account for.

    A caller may submit an identifier again after a refusal; a start then
    belongs to the later submission if it comes after its request.
    """
    for job_id, submissions in history.submissions.items():
        refused = [each for each in submissions if each.refused_as_not_run]
        accepted = [each for each in submissions if not each.refused_as_not_run]
        first_s = min(
            (each.request.event.time_s for each in accepted), default=float("inf")
        )
        for start in history.starts.get(job_id, []):
            if refused and start.event.time_s < first_s:
                answer = refused[0].answer
                detail = (
                    f"{job_id} was refused as not run and started at {start.location}"
                )
                yield _violation(
                    ViolationKind.NOT_RUN_BUT_STARTED, answer or start, detail
                )


def _violation(kind: ViolationKind, located: LocatedEvent, detail: str) -> Violation:
    return Violation(kind=kind, location=located.location, detail=detail)
