from __future__ import annotations

from collections import Counter
from collections import deque

import attrs

from entry.messages import refused
from entry.messages import result
from entry.messages import revocation
from verbenaplank.protocol import work

Task = tuple[str, int]
Item = work.Dispatch | work.Revoke | work.Stop


@attrs.define
class AgentModel:
    """Model of an agent that decides about starts, with the messages sent to it.

    ``in_flight`` holds messages on the current stream, in order.  ``strayed`` holds
    messages from a broken stream, which may arrive at any time or never.
    """

    agent_id: str
    incarnation: int = 1
    connected: bool = True
    in_flight: deque[Item] = attrs.field(factory=deque)
    strayed: list[Item] = attrs.field(factory=list)
    accepted: dict[int, work.Dispatch] = attrs.field(factory=dict)
    running: dict[int, work.Dispatch] = attrs.field(factory=dict)
    ended: dict[int, work.TaskResult] = attrs.field(factory=dict)
    revoked: set[int] = attrs.field(factory=set)
    runs_known: set[tuple[str, int, int]] = attrs.field(factory=set)
    starts: Counter[Task] = attrs.field(factory=Counter)

    def break_stream(self) -> None:
        self.connected = False
        self.strayed.extend(self.in_flight)
        self.in_flight.clear()

    def restart(self) -> None:
        """Lose all state; running tasks continue unseen at the backend server."""
        self.break_stream()
        self.incarnation += 1
        for state in (self.accepted, self.running, self.ended, self.revoked):
            state.clear()
        self.runs_known.clear()

    def receive(self, item: Item) -> work.FromAgent | None:
        if isinstance(item, work.Dispatch):
            return self._receive_dispatch(item)
        if isinstance(item, work.Revoke):
            return self._receive_revoke(item)
        return None

    def start(self, dispatch_id: int) -> None:
        dispatch = self.accepted.pop(dispatch_id)
        self.running[dispatch_id] = dispatch
        self.starts[dispatch.job_id, dispatch.task_index] += 1

    def end(self, dispatch_id: int, outcome: work.TaskOutcome) -> work.TaskResult:
        dispatch = self.running.pop(dispatch_id)
        ended = result(dispatch, outcome, b'["%b"]' % dispatch.payload)
        self.ended[dispatch_id] = ended
        return ended

    def _receive_dispatch(self, dispatch: work.Dispatch) -> work.FromAgent | None:
        run = (dispatch.job_id, dispatch.task_index, dispatch.attempt)
        if dispatch.agent_incarnation != str(self.incarnation):
            return refused(dispatch, work.RefusalReason.WRONG_INCARNATION)
        if dispatch.dispatch_id in self.revoked:
            return refused(dispatch, work.RefusalReason.REVOKED)
        if run in self.runs_known:
            return refused(dispatch, work.RefusalReason.ALREADY_STARTED)
        self.runs_known.add(run)
        self.accepted[dispatch.dispatch_id] = dispatch
        return None

    def _receive_revoke(self, revoke: work.Revoke) -> work.FromAgent:
        dispatch_id = revoke.dispatch_id
        if dispatch_id in self.ended:
            found = revocation(revoke, work.RevocationState.FINISHED)
            results = (self.ended[dispatch_id],)
            return work.FromAgent(revocations=(found,), results=results)
        if dispatch_id in self.running:
            found = revocation(revoke, work.RevocationState.STARTED)
            return work.FromAgent(revocations=(found,))
        if self.accepted.pop(dispatch_id, None) is not None:
            self.runs_known.discard((revoke.job_id, revoke.task_index, revoke.attempt))
        self.revoked.add(dispatch_id)
        return work.FromAgent(
            revocations=(revocation(revoke, work.RevocationState.REVOKED),)
        )
