"""Which registrar group is in force, and how one follows another, no I/O.

A group is put in force in two steps, so that no identifier is granted by two
groups: a majority of the former group logs that it has stopped to grant, then
the next group opens and is told up to which timestamp identifiers may have been
granted before it.
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
    """A group, and how far it has come.

    Attributes
    ----------
    former
        The group that was open before; empty for the first one.
    entered
        By instance id of the former group: the latest timestamp, in
        milliseconds since the Unix epoch, that the instance may have granted.
    is_open
        Whether a majority of the former group has stopped to grant.
    """

    epoch: int = 0
    registrars: tuple[Registrar, ...] = ()
    former: tuple[Registrar, ...] = ()
    entered: dict[str, int] = attrs.field(factory=dict)
    is_open: bool = False

    @property
    def latest_grant_ms(self) -> int:
        """Return the latest timestamp that the former group may have granted."""
        return max(self.entered.values(), default=0)

    @property
    def group(self) -> RegistrarGroup:
        """Return the group as members receive it."""
        return RegistrarGroup(epoch=self.epoch, registrars=self.registrars)

    def is_former_registrar(self, instance_id: str) -> bool:
        """Return whether an instance was a registrar of the former group."""
        return any(r.instance_id == instance_id for r in self.former)

    def is_registrar(self, instance_id: str) -> bool:
        """Return whether an instance is a registrar of this group."""
        return any(r.instance_id == instance_id for r in self.registrars)


class RegistrarState:
    """The newest group; members are told of it once it is open."""

    def __init__(self, transition: RegistrarTransition | None = None) -> None:
        self._transition = transition or RegistrarTransition()

    @property
    def transition(self) -> RegistrarTransition:
        """Return the newest group, open or not."""
        return self._transition

    @property
    def open_group(self) -> RegistrarGroup | None:
        """Return the newest group if it is open."""
        return self._transition.group if self._transition.is_open else None

    def set_registrars(self, change: SetRegistrars) -> bool:
        """Start to put another group in force; return whether the epoch fitted.

        A group that has not opened is replaced; the group before it stays the
        former one.
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
        """Note that a registrar of the former group has stopped to grant."""
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
