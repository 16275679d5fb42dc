"""A fault found in an input, with the place where it stands."""

from __future__ import annotations

import attrs


@attrs.frozen
class Finding:
    """One fault in an input.

    Attributes
    ----------
    place
        Where the fault stands, such as ``tasks[3].payload`` or
        ``entry.toml: [limits] max_tasks``.
    message
        What is wrong there.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"
