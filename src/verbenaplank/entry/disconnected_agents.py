"""How long a lost agent's runs may go on, no I/O."""

from __future__ import annotations

from verbenaplank.entry.renewal import SHORT_LEASE

BACKEND_LEASE_S = 1.0
"""A backend server ends its runs so long after its agent's last renewal."""

STOP_MARGIN_S = 0.3
"""For clocks that run 2% slow, and for stops on their way."""

RUNS_ENDED_AFTER_S = SHORT_LEASE.lease_s + BACKEND_LEASE_S + STOP_MARGIN_S
"""The entry's lease at the agent lapses first, then the backend server's."""


class DisconnectedAgents:
    """Agents without a stream, and since when."""

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}

    def add(self, agent_id: str, now_s: float) -> None:
        """Note that an agent's stream ended; nothing is heard from now on."""
        self._since_s.setdefault(agent_id, now_s)

    def remove(self, agent_id: str) -> None:
        """Note that an agent has a stream again and tells of its runs itself."""
        self._since_s.pop(agent_id, None)

    def pop_runs_ended(self, now_s: float) -> list[str]:
        """Remove and return the agents whose runs have ended, whatever happened."""
        over = [
            agent_id
            for agent_id, since_s in self._since_s.items()
            if now_s - since_s >= RUNS_ENDED_AFTER_S
        ]
        for agent_id in over:
            del self._since_s[agent_id]
        return over
