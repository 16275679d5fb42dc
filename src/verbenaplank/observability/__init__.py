"""Logs as JSON lines, metrics, and the history of a request from the logs."""

from __future__ import annotations
