"""The one timeout that runs for a connection at a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class ConnectionTimer:
    """Calls a function after some time, unless it is started again or stopped."""

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None
        self._action: Callable[[], None] | None = None

    def start(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call ``action`` after ``delay_s`` seconds, in place of any earlier one."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay_s, action)
        self._action = action

    def start_once(self, delay_s: float, action: Callable[[], None]) -> None:
        """Start the timer unless it runs for the same action already."""
        if self._handle is None or self._action != action:
            self.start(delay_s, action)

    def stop(self) -> None:
        """Call nothing."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
            self._action = None
