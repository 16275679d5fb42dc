"""The interfaces through which the entry uses its neighbours."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from contextlib import AbstractAsyncContextManager

    from verbenaplank.claims.decision import ClaimDecision
    from verbenaplank.configuration.effective import EffectiveConfiguration
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.membership import RegistrarGroup
    from verbenaplank.routing.table import RoutingTable


class Membership(Protocol):
    """The entry's own membership, and what it knows through it."""

    @property
    def configuration(self) -> EffectiveConfiguration:
        """The configuration in force."""

    @property
    def agents(self) -> Mapping[str, Member]:
        """The agents by their id."""

    @property
    def entries(self) -> Mapping[str, Member]:
        """The entries by their id, this one included."""

    @property
    def lease_since_s(self) -> float:
        """When the lease began that has been held without a gap."""

    @property
    def registrars(self) -> RegistrarGroup | None:
        """The registrars in force, once known."""

    @property
    def routing(self) -> RoutingTable:
        """The routing table in force."""

    @property
    def ready(self) -> bool:
        """Whether a quorum backed what is known."""

    @property
    def drain_ordered(self) -> bool:
        """Whether an operator ordered this entry to drain."""

    async def wait_ready(self) -> None:
        """Wait until ``ready``."""

    def lease_valid(self, now_s: float) -> bool:
        """Tell whether the entry's lease runs at a monotonic time."""

    def update(self, member: Member) -> None:
        """Announce a change of the entry itself."""

    async def leave(self) -> None:
        """End the membership."""


class Claims(Protocol):
    """Claims of job identifiers."""

    def set_registrars(self, group: RegistrarGroup) -> None:
        """Use another group of registrars."""

    async def claim(
        self, job_id: str, digest: bytes, timeout_s: float
    ) -> ClaimDecision:
        """Claim an identifier for this entry."""


class MembershipFactory(Protocol):
    """Opens the membership of an entry for as long as a context lasts."""

    def __call__(
        self, member: Member, listener: Callable[[object], None]
    ) -> AbstractAsyncContextManager[Membership]:
        """Announce a member; the listener hears of each change."""


class ClaimsFactory(Protocol):
    """Opens the claims of an entry for as long as a context lasts."""

    def __call__(self, member: Member) -> AbstractAsyncContextManager[Claims]:
        """Claim identifiers for a member."""
