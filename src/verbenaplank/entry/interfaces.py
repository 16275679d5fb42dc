"""Protocols for the membership and the claims that the entry depends on."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from contextlib import AbstractAsyncContextManager

    from verbenaplank.claims.decision import ClaimDecision
    from verbenaplank.configuration.effective import EffectiveConfiguration
    from verbenaplank.protocol.membership import EvacuationList
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.membership import RegistrarGroup
    from verbenaplank.routing.table import RoutingTable


class Membership(Protocol):
    """The entry's membership in the system, and the state received through it."""

    @property
    def configuration(self) -> EffectiveConfiguration:
        """The configuration in effect."""

    @property
    def agents(self) -> Mapping[str, Member]:
        """The agents by their id."""

    @property
    def entries(self) -> Mapping[str, Member]:
        """The entries by their id, this one included."""

    @property
    def lease_since_s(self) -> float:
        """Monotonic time since which the lease is held without a gap, in seconds."""

    @property
    def registrars(self) -> RegistrarGroup | None:
        """The current registrars, or ``None`` while they are unknown."""

    @property
    def routing(self) -> RoutingTable:
        """The newest routing table."""

    @property
    def evacuations(self) -> EvacuationList:
        """The newest list of evacuated data centres."""

    @property
    def ready(self) -> bool:
        """Whether a quorum has confirmed the known state since the start."""

    @property
    def drain_ordered(self) -> bool:
        """Whether an operator ordered this entry to drain."""

    async def wait_ready(self) -> None:
        """Wait until :attr:`ready` is true."""

    def lease_valid(self, now_s: float) -> bool:
        """Return whether the entry holds its lease at a monotonic time."""

    def update(self, member: Member) -> None:
        """Announce changed properties of this entry."""

    async def leave(self) -> None:
        """Leave the membership."""


class Claims(Protocol):
    """Claims ownership of job ids at the registrars."""

    def set_registrars(self, group: RegistrarGroup) -> None:
        """Use the given group of registrars for further claims."""

    async def claim(
        self, job_id: str, digest: bytes, timeout_s: float
    ) -> ClaimDecision:
        """Claim a job id for this entry; waits at most ``timeout_s`` seconds."""

    async def is_unused(self, job_id: str, timeout_s: float) -> bool:
        """Return whether a job id has certainly never been owned by an entry."""


class MembershipFactory(Protocol):
    """Creates a context manager that holds an entry's membership."""

    def __call__(
        self, member: Member, listener: Callable[[object], None]
    ) -> AbstractAsyncContextManager[Membership]:
        """Return a context manager that joins the membership as ``member``.

        ``listener`` is called after each change of the membership.
        """


class ClaimsFactory(Protocol):
    """Creates a context manager that holds an entry's connection for claims."""

    def __call__(self, member: Member) -> AbstractAsyncContextManager[Claims]:
        """Return a context manager through which ``member`` claims job ids."""
