"""Builds the replies of the gate to entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.agent.effects import Reply
from verbenaplank.protocol.work import DispatchRefusal
from verbenaplank.protocol.work import Revocation
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import TaskResult

if TYPE_CHECKING:
    from verbenaplank.agent.dispatch_queue import QueuedDispatch
    from verbenaplank.agent.effects import EntryKey
    from verbenaplank.protocol.work import RefusalReason
    from verbenaplank.protocol.work import RevocationState
    from verbenaplank.protocol.work import Revoke


def refusal_reply(
    queued: QueuedDispatch, reason: RefusalReason, *, evacuated: bool = False
) -> Reply:
    """Return a reply that refuses a dispatch."""
    refusal = DispatchRefusal(
        job_id=queued.dispatch.job_id,
        task_index=queued.dispatch.task_index,
        dispatch_id=queued.dispatch.dispatch_id,
        reason=reason,
        attempt=queued.dispatch.attempt,
        evacuated=evacuated,
    )
    return Reply(queued.entry.key, refusal)


def revocation_reply(key: EntryKey, revoke: Revoke, state: RevocationState) -> Reply:
    """Return a reply that says if a dispatch was revoked, had started or finished."""
    revocation = Revocation(
        job_id=revoke.job_id,
        task_index=revoke.task_index,
        dispatch_id=revoke.dispatch_id,
        state=state,
    )
    return Reply(key, revocation)


def lost_result_reply(key: EntryKey, revoke: Revoke) -> Reply:
    """Return a ``CONNECTION_LOST`` result for a task whose result is not retained."""
    result = TaskResult(
        job_id=revoke.job_id,
        task_index=revoke.task_index,
        dispatch_id=revoke.dispatch_id,
        outcome=TaskOutcome.CONNECTION_LOST,
        error="the result is no longer retained",
        attempt=revoke.attempt,
    )
    return Reply(key, result)
