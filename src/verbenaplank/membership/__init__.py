"""Membership: the list of entries and agents, kept alive by leases."""

from __future__ import annotations
