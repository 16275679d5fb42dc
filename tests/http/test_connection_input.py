from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from verbenaplank.http.connection_input import MAX_UNANSWERED
from verbenaplank.http.connection_input import ConnectionInput
from verbenaplank.http.limits import HttpLimits

if TYPE_CHECKING:
    from verbenaplank.http.incoming import IncomingRequest
    from verbenaplank.http.messages import Request

LIMITS = HttpLimits(max_body_bytes=1_000)
REQUESTS = 40


class Reader:
    """Takes each request as soon as it is complete, like a connection."""

    def __init__(self) -> None:
        self.taken: list[Request] = []
        self.input = ConnectionInput(self._ignore, self._ignore, lambda: LIMITS)

    def read(self, data: bytes) -> None:
        self.input.add(data, lambda: True)
        while self._take():
            self.input.add(b"", lambda: True)

    def _take(self) -> bool:
        waiting = self.input.unanswered
        if not waiting or not waiting[0].is_complete:
            return False
        self.taken.append(waiting.popleft().take_request())
        return True

    def _ignore(self, incoming: IncomingRequest) -> None:
        """Do nothing until the request is taken."""


def _requests(generator: random.Random) -> list[tuple[str, bytes, bytes]]:
    """Return random paths and bodies, with the bytes of their requests."""
    requests = []
    for number in range(REQUESTS):
        body = generator.randbytes(generator.choice((0, 1, 9, 300)))
        path = f"/{number}"
        head = f"PUT {path} HTTP/1.1\r\nKey{number}: {number}\r\n".encode()
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        chunked = b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
        rest = generator.choice((length + body, chunked))
        empty_lines = generator.choice((b"", b"\r\n"))
        requests.append((path, body, empty_lines + head + rest))
    return requests


@pytest.mark.parametrize("seed", range(20))
def test_requests_are_the_same_however_their_bytes_arrive(seed: int) -> None:
    """Guards against state that is lost or kept at the border of two pieces."""
    generator = random.Random(seed)
    requests = _requests(generator)
    data = b"".join(text for _, _, text in requests)
    reader = Reader()
    begin = 0
    while begin < len(data):
        end = begin + generator.choice((1, 2, 50, 1_000, 9_000))
        reader.read(data[begin:end])
        begin = end
    expected = [(path, body) for path, body, _ in requests]
    assert [(request.path, request.body) for request in reader.taken] == expected
    for number, request in enumerate(reader.taken):
        assert request.headers[f"key{number}"] == str(number)
    assert reader.input.held_bytes == 0


def test_received_requests_wait_as_bytes_behind_eight_unanswered_ones() -> None:
    """Guards against objects for each of the requests that a client sends at once."""
    reader = Reader()
    request = b"GET / HTTP/1.1\r\n\r\n"
    reader.input.add(request * 10_000, lambda: True)
    parsed = len(reader.input.unanswered)
    assert MAX_UNANSWERED < parsed < 300
    assert reader.input.held_bytes < 11_000 * len(request)
    reader.input.forget()
    assert (reader.input.held_bytes, reader.input.has_enough) == (0, True)
