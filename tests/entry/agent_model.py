from __future__ import annotations

from collections import Counter
from collections import deque

import attrs

from verbenaplank.protocol.work import Dispatch
from verbenaplank.protocol.work import DispatchRefusal
from verbenaplank.protocol.work import FromAgent
from verbenaplank.protocol.work import RefusalReason
from verbenaplank.protocol.work import Revocation
from verbenaplank.protocol.work import RevocationState
from verbenaplank.protocol.work import Revoke
from verbenaplank.protocol.work import Stop
from verbenaplank.protocol.work import TaskOutcome
from verbenaplank.protocol.work import TaskResult

Task = tuple[str, int]
Item = Dispatch | Revoke | Stop


@attrs.define
class AgentModel:
    """The last gate before a start, with the messages on their way to it.

    ``in_flight`` travels on the present stream in order; ``strayed`` was on a
    stream that broke and may arrive at any time, or never.
    """

    agent_id: str
    incarnation: int = 1
    connected: bool = True
    member: bool = True
    in_flight: deque[Item] = attrs.field(factory=deque)
    strayed: list[Item] = attrs.field(factory=list)
    accepted: dict[int, Dispatch] = attrs.field(factory=dict)
    running: dict[int, Dispatch] = attrs.field(factory=dict)
    ended: dict[int, TaskResult] = attrs.field(factory=dict)
    revoked: set[int] = attrs.field(factory=set)
    runs_known: set[tuple[str, int, int]] = attrs.field(factory=set)
    starts: Counter[Task] = attrs.field(factory=Counter)

    def break_stream(self) -> None:
        self.connected = False
        self.strayed.extend(self.in_flight)
        self.in_flight.clear()

    def restart(self) -> None:
        """Forget everything; what ran goes on at the backend server unseen."""
        self.break_stream()
        self.incarnation += 1
        for state in (self.accepted, self.running, self.ended, self.revoked):
            state.clear()
        self.runs_known.clear()

    def receive(self, item: Item) -> FromAgent | None:
        if isinstance(item, Dispatch):
            return self._receive_dispatch(item)
        if isinstance(item, Revoke):
            return self._receive_revoke(item)
        return None

    def start(self, dispatch_id: int) -> None:
        dispatch = self.accepted.pop(dispatch_id)
        self.running[dispatch_id] = dispatch
        self.starts[dispatch.job_id, dispatch.task_index] += 1

    def end(self, dispatch_id: int, outcome: TaskOutcome) -> TaskResult:
        dispatch = self.running.pop(dispatch_id)
        result = TaskResult(
            job_id=dispatch.job_id,
            task_index=dispatch.task_index,
            dispatch_id=dispatch_id,
            outcome=outcome,
            output=b'["%b"]' % dispatch.payload,
        )
        self.ended[dispatch_id] = result
        return result

    def _receive_dispatch(self, dispatch: Dispatch) -> FromAgent | None:
        run = (dispatch.job_id, dispatch.task_index, dispatch.attempt)
        if dispatch.agent_incarnation != str(self.incarnation):
            return _refusal(dispatch, RefusalReason.WRONG_INCARNATION)
        if dispatch.dispatch_id in self.revoked:
            return _refusal(dispatch, RefusalReason.REVOKED)
        if run in self.runs_known:
            return _refusal(dispatch, RefusalReason.ALREADY_STARTED)
        self.runs_known.add(run)
        self.accepted[dispatch.dispatch_id] = dispatch
        return None

    def _receive_revoke(self, revoke: Revoke) -> FromAgent:
        dispatch_id = revoke.dispatch_id
        if dispatch_id in self.ended:
            revocation = _revocation(revoke, RevocationState.FINISHED)
            results = (self.ended[dispatch_id],)
            return FromAgent(revocations=(revocation,), results=results)
        if dispatch_id in self.running:
            revocation = _revocation(revoke, RevocationState.STARTED)
            return FromAgent(revocations=(revocation,))
        if self.accepted.pop(dispatch_id, None) is not None:
            self.runs_known.discard((revoke.job_id, revoke.task_index, revoke.attempt))
        self.revoked.add(dispatch_id)
        return FromAgent(revocations=(_revocation(revoke, RevocationState.REVOKED),))


def _refusal(dispatch: Dispatch, reason: RefusalReason) -> FromAgent:
    refusal = DispatchRefusal(
        job_id=dispatch.job_id,
        task_index=dispatch.task_index,
        dispatch_id=dispatch.dispatch_id,
        reason=reason,
    )
    return FromAgent(refusals=(refusal,))


def _revocation(revoke: Revoke, state: RevocationState) -> Revocation:
    return Revocation(
        job_id=revoke.job_id,
        task_index=revoke.task_index,
        dispatch_id=revoke.dispatch_id,
        state=state,
    )
