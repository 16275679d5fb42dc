"""The links of one control instance to all others, opened when first needed."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING
from typing import Self

from verbenaplank.consensus.links import PeerLink

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from verbenaplank.protocol.consensus import PeerMessage
    from verbenaplank.rpc.address import Address
    from verbenaplank.settings.common import TlsSettings

MAX_LINKS = 64
"""More instances than any group has, with those that were replaced."""

_logger = logging.getLogger(__name__)


class PeerLinks:
    """Sends messages to other instances; ends with its context.

    Parameters
    ----------
    address_of
        Returns where an instance listens, or ``None`` for an unknown one.
    """

    def __init__(
        self, address_of: Callable[[str], Address | None], tls: TlsSettings | None
    ) -> None:
        self._address_of = address_of
        self._tls = tls
        self._links: dict[str, PeerLink] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for link in self._links.values():
            link.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def send(self, message: PeerMessage) -> None:
        """Send a message, over a new link if there is none yet."""
        instance_id = message.recipient.instance_id
        link = self._links.get(instance_id) or self._open(instance_id)
        if link is not None:
            link.send(message)

    def _open(self, instance_id: str) -> PeerLink | None:
        address = self._address_of(instance_id)
        if address is None or len(self._links) >= MAX_LINKS:
            _logger.warning("no link to control instance %s", instance_id)
            return None
        link = PeerLink(instance_id, address, self._tls)
        self._links[instance_id] = link
        task = asyncio.get_running_loop().create_task(link.run())
        task.add_done_callback(_log_failure)
        self._tasks.append(task)
        return link


def _log_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception():
        _logger.critical("a link between instances failed", exc_info=task.exception())
