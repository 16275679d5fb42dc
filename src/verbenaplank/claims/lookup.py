"""State of one lookup of a job identifier at the registrars, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from verbenaplank.protocol.claims import LookupVerdict

if TYPE_CHECKING:
    from collections.abc import Collection

KNOWN_VERDICTS = (LookupVerdict.GRANTED, LookupVerdict.UNKNOWN)


class LookupState:
    """Collects the replies to one lookup.

    An owner holds the grants of a majority for good.  So if a majority answers that
    the identifier is not granted, no task of it has run.

    Parameters
    ----------
    registrars
        Identifiers of all registrars of the group in force.
    recipients
        Identifiers of those to which the lookup is sent.
    """

    def __init__(
        self, registrars: Collection[str], recipients: Collection[str]
    ) -> None:
        self._majority = len(registrars) // 2 + 1
        self._open = set(recipients)
        self._not_granted = 0
        self._is_known = False

    def on_reply(self, registrar_id: str, verdict: LookupVerdict) -> None:
        """Record a reply; a second one of the same registrar is ignored."""
        if registrar_id not in self._open:
            return
        self._open.discard(registrar_id)
        self._not_granted += verdict is LookupVerdict.NOT_GRANTED
        self._is_known |= verdict in KNOWN_VERDICTS

    def on_unreachable(self, registrar_id: str) -> None:
        """Record that the stream to a registrar broke."""
        self._open.discard(registrar_id)

    def outcome(self) -> bool | None:
        """Return whether the identifier was certainly never owned.

        Return ``None`` while replies are missing.
        """
        if self._is_known:
            return False
        if self._not_granted >= self._majority:
            return True
        if self._not_granted + len(self._open) < self._majority:
            return False
        return None
