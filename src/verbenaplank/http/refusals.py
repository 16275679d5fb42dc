"""Refusals that a connection sends without asking its handler."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from http import HTTPStatus

from verbenaplank.http.incoming import IncomingRequest
from verbenaplank.http.messages import Response

RETRY_AFTER_S = 1
TEXT = {"content-type": "text/plain; charset=utf-8"}


class Refusal(Enum):
    """Why a connection refuses a request, none of which was handled."""

    MALFORMED = (HTTPStatus.BAD_REQUEST, "Invalid HTTP request received.")
    HEAD_TOO_LARGE = (
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        "The head of the request is too large.",
    )
    BODY_TOO_LARGE = (
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        "The body of the request is too large.",
    )
    TOO_SLOW = (HTTPStatus.REQUEST_TIMEOUT, "The request did not arrive in time.")
    OVERLOADED = (
        HTTPStatus.SERVICE_UNAVAILABLE,
        "Too many clients send requests; this one was not handled.",
    )

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        self.status = status
        self.detail = detail

    @property
    def retry_after_s(self) -> int | None:
        """Return when the client may send the request again, in seconds."""
        return RETRY_AFTER_S if self is Refusal.OVERLOADED else None


RefusalResponse = Callable[[Refusal, IncomingRequest | None], Response]
"""Returns the response of a refusal, given the request if its head was received."""


def text_refusal(refusal: Refusal, incoming: IncomingRequest | None = None) -> Response:
    """Return a refusal as plain text."""
    del incoming
    headers = dict(TEXT)
    if refusal.retry_after_s is not None:
        headers["retry-after"] = str(refusal.retry_after_s)
    return Response(
        status=refusal.status, body=refusal.detail.encode(), headers=headers
    )
