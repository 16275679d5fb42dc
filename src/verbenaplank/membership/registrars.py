"""The replicated registrar group and its replacement by another; does no I/O.

A group is replaced in two steps, so that no job id is granted by two groups.
First, a majority of the former group reports, through the replicated log, that it
has stopped granting.  Then the new group opens; it receives the latest timestamp of
any job id that the former group may have granted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from verbenaplank.protocol.membership import Registrar
from verbenaplank.protocol.membership import RegistrarGroup

if TYPE_CHECKING:
    from verbenaplank.membership.commands import EnterEpoch
    from verbenaplank.membership.commands import SetRegistrars


@attrs.frozen(kw_only=True)
class RegistrarTransition:
    """The newest registrar group and the state of the transition to it.

    Attributes
    ----------
    former
        Registrars of the group that was open before; empty for the first group.
    entered
        The instances of the former group that have entered this epoch and so stopped
        granting.  Maps the id of each to the latest timestamp, in milliseconds since
        the Unix epoch, of a job id that it may have granted.
    is_open
        Whether a majority of the former group has stopped granting.
    """

    epoch: int = 0
    registrars: tuple[Registrar, ...] = ()
    former: tuple[Registrar, ...] = ()
    entered: dict[str, int] = attrs.field(factory=dict)
    is_open: bool = False

    @property
    def latest_grant_ms(self) -> int:
        """Return the latest job id timestamp that the former group may have granted.

        It is in milliseconds since the Unix epoch, and 0 if no instance of a former
        group has entered this epoch.
        """
        return max(self.entered.values(), default=0)

    @property
    def group(self) -> RegistrarGroup:
        """Return the group in the form that is sent to members."""
        return RegistrarGroup(epoch=self.epoch, registrars=self.registrars)

    def is_former_registrar(self, instance_id: str) -> bool:
        """Return whether an instance is a registrar of the former group."""
        return any(r.instance_id == instance_id for r in self.former)

    def is_registrar(self, instance_id: str) -> bool:
        """Return whether an instance is a registrar of this group."""
        return any(r.instance_id == instance_id for r in self.registrars)


class RegistrarState:
    """The replicated registrar group; only an open group is sent to members."""

    def __init__(self, transition: RegistrarTransition | None = None) -> None:
        self._transition = transition or RegistrarTransition()

    @property
    def transition(self) -> RegistrarTransition:
        """Return the newest group, whether it is open yet or not."""
        return self._transition

    @property
    def open_group(self) -> RegistrarGroup | None:
        """Return the newest group if it is open, otherwise ``None``."""
        return self._transition.group if self._transition.is_open else None

    def set_registrars(self, change: SetRegistrars) -> bool:
        """Start the transition to another group.

        Return whether the newest group had the expected epoch; otherwise nothing
        changes.  A newest group that has not opened is replaced, and the former
        group stays the same.
        """
        newest = self._transition
        if newest.epoch != change.expected_epoch:
            return False
        former = newest.registrars if newest.is_open else newest.former
        self._transition = RegistrarTransition(
            epoch=newest.epoch + 1,
            registrars=change.registrars,
            former=former,
            is_open=not former,
        )
        return True

    def record_entered(self, entered: EnterEpoch) -> bool:
        """Record that a registrar of the former group has stopped granting.

        The group opens when a majority of the former group has stopped.  Return
        whether the report was accepted.
        """
        newest = self._transition
        if newest.epoch != entered.epoch or newest.is_open:
            return False
        if not newest.is_former_registrar(entered.instance_id):
            return False
        known = {**newest.entered, entered.instance_id: entered.latest_grant_ms}
        self._transition = attrs.evolve(
            newest, entered=known, is_open=len(known) > len(newest.former) // 2
        )
        return True
