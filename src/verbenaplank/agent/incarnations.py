"""Which incarnation of the backend server an agent serves, without I/O.

A report may come from another writer, or late from an incarnation that has ended.  So
one that names another incarnation than the served one makes it a challenger, which
replaces the served one only once it has answered a call.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from enum import auto
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from verbenaplank.agent.report import BackendServerReport

MAX_REMEMBERED = 256
"""Number of incarnations that are remembered as ended, and as leaving."""

IncarnationKey = tuple[str, str]


class ReportKind(Enum):
    """What a status report says that the former ones did not.

    ``IGNORED`` is out of order or of an incarnation that has ended.  ``FIRST`` is the
    first one of the incarnation that is current from then on, ``CHALLENGE`` one of
    another incarnation than the served one.
    """

    IGNORED = auto()
    REPEATED = auto()
    CHANGED = auto()
    FIRST = auto()
    CHALLENGE = auto()


class Incarnations:
    """Tracks the incarnations that report to an agent.

    Attributes
    ----------
    current
        Latest report of the incarnation to serve, or ``None``.
    challenger
        Latest report of another incarnation, or ``None``.
    """

    def __init__(self) -> None:
        self.current: BackendServerReport | None = None
        self.challenger: BackendServerReport | None = None
        self._is_served = False
        self._ended: OrderedDict[IncarnationKey, None] = OrderedDict()
        self._leaving: OrderedDict[IncarnationKey, None] = OrderedDict()

    def add(self, report: BackendServerReport) -> ReportKind:
        """Process a status report."""
        if _key(report) in self._ended or self._is_moved(report):
            return ReportKind.IGNORED
        if report.draining:
            _remember(self._leaving, _key(report))
        if is_same_incarnation(self.current, report):
            return self._update(report)
        if self._is_served:
            self.challenger = report
            return ReportKind.CHALLENGE
        self.challenger, self.current = self.current, report
        return ReportKind.FIRST

    def record_served(self, report: BackendServerReport) -> None:
        """Record that the incarnation of a report answers and is served from now on."""
        self._is_served = True
        if not is_same_incarnation(self.current, report):
            self.challenger, self.current = self.current, report

    def record_unserved(self) -> None:
        """Record that no incarnation is served now."""
        self._is_served = False
        if self.current is None:
            self.current, self.challenger = self.challenger, None

    def take_challenger(self) -> BackendServerReport | None:
        """Remove and return the challenger.

        Return ``None`` if there is none, or if it leaves while the current one stays.
        """
        challenger, self.challenger = self.challenger, None
        if challenger is None or self.current is None:
            return challenger
        is_worse = challenger.draining and not self.current.draining
        return None if is_worse else challenger

    def replace_current(self, report: BackendServerReport) -> None:
        """Make the incarnation of a report current, because it has answered."""
        self.current = report

    def try_next(self) -> None:
        """Make the challenger current, because the current one could not be served."""
        if self.challenger is not None:
            self.current, self.challenger = self.challenger, self.current

    def others_than(self, report: BackendServerReport) -> list[BackendServerReport]:
        """Return the reports of other incarnations that may be in its place."""
        candidates = (self.current, self.challenger)
        return [
            other
            for other in candidates
            if other is not None and not is_same_incarnation(report, other)
        ]

    def end(self, report: BackendServerReport) -> None:
        """Ignore the incarnation of a report from now on."""
        _remember(self._ended, _key(report))
        self.forget(report)

    def forget(self, report: BackendServerReport) -> None:
        """Serve the incarnation of a report no longer, unless it reports again."""
        if is_same_incarnation(self.challenger, report):
            self.challenger = None
        if is_same_incarnation(self.current, report):
            self.current, self.challenger = self.challenger, None

    def announce_end(self, server_id: str) -> BackendServerReport | None:
        """Record that a backend server is about to end.

        Return the latest report if it is the current one, or else ``None``.
        """
        current = self.current
        if current is None or current.server_id != server_id:
            return None
        _remember(self._leaving, _key(current))
        return current

    def is_leaving(self, report: BackendServerReport) -> bool:
        """Return whether the incarnation of a report has announced its end."""
        return _key(report) in self._leaving

    def _is_moved(self, report: BackendServerReport) -> bool:
        """Return whether a report names another place of the served incarnation.

        Such a report comes from another writer: an incarnation stays where it is.
        """
        current = self.current
        if not self._is_served or not is_same_incarnation(current, report):
            return False
        return _place(report) != _place(current)

    def _update(self, report: BackendServerReport) -> ReportKind:
        current = self.current
        if current is None or report.sequence <= current.sequence:
            return ReportKind.IGNORED
        self.current = report
        is_repeated = attrs.evolve(current, sequence=report.sequence) == report
        return ReportKind.REPEATED if is_repeated else ReportKind.CHANGED


def is_same_incarnation(
    one: BackendServerReport | None, other: BackendServerReport
) -> bool:
    """Return whether two reports come from the same incarnation."""
    return one is not None and _key(one) == _key(other)


def _key(report: BackendServerReport) -> IncarnationKey:
    return report.server_id, report.incarnation


def _place(report: BackendServerReport | None) -> tuple[str, str] | None:
    return None if report is None else (report.service, report.address)


def _remember(keys: OrderedDict[IncarnationKey, None], key: IncarnationKey) -> None:
    keys[key] = None
    if len(keys) > MAX_REMEMBERED:
        keys.popitem(last=False)
