"""Checks a recorded history for violations of the guarantees of job execution."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from enum import StrEnum
from typing import TYPE_CHECKING

import attrs

from verbenaplank.history.event import AnswerState
from verbenaplank.history.event import EventKind
from verbenaplank.history.json_lines import LocatedEvent
from verbenaplank.outcome.failure import RunState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

START_AFTER_LEAVING_TOLERANCE_S = 2.0
"""How long after it left an agent may start tasks that it had received before."""


class ViolationKind(StrEnum):
    """Guarantee that a history violates.

    Attributes
    ----------
    STARTED_TOO_OFTEN
        A task started more often than its submissions allow.
    PARTIAL_ANSWER
        A complete answer has the wrong number of results, or a failed one has any.
    FOREIGN_RESULT
        A result differs from the expected one of its task.
    ANSWER_WITHOUT_REQUEST
        An answer matches no unanswered request of its caller.
    UNANSWERED
        A request has no answer.
    NOT_RUN_BUT_STARTED
        A job was refused as not run, but a task of it started before the job was
        submitted again and accepted.
    STARTED_AFTER_LEAVING
        An agent started a task too long after it left.
    START_WITHOUT_REQUEST
        A task of a job that was never requested started.
    """

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
    """One violation and the event that shows it.

    Attributes
    ----------
    location
        File and line of the event, such as ``agent.jsonl:7``.
    """

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
    """A request and its answer; each resubmission of a job adds one."""

    request: LocatedEvent
    answer: LocatedEvent | None = None

    @property
    def refused_as_not_run(self) -> bool:
        return self.answer is not None and self.answer.event.run is RunState.NOT_RUN


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
    starts_after_leaving: list[Violation] = attrs.field(factory=list)
    unmatched_answers: list[LocatedEvent] = attrs.field(factory=list)


def check_history(events: Iterable[LocatedEvent]) -> list[Violation]:
    """Return all violations in a history, grouped by check.

    Starts are taken from the events of the backend servers or, if there are none,
    from the events of the agents.
    """
    history = _build_history(sorted(events, key=lambda located: located.event.time_s))
    violations = [*_check_starts(history), *history.starts_after_leaving]
    for submissions in history.submissions.values():
        for submission in submissions:
            violations.extend(_check_answer(submission))
    violations.extend(_check_not_run(history))
    violations.extend(
        _make_violation(
            ViolationKind.ANSWER_WITHOUT_REQUEST, answer, answer.event.job_id
        )
        for answer in history.unmatched_answers
    )
    return violations


def _build_history(events: Iterable[LocatedEvent]) -> _History:
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
            history.starts_after_leaving.extend(
                _check_start_after_leaving(history, located)
            )
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
    history: _History, open_submissions: list[_Submission], answer: LocatedEvent
) -> None:
    if open_submissions:
        open_submissions.pop(0).answer = answer
    else:
        history.unmatched_answers.append(answer)


def _check_starts(history: _History) -> Iterator[Violation]:
    for job_id, starts in history.starts.items():
        submissions = history.submissions.get(job_id)
        if not submissions:
            yield _make_violation(
                ViolationKind.START_WITHOUT_REQUEST, starts[0], job_id
            )
            continue
        allowed = _allowed_starts(submissions)
        counts: Counter[_TaskKey] = Counter()
        for start in starts:
            key = _TaskKey(job_id, start.event.task_index)
            counts[key] += 1
            if counts[key] == allowed + 1:
                detail = f"task {key.task_index} of {job_id} over {allowed}"
                yield _make_violation(ViolationKind.STARTED_TOO_OFTEN, start, detail)


def _allowed_starts(submissions: list[_Submission]) -> int:
    """Return how often each task may start, however often the job was submitted."""
    requests = [submission.request.event for submission in submissions]
    if not all(request.idempotent for request in requests):
        return 1
    return max(request.max_runs for request in requests)


def _check_start_after_leaving(
    history: _History, start: LocatedEvent
) -> Iterator[Violation]:
    process = start.event.process
    late_s = start.event.time_s - history.left_s.get(process, float("inf"))
    if late_s > START_AFTER_LEAVING_TOLERANCE_S:
        detail = f"{process} started a task {late_s:.1f} s after it left"
        yield _make_violation(ViolationKind.STARTED_AFTER_LEAVING, start, detail)


def _check_answer(submission: _Submission) -> Iterator[Violation]:
    answer, request = submission.answer, submission.request
    job_id = request.event.job_id
    if answer is None:
        yield _make_violation(ViolationKind.UNANSWERED, request, job_id)
        return
    results, tasks = answer.event.results, request.event.tasks
    if answer.event.state is AnswerState.FAILED:
        if results:
            detail = f"{job_id} failed with {len(results)} results"
            yield _make_violation(ViolationKind.PARTIAL_ANSWER, answer, detail)
        return
    if len(results) != len(tasks):
        detail = f"{job_id} has {len(results)} results for {len(tasks)} tasks"
        yield _make_violation(ViolationKind.PARTIAL_ANSWER, answer, detail)
        return
    for index, (result, task) in enumerate(zip(results, tasks, strict=True)):
        if result != task:
            detail = f"result {index} of {job_id} is {result!r}, not {task!r}"
            yield _make_violation(ViolationKind.FOREIGN_RESULT, answer, detail)


def _check_not_run(history: _History) -> Iterator[Violation]:
    """Find starts that can only belong to submissions refused as not run.

    A caller may submit a job id again after a refusal.  A start belongs to that later
    submission if it comes after its request.
    """
    for job_id, submissions in history.submissions.items():
        refused = [
            submission for submission in submissions if submission.refused_as_not_run
        ]
        accepted = [
            submission
            for submission in submissions
            if not submission.refused_as_not_run
        ]
        first_accepted_s = min(
            (submission.request.event.time_s for submission in accepted),
            default=float("inf"),
        )
        for start in history.starts.get(job_id, []):
            if refused and start.event.time_s < first_accepted_s:
                answer = refused[0].answer
                detail = (
                    f"{job_id} was refused as not run and started at {start.location}"
                )
                yield _make_violation(
                    ViolationKind.NOT_RUN_BUT_STARTED, answer or start, detail
                )


def _make_violation(
    kind: ViolationKind, located: LocatedEvent, detail: str
) -> Violation:
    return Violation(kind=kind, location=located.location, detail=detail)
