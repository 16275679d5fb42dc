"""Errors of settings files."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from verbenaplank.outcome.finding import Finding


class SettingsError(Exception):
    """A settings file cannot be read or has faults.

    Attributes
    ----------
    findings
        All faults, each with its file, table and key.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(map(str, findings)))
        self.findings = findings
