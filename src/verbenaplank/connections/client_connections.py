"""Connections of clients to a server, within its share of memory and descriptors."""

from __future__ import annotations

import logging
import time
from collections import OrderedDict
from enum import Enum
from enum import auto
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from verbenaplank.settings.clients import ClientSettings


LOG_PERIOD_S = 1.0
"""Shortest time between two log lines on shed connections, which may be many."""

logger = logging.getLogger(__name__)


class Activity(Enum):
    """What a connection does, for the choice of the one to shed."""

    IDLE = auto()
    """It holds no request."""

    RECEIVING = auto()
    """It waits for its client: for the rest of a request, or to read an answer."""

    HANDLING = auto()
    """A handler runs for its only request."""

    HANDLING_WITH_INPUT = auto()
    """A handler runs, and further input waits."""


class Sheddable(Protocol):
    """A connection that can give up its input, and itself if no handler runs."""

    def shed(self) -> None:
        """Refuse the input that is not handled, and close unless a handler runs."""


class ClientConnections:
    """Keeps count of connections and of the bytes that they hold.

    If there are too many connections or bytes, the connection that has waited longest
    for its client is shed: a client that stops before the end of its request is among
    the first, and one whose request arrives at once never waits.

    Attributes
    ----------
    shed_count
        How many connections were shed or refused so far.
    """

    def __init__(self, settings: ClientSettings) -> None:
        self._max_connections = settings.max_connections
        self._max_bytes = settings.max_memory_bytes
        self._activities: dict[Sheddable, Activity] = {}
        self._held_bytes: dict[Sheddable, int] = {}
        self._total_bytes = 0
        self.shed_count = 0
        self._logged_count = 0
        self._logged_s = -LOG_PERIOD_S
        # The first entry of a plain dictionary is found slowly after many removals.
        self._by_activity: dict[Activity, OrderedDict[Sheddable, None]] = {
            activity: OrderedDict() for activity in Activity
        }

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes that all connections hold."""
        return self._total_bytes

    def __len__(self) -> int:
        return len(self._activities)

    def add(self, connection: Sheddable) -> bool:
        """Add an accepted connection; return whether there is room for it."""
        if len(self._activities) >= self._max_connections:
            victim = self._longest_waiting(Activity.RECEIVING, Activity.IDLE)
            self._count_shed()
            if victim is None:
                return False
            self.remove(victim)
            victim.shed()
        self._set_activity(connection, Activity.IDLE)
        return True

    def update(
        self, connection: Sheddable, activity: Activity, held_bytes: int
    ) -> None:
        """Record what a connection does and how many bytes it holds."""
        if connection not in self._activities:
            return
        if self._activities[connection] is not activity:
            self._set_activity(connection, activity)
        self._set_held(connection, held_bytes)
        while self._total_bytes > self._max_bytes:
            victim = self._longest_waiting(
                Activity.RECEIVING, Activity.HANDLING_WITH_INPUT
            )
            if victim is None:
                return
            self._shed_input(victim)

    def remove(self, connection: Sheddable) -> None:
        """Forget a connection."""
        activity = self._activities.pop(connection, None)
        if activity is not None:
            del self._by_activity[activity][connection]
            self._total_bytes -= self._held_bytes.pop(connection, 0)

    def _shed_input(self, victim: Sheddable) -> None:
        """Shed a connection, which stays known if a handler runs for it."""
        self._count_shed()
        if self._activities[victim] is Activity.RECEIVING:
            self.remove(victim)
        else:
            self._set_activity(victim, Activity.HANDLING)
        victim.shed()

    def _count_shed(self) -> None:
        self.shed_count += 1
        now_s = time.monotonic()
        if now_s - self._logged_s < LOG_PERIOD_S:
            return
        extra = {
            "count": self.shed_count - self._logged_count,
            "connections": len(self._activities),
            "held_bytes": self._total_bytes,
        }
        logger.warning("clients shed", extra=extra)
        self._logged_s, self._logged_count = now_s, self.shed_count

    def _set_activity(self, connection: Sheddable, activity: Activity) -> None:
        previous = self._activities.get(connection)
        if previous is not None:
            del self._by_activity[previous][connection]
        self._activities[connection] = activity
        self._by_activity[activity][connection] = None

    def _set_held(self, connection: Sheddable, held_bytes: int) -> None:
        self._total_bytes += held_bytes - self._held_bytes.get(connection, 0)
        self._held_bytes[connection] = held_bytes

    def _longest_waiting(self, *activities: Activity) -> Sheddable | None:
        for activity in activities:
            for connection in self._by_activity[activity]:
                return connection
        return None
