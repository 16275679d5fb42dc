"""Errors that callers of the replicated log handle."""

from __future__ import annotations


class ProposalRejectedError(Exception):
    """The command was not accepted and never will be."""


class OutcomeUnknownError(Exception):
    """The command may or may not be accepted; propose it again to learn more."""


class NoQuorumError(Exception):
    """No quorum confirmed in time that the state is the newest."""
