"""Counts the messages and items that an entry exchanges with agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from verbenaplank.protocol.work import FromAgent
    from verbenaplank.protocol.work import ToAgent


@attrs.define
class Traffic:
    """Counts of messages and of the items in them since the entry started.

    The names of the fields are part of the metric names.

    Attributes
    ----------
    sent_messages, received_messages
        Number of messages on the streams; a message may hold several items.
    """

    sent_messages: int = 0
    received_messages: int = 0
    dispatches: int = 0
    revokes: int = 0
    stops: int = 0
    renewals: int = 0
    results: int = 0
    refusals: int = 0

    def count_sent(self, message: ToAgent) -> None:
        """Count a message to an agent and its items."""
        self.sent_messages += 1
        self.dispatches += len(message.dispatches)
        self.revokes += len(message.revokes)
        self.stops += len(message.stops)
        self.renewals += message.renewal is not None

    def count_received(self, message: FromAgent) -> None:
        """Count a message from an agent and its items."""
        self.received_messages += 1
        self.results += len(message.results)
        self.refusals += len(message.refusals)
