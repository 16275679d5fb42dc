"""Files that survive a crash: journal, snapshots and small durable values."""

from __future__ import annotations
