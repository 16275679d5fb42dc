"""Membership: which entries and agents there are, under leases."""

from __future__ import annotations
