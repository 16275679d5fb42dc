"""Replies of the gate to entries."""

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


def refusal_reply(waiting: QueuedDispatch, reason: RefusalReason) -> Reply:
    """Return the refusal of a dispatch."""
    refusal = DispatchRefusal(
        job_id=waiting.dispatch.job_id,
        task_index=waiting.dispatch.task_index,
        dispatch_id=waiting.dispatch.dispatch_id,
        reason=reason,
        attempt=waiting.dispatch.attempt,
    )
    return Reply(waiting.entry.key, refusal)


def revocation_reply(key: EntryKey, revoke: Revoke, state: RevocationState) -> Reply:
    """Return what a revocation found."""
    revocation = Revocation(
        job_id=revoke.job_id,
        task_index=revoke.task_index,
        dispatch_id=revoke.dispatch_id,
        state=state,
    )
    return Reply(key, revocation)


def lost_result_reply(key: EntryKey, revoke: Revoke) -> Reply:
    """Return the result of a task that has, or may have, run without one."""
    result = TaskResult(
        job_id=revoke.job_id,
        task_index=revoke.task_index,
        dispatch_id=revoke.dispatch_id,
        outcome=TaskOutcome.CONNECTION_LOST,
        error="the result is no longer kept",
        attempt=revoke.attempt,
    )
    return Reply(key, result)
