"""Errors that proposals and reads of the replicated log raise."""

from __future__ import annotations


class ProposalRejectedError(Exception):
    """The proposed command was not accepted and never will be."""


class OutcomeUnknownError(Exception):
    """The proposed command may or may not have been accepted, or be accepted later.

    Proposing it again shows which, if the state machine recognizes repeated commands.
    """


class NoQuorumError(Exception):
    """No quorum confirmed in time that the local state is up to date."""
