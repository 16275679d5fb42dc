"""Outgoing message transport from one control instance to all others."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING
from typing import Self

from verbenaplank.consensus.peer_sender import PeerSender

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.common import TlsSettings

MAX_PEERS = 64
"""Maximum number of senders; a group has fewer instances at a time."""

_logger = logging.getLogger(__name__)


class Transport:
    """Sends messages to other instances, with one sender per instance.

    A sender is started when the first message to its instance is sent. At most
    ``MAX_PEERS`` are kept: a further one takes the place of the one that has not been
    used for the longest, as that instance is probably gone. All senders stop when the
    context is left.

    Parameters
    ----------
    address_of
        Returns the address of an instance, or ``None`` if it is unknown.
    tls
        Certificates of this instance; ``None`` for connections without TLS.
    """

    def __init__(
        self, address_of: Callable[[str], Address | None], tls: TlsSettings | None
    ) -> None:
        self._address_of = address_of
        self._tls = tls
        self._senders: dict[str, PeerSender] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._is_closed = False

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._is_closed = True
        tasks = list(self._tasks.values())
        for instance_id in list(self._senders):
            self._close_sender(instance_id)
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, message: PeerMessage) -> None:
        """Queue a message to its recipient.

        It is dropped, with a warning, if the address of the recipient is unknown, and
        while the context is being left.
        """
        if self._is_closed:
            return
        instance_id = message.recipient.instance_id
        sender = self._senders.pop(instance_id, None) or self._open_sender(instance_id)
        if sender is not None:
            self._senders[instance_id] = sender
            sender.send(message)

    def _open_sender(self, instance_id: str) -> PeerSender | None:
        address = self._address_of(instance_id)
        if address is None:
            _logger.warning(
                "message to control instance %s dropped: unknown address", instance_id
            )
            return None
        if len(self._senders) >= MAX_PEERS:
            self._close_sender(next(iter(self._senders)))
        sender = PeerSender(instance_id, address, self._tls)
        task = asyncio.get_running_loop().create_task(sender.run())
        task.add_done_callback(_log_failure)
        self._tasks[instance_id] = task
        return sender

    def _close_sender(self, instance_id: str) -> None:
        self._senders.pop(instance_id).close()
        self._tasks.pop(instance_id).cancel()


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception():
        _logger.critical(
            "a sender to a control instance failed", exc_info=task.exception()
        )
