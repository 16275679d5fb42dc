"""Errors that proposals and reads of the replicated log raise."""

from __future__ import annotations


class ProposalRejectedError(Exception):
    """The proposed command was not accepted and never will be."""


class CommandTooLargeError(ProposalRejectedError):
    """The command is larger than the log accepts, so that a retry is of no use."""


class OutcomeUnknownError(Exception):
    """It is unknown whether the proposed command was or will be accepted.

    If the state machine recognizes repeated commands, proposing it again is safe and
    settles its outcome.
    """


class NoQuorumError(Exception):
    """No quorum confirmed in time that the local state is up to date."""
