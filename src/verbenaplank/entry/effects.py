"""Actions that the engine requests from its runner."""

from __future__ import annotations

import attrs

from verbenaplank.outcome.failure import Failure
from verbenaplank.protocol.crash import Confinement
from verbenaplank.protocol.crash import CrashReport
from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import HeldCount
from verbenaplank.protocol.work import Revoke
from verbenaplank.protocol.work import Stop

ToAgentItem = Dispatch | Revoke | Stop | CrashReport | Confinement | HeldCount


@attrs.frozen
class SendToAgent:
    """Send an item on the stream to an agent."""

    agent_id: str
    item: ToAgentItem


@attrs.frozen
class JobCompleted:
    """Complete a job with the outputs of all its tasks, in order."""

    job_id: str
    results: tuple[bytes, ...]


@attrs.frozen
class JobFailed:
    """Complete a job with a failure."""

    job_id: str
    failure: Failure


JobOutcome = JobCompleted | JobFailed

Effect = SendToAgent | JobOutcome
"""An action for the runner, which applies effects in the order of their list."""
