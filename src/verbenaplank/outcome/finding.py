"""A fault in an input, with its place."""

from __future__ import annotations

import attrs


@attrs.frozen
class Finding:
    """One fault in an input.

    Attributes
    ----------
    place
        Place of the fault in the input, such as ``tasks[3].payload`` or
        ``entry.toml: limits.max_queued_tasks``.
    message
        Description of the fault.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"
