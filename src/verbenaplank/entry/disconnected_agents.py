"""Determines when the runs of a disconnected agent have ended, without I/O."""

from __future__ import annotations

from verbenaplank.entry.renewal import SHORT_LEASE

BACKEND_LEASE_S = 1.0
"""Time from an agent's last renewal until its backend server stops all runs."""

STOP_MARGIN_S = 0.3
"""Margin for clocks that run 2% slow and for stops that are still in transit."""

RUNS_ENDED_AFTER_S = SHORT_LEASE.lease_s + BACKEND_LEASE_S + STOP_MARGIN_S
"""Time from the disconnect of an agent until all its runs have ended.

The entry's lease at the agent expires first, then the agent's lease at the backend
server."""


class DisconnectedAgents:
    """Holds the agents whose stream has closed, with the time of the close."""

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}

    def add(self, agent_id: str, now_s: float) -> None:
        """Add an agent whose stream has closed; keeps the time of an earlier add."""
        self._since_s.setdefault(agent_id, now_s)

    def remove(self, agent_id: str) -> None:
        """Remove an agent that has reconnected and reports its runs itself."""
        self._since_s.pop(agent_id, None)

    def pop_runs_ended(self, now_s: float) -> list[str]:
        """Remove and return the agents whose runs must have ended by now."""
        ended = [
            agent_id
            for agent_id, since_s in self._since_s.items()
            if now_s - since_s >= RUNS_ENDED_AFTER_S
        ]
        for agent_id in ended:
            del self._since_s[agent_id]
        return ended
