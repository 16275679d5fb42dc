"""Commands that a follower passes to the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
from verbenaplank.consensus.waiting import AppliedCommand
from verbenaplank.protocol.consensus import Forward
from verbenaplank.protocol.consensus import ForwardOutcome
from verbenaplank.protocol.consensus import ForwardReply
from verbenaplank.protocol.consensus import PeerMessage
from verbenaplank.protocol.consensus import Replica

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from verbenaplank.storage.model import Identity


@attrs.frozen
class _Waiting:
    leader: Replica
    future: asyncio.Future[AppliedCommand]


class Forwarder:
    """Sends commands to the leader and answers those of followers.

    Parameters
    ----------
    send
        Sends a message to another instance.
    propose
        Proposes a command on this instance only, within a number of seconds.
    """

    def __init__(
        self,
        send: Callable[[PeerMessage], None],
        propose: Callable[[bytes, float], Awaitable[AppliedCommand]],
    ) -> None:
        self._send = send
        self._propose = propose
        self._waiting: dict[int, _Waiting] = {}
        self._last_id = 0
        self._answers: set[asyncio.Task[None]] = set()

    async def forward(
        self, identity: Identity, leader: Replica, command: bytes, timeout_s: float
    ) -> AppliedCommand:
        """Pass a command to the leader and wait for its outcome.

        Raises
        ------
        ProposalRejectedError
            If the leader did not take the command.
        OutcomeUnknownError
            If another leader came, or the leader does not know the outcome.
        """
        self._last_id += 1
        future: asyncio.Future[AppliedCommand]
        future = asyncio.get_running_loop().create_future()
        self._waiting[self._last_id] = _Waiting(leader, future)
        forward = Forward(
            proposal_id=self._last_id, command=command, timeout_s=timeout_s
        )
        self._send(_message(identity, leader, forward=forward))
        try:
            return await future
        finally:
            self._waiting.pop(forward.proposal_id, None)

    def on_forward(
        self, identity: Identity, follower: Replica, forward: Forward
    ) -> None:
        """Propose a follower's command and send it the outcome."""
        task = asyncio.create_task(self._answer(identity, follower, forward))
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)

    def on_reply(self, reply: ForwardReply) -> None:
        """Pass an outcome on to the caller that waits for it."""
        waiting = self._waiting.get(reply.proposal_id)
        if waiting is None or waiting.future.done():
            return
        if reply.outcome is ForwardOutcome.APPLIED:
            waiting.future.set_result(AppliedCommand(reply.index, reply.result))
        elif reply.outcome is ForwardOutcome.NOT_ACCEPTED:
            waiting.future.set_exception(ProposalRejectedError("the leader refused it"))
        else:
            error = OutcomeUnknownError("the leader does not know the outcome")
            waiting.future.set_exception(error)

    def on_leader(self, leader: Replica | None) -> None:
        """Give up the commands that were passed to another leader."""
        for waiting in self._waiting.values():
            if waiting.leader != leader and not waiting.future.done():
                error = OutcomeUnknownError("the leader was lost")
                waiting.future.set_exception(error)

    def close(self) -> None:
        """Stop answering followers and release the waiting callers."""
        for task in self._answers:
            task.cancel()
        self.on_leader(Replica(instance_id=""))

    async def _answer(
        self, identity: Identity, follower: Replica, forward: Forward
    ) -> None:
        reply = ForwardReply(
            proposal_id=forward.proposal_id, outcome=ForwardOutcome.UNKNOWN
        )
        try:
            applied = await self._propose(forward.command, forward.timeout_s)
        except ProposalRejectedError:
            reply = attrs.evolve(reply, outcome=ForwardOutcome.NOT_ACCEPTED)
        except (OutcomeUnknownError, TimeoutError):
            pass
        else:
            reply = attrs.evolve(
                reply,
                outcome=ForwardOutcome.APPLIED,
                result=applied.result,
                index=applied.index,
            )
        self._send(_message(identity, follower, forward_reply=reply))


def _message(
    identity: Identity,
    recipient: Replica,
    *,
    forward: Forward | None = None,
    forward_reply: ForwardReply | None = None,
) -> PeerMessage:
    return PeerMessage(
        sender=identity.replica,
        recipient=recipient,
        cluster_id=identity.cluster_id,
        forward=forward,
        forward_reply=forward_reply,
    )
