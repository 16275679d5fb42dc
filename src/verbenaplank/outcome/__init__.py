"""Failures of requests: findings, rejections, and whether tasks have run."""

from __future__ import annotations
