"""Memory that the jobs in progress at an entry take together."""

from __future__ import annotations

COPIES_OF_CONTENT = 2
"""A task's content is kept until the task ends, and copied into its start message."""

TASK_OVERHEAD_BYTES = 1_200
"""Memory of a task in progress apart from its content."""


def job_bytes(tasks: int, content_bytes: int) -> int:
    """Return the memory that a job takes while it is in progress.

    Parameters
    ----------
    content_bytes
        Size of the content of all its tasks.
    """
    return tasks * TASK_OVERHEAD_BYTES + COPIES_OF_CONTENT * content_bytes


class JobMemory:
    """Counts the memory of the jobs in progress, up to a limit in bytes."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._used_bytes = 0

    def has_room(self, size_bytes: int) -> bool:
        """Return whether a job of this size may begin."""
        return self._used_bytes + size_bytes <= self._max_bytes

    def add(self, size_bytes: int) -> None:
        """Count a job that begins."""
        self._used_bytes += size_bytes

    def remove(self, size_bytes: int) -> None:
        """Count a job that has ended."""
        self._used_bytes -= size_bytes
