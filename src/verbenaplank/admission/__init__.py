"""Admission of requests, and the order in which tasks leave the queue."""

from __future__ import annotations
