"""Outcomes of requests: findings, failures and what is known to have run."""

from __future__ import annotations
