"""What the decisions ask the adapters to do."""

from __future__ import annotations

import attrs

from verbenaplank.outcome.failure import Failure
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import Revoke
from verbenaplank.protocol.work import Stop

ToAgentItem = Dispatch | Revoke | Stop


@attrs.frozen
class SendToAgent:
    """Hand an item to the stream of an agent."""

    agent_id: str
    item: ToAgentItem


@attrs.frozen
class JobCompleted:
    """Answer a job with the outputs of all its tasks, in order."""

    job_id: str
    results: tuple[bytes, ...]


@attrs.frozen
class JobFailed:
    """Answer a job with its failure."""

    job_id: str
    failure: Failure


JobOutcome = JobCompleted | JobFailed

Effect = SendToAgent | JobOutcome
"""One thing to do; effects are carried out in the order of their list."""
