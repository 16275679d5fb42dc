"""How long a lost agent's runs may go on, no I/O."""

from __future__ import annotations

from verbenaplank.entry.renewal import SHORT_LEASE

BACKEND_LEASE_S = 1.0
"""A backend server ends its runs so long after its agent's last renewal."""

STOP_MARGIN_S = 0.3
"""For clocks that run 2% slow, and for stops on their way."""

RUNS_OVER_S = SHORT_LEASE.lease_s + BACKEND_LEASE_S + STOP_MARGIN_S
"""The entry's lease at the agent lapses first, then the backend server's."""


class Silences:
    """Agents without a stream, and since when."""

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}

    def began(self, agent_id: str, now_s: float) -> None:
        """Note that an agent's stream ended; nothing is heard from now on."""
        self._since_s.setdefault(agent_id, now_s)

    def ended(self, agent_id: str) -> None:
        """Note that an agent has a stream again and tells of its runs itself."""
        self._since_s.pop(agent_id, None)

    def take_over(self, now_s: float) -> list[str]:
        """Remove and return the agents whose runs have ended, whatever happened."""
        over = [
            agent_id
            for agent_id, since_s in self._since_s.items()
            if now_s - since_s >= RUNS_OVER_S
        ]
        for agent_id in over:
            del self._since_s[agent_id]
        return over
