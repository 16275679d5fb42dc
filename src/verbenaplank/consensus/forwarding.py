"""Forwarding of commands from a follower to the leader."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from verbenaplank.consensus.apply_tracker import AppliedCommand
from verbenaplank.consensus.errors import OutcomeUnknownError
from verbenaplank.consensus.errors import ProposalRejectedError
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
class _PendingForward:
    leader: Replica
    future: asyncio.Future[AppliedCommand]


class Forwarder:
    """Forwards commands to the leader, and proposes those that followers forward.

    Parameters
    ----------
    send
        Sends a message to another instance.
    propose
        Proposes a command on this instance, without forwarding, and waits for its
        result. The second argument is the timeout in seconds.
    """

    def __init__(
        self,
        send: Callable[[PeerMessage], None],
        propose: Callable[[bytes, float], Awaitable[AppliedCommand]],
    ) -> None:
        self._send = send
        self._propose = propose
        self._pending: dict[int, _PendingForward] = {}
        self._last_id = 0
        self._reply_tasks: set[asyncio.Task[None]] = set()

    async def forward(
        self, identity: Identity, leader: Replica, command: bytes, timeout_s: float
    ) -> AppliedCommand:
        """Forward a command to the leader and wait for its outcome.

        ``timeout_s`` limits the wait on the leader, in seconds; the caller limits
        its own wait.

        Raises
        ------
        ProposalRejectedError
            If the leader rejected the command.
        OutcomeUnknownError
            If this instance no longer follows that leader, or if the leader does
            not know the outcome.
        """
        self._last_id += 1
        future: asyncio.Future[AppliedCommand]
        future = asyncio.get_running_loop().create_future()
        self._pending[self._last_id] = _PendingForward(leader, future)
        forward = Forward(
            proposal_id=self._last_id, command=command, timeout_s=timeout_s
        )
        self._send(_message(identity, leader, forward=forward))
        try:
            return await future
        finally:
            self._pending.pop(forward.proposal_id, None)

    def on_forward(
        self, identity: Identity, follower: Replica, forward: Forward
    ) -> None:
        """Propose a command that a follower forwarded and reply with the outcome."""
        task = asyncio.create_task(self._propose_and_reply(identity, follower, forward))
        self._reply_tasks.add(task)
        task.add_done_callback(self._reply_tasks.discard)

    def on_reply(self, reply: ForwardReply) -> None:
        """Pass the leader's reply to the caller that waits for it, if it still does."""
        pending = self._pending.get(reply.proposal_id)
        if pending is None or pending.future.done():
            return
        if reply.outcome is ForwardOutcome.APPLIED:
            pending.future.set_result(AppliedCommand(reply.index, reply.result))
        elif reply.outcome is ForwardOutcome.NOT_ACCEPTED:
            pending.future.set_exception(
                ProposalRejectedError("the leader rejected the command")
            )
        else:
            error = OutcomeUnknownError("the leader does not know the outcome")
            pending.future.set_exception(error)

    def on_leader_change(self, leader: Replica | None) -> None:
        """Fail the pending commands that were forwarded to another leader."""
        for pending in self._pending.values():
            if pending.leader != leader and not pending.future.done():
                error = OutcomeUnknownError(
                    "the leader changed before it replied, or this instance is stopping"
                )
                pending.future.set_exception(error)

    def close(self) -> None:
        """Cancel the forwarded proposals and fail all pending commands."""
        for task in self._reply_tasks:
            task.cancel()
        self.on_leader_change(Replica(instance_id=""))

    async def _propose_and_reply(
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
