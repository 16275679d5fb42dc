"""HTTP clients of the command line: entries for callers, control for operators."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs
import httpx

from verbenaplank.outcome.failure import RunState

ANSWER_TIMEOUT_S = 120.0
CONNECT_TIMEOUT_S = 2.0
RETRIED_STATUS = httpx.codes.SERVICE_UNAVAILABLE


class UnreachableError(Exception):
    """No instance answered, so the outcome is not known."""


class NotSentError(UnreachableError):
    """No instance could be connected to, so surely nothing was run."""


@attrs.frozen
class Reply:
    """An instance's answer.

    Attributes
    ----------
    content
        The decoded JSON body.
    duration_s
        From sending the request to the end of its answer.
    """

    status: int
    content: Any
    duration_s: float

    @property
    def succeeded(self) -> bool:
        """Return whether the instance did what was asked."""
        return httpx.codes.is_success(self.status)

    @property
    def surely_not_run(self) -> bool:
        """Return whether the answer says that nothing was run."""
        return isinstance(self.content, dict) and (
            self.content.get("run") == RunState.NOT_RUN
        )


class Client:
    """Talks to the first instance of a list that can serve.

    An instance that cannot be connected to, or that refuses as surely not run
    for want of readiness, is passed over.  Any other answer is final.
    """

    def __init__(self, urls: Sequence[str], token: str) -> None:
        self._urls = urls
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        timeout = httpx.Timeout(ANSWER_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
        self._http = httpx.Client(headers=headers, timeout=timeout, trust_env=False)

    def __enter__(self) -> Client:
        """Return the client itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the connections."""
        self._http.close()

    def send(
        self, method: str, path: str, body: Mapping[str, object] | None = None
    ) -> Reply:
        """Send one request.

        Raises
        ------
        NotSentError
            If no instance could be connected to.
        UnreachableError
            If the request was sent and no answer came.
        """
        faults = []
        refusal = None
        for url in self._urls:
            try:
                response = self._http.request(method, f"{url}{path}", json=body)
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                faults.append(f"{url}: {error}")
                continue
            except httpx.HTTPError as error:
                raise UnreachableError(f"{url}: {error!r}") from error
            reply = _reply(response)
            if reply.status != RETRIED_STATUS or not reply.surely_not_run:
                return reply
            refusal = reply
        if refusal is not None:
            return refusal
        raise NotSentError("; ".join(faults))


def _reply(response: httpx.Response) -> Reply:
    try:
        content = response.json()
    except ValueError:
        content = {"detail": response.text}
    return Reply(response.status_code, content, response.elapsed.total_seconds())
