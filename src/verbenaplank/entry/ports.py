"""The interfaces through which the entry uses its neighbours."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from verbenaplank.claims.decision import ClaimDecision
    from verbenaplank.configuration.effective import EffectiveConfiguration
    from verbenaplank.placement.task import Needs
    from verbenaplank.placement.task import TaskRequest
    from verbenaplank.protocol.membership import Member
    from verbenaplank.protocol.membership import RegistrarGroup
    from verbenaplank.protocol.work import LoadReport
    from verbenaplank.protocol.work import TaskOutcome


class Membership(Protocol):
    """The entry's own membership, and what it knows through it."""

    @property
    def configuration(self) -> EffectiveConfiguration:
        """The configuration in force."""

    @property
    def members(self) -> Mapping[str, Member]:
        """All members by their id."""

    @property
    def registrars(self) -> RegistrarGroup | None:
        """The registrars in force, once known."""

    @property
    def ready(self) -> bool:
        """Whether a quorum backed what is known."""

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


class Placement(Protocol):
    """Chooses the agent of a task."""

    def join(self, member: Member, now_s: float) -> None:
        """Take in a member that joined or changed."""

    def leave(self, member_id: str, now_s: float) -> None:
        """Drop a member."""

    def connected(
        self, member_id: str, incarnation: str, slots: int, now_s: float
    ) -> None:
        """Note that dispatches can reach an agent."""

    def disconnected(self, member_id: str, now_s: float) -> None:
        """Note that no dispatch can reach an agent."""

    def load_reported(self, member_id: str, report: LoadReport, now_s: float) -> None:
        """Take in what an agent says of its load."""

    def choose(self, task: TaskRequest, now_s: float) -> str | None:
        """Return an agent's id, or ``None`` to hold the task at the entry."""

    def dispatched(self, member_id: str, task: TaskRequest, now_s: float) -> None:
        """Note a dispatch."""

    def finished(
        self,
        member_id: str,
        task: TaskRequest,
        outcome: TaskOutcome,
        run_time_s: float,
        now_s: float,
    ) -> None:
        """Note the end of a run."""

    def released(self, member_id: str, task: TaskRequest, now_s: float) -> None:
        """Note that a dispatch never started."""


class WaitingTasks(Protocol):
    """Tasks that wait at the entry, in the order in which they should start."""

    def __len__(self) -> int:
        """Return how many tasks wait."""

    def push(self, task: TaskRequest, now_s: float) -> None:
        """Add a task."""

    def pop(
        self, now_s: float, placeable: Callable[[TaskRequest], bool]
    ) -> TaskRequest | None:
        """Take the next task that is placeable, or ``None``."""

    def remove_job(self, job_id: str) -> list[TaskRequest]:
        """Remove the tasks of a job."""


class Possibilities(Protocol):
    """Tells what could ever run."""

    def possibility(self, service: str, needs: Needs) -> object:
        """Tell whether a known agent could ever run such a task."""
