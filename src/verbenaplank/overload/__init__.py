"""Decisions of an entry when there is more work than capacity, without I/O.

Each module names the pattern of load that it answers.
"""

from __future__ import annotations
