"""What each kind of client sends, piece by piece; the clients then fall silent."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from collections.abc import Iterator

import attrs

KIB = 1024
MIB = 1024 * KIB
MAX_HEAD_BYTES = 16 * KIB
"""Limit of a request's head in the routing documents of the users."""

OVERLONG_BYTES = 512 * KIB
ENDLESS_BYTES = 4 * MIB
WRITE_BYTES = 64 * KIB
PIECE_BYTES = 4 * KIB
COMPLETE_EVERY = 10
"""One of so many clients with a large body sends it to its end."""

MAX_TASKS = 350
MAX_SPEC_BYTES = 4_000

NAME_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"
ODD_NAME_SIGNS = "!#$%&'*+-.^_`|~"
ODD_VALUES = (
    b"",
    b" ",
    b"\t\t",
    b"\xff\xfe",
    b":",
    b" a  b ",
    b'"',
    b"=?utf-8?q?=00?=",
)


@attrs.frozen
class RepeatedValue:
    """A JSON text that is made of one value, many times."""

    start: bytes = b"["
    item: bytes = b"[]"
    end: bytes = b"]"


@attrs.frozen(kw_only=True)
class Target:
    """A port of a program, and a request that it takes.

    Attributes
    ----------
    path
        Path of the request; ``{}`` in it is replaced by the number of the client.
    max_body_bytes
        Size of the largest permitted body, in bytes.
    small_values
        A body that the program decodes value by value.
    """

    host: str
    port: int
    method: str
    path: str
    max_body_bytes: int
    small_values: RepeatedValue = RepeatedValue()
    virtual_host: str = "desk.example"

    def start_of_head(self, number: int) -> bytes:
        """Return the request line and the header fields that routing needs."""
        path = self.path.format(f"{number:016x}")
        lines = (
            f"{self.method} {path} HTTP/1.1",
            f"Host: {self.virtual_host}",
            "Content-Type: application/json",
            "Verbenaplank-Deadline-Ms: 1500",
        )
        return "".join(f"{line}\r\n" for line in lines).encode()


@attrs.frozen(kw_only=True)
class ClientKind:
    """A kind of client.

    Attributes
    ----------
    pieces
        Returns what the client with a number sends to a target.
    count
        Number of the clients of a crowd.
    exceeds_limits
        Whether every client goes beyond a limit, so that none may stay connected.
    reads_answers
        Whether the clients read what the server sends.
    """

    name: str
    pieces: Callable[[Target, int], Iterator[bytes]]
    count: int
    exceeds_limits: bool = False
    reads_answers: bool = True


def short_header_lines(target: Target, number: int) -> Iterator[bytes]:
    """Send a head of legal size with as many lines as fit, and stop in the body."""
    yield _filled_head(target, number, _short_lines())
    yield b"123456789"


def odd_header_lines(target: Target, number: int) -> Iterator[bytes]:
    """Send a head of legal size with rare characters, and stop in the body."""
    yield _filled_head(target, number, _odd_lines())
    yield b"123456789"


def overlong_head(target: Target, number: int) -> Iterator[bytes]:
    """Send a whole head over the limit, and stop in the body."""
    yield target.start_of_head(number)
    yield b"Content-Length: 10\r\n"
    yield from _cut(_short_lines(), OVERLONG_BYTES)
    yield b"\r\n123456789"


def endless_header_lines(target: Target, number: int) -> Iterator[bytes]:
    """Send header lines without an end."""
    yield target.start_of_head(number)
    yield from _cut(_short_lines(), OVERLONG_BYTES)


def endless_header_line(target: Target, number: int) -> Iterator[bytes]:
    """Send one header line without an end."""
    yield target.start_of_head(number) + b"X: "
    yield from _cut(itertools.repeat(b"x" * PIECE_BYTES), ENDLESS_BYTES)


def endless_target(target: Target, number: int) -> Iterator[bytes]:
    """Send a request line without an end."""
    yield f"{target.method} {target.path.format(number)}".encode()
    yield from _cut(itertools.repeat(b"x" * PIECE_BYTES), ENDLESS_BYTES)


def endless_empty_lines(target: Target, number: int) -> Iterator[bytes]:
    """Send empty lines before a request that never comes."""
    yield from _cut(itertools.repeat(b"\r\n" * KIB), ENDLESS_BYTES)


def endless_trailer_lines(target: Target, number: int) -> Iterator[bytes]:
    """Send header lines without an end after a chunked body."""
    yield target.start_of_head(number) + b"Transfer-Encoding: chunked\r\n\r\n"
    yield b"1\r\nx\r\n0\r\n"
    yield from _cut(_short_lines(), OVERLONG_BYTES)


def large_bodies_at_once(target: Target, number: int) -> Iterator[bytes]:
    """Send a large body of legal size at once; most stop just before its end."""
    yield from _body(target, number, WRITE_BYTES)


def large_bodies_piece_by_piece(target: Target, number: int) -> Iterator[bytes]:
    """Send a large body of legal size in pieces; most stop just before its end."""
    yield from _body(target, number, PIECE_BYTES)


def pipelined_requests(target: Target, number: int) -> Iterator[bytes]:
    """Send many small requests of legal size without reading an answer."""
    request = f"GET {target.path.format(number)} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
    yield from _cut(itertools.repeat(request), MIB)


def silent_connections(target: Target, number: int) -> Iterator[bytes]:
    """Send the beginning of a request."""
    yield target.start_of_head(number)


KINDS = (
    ClientKind(name="short_header_lines", pieces=short_header_lines, count=400),
    ClientKind(name="odd_header_lines", pieces=odd_header_lines, count=400),
    ClientKind(
        name="overlong_head", pieces=overlong_head, count=24, exceeds_limits=True
    ),
    ClientKind(
        name="endless_header_lines",
        pieces=endless_header_lines,
        count=24,
        exceeds_limits=True,
    ),
    ClientKind(
        name="endless_header_line",
        pieces=endless_header_line,
        count=40,
        exceeds_limits=True,
    ),
    ClientKind(
        name="endless_target", pieces=endless_target, count=40, exceeds_limits=True
    ),
    ClientKind(
        name="endless_empty_lines",
        pieces=endless_empty_lines,
        count=40,
        exceeds_limits=True,
    ),
    ClientKind(
        name="endless_trailer_lines",
        pieces=endless_trailer_lines,
        count=24,
        exceeds_limits=True,
    ),
    ClientKind(name="large_bodies_at_once", pieces=large_bodies_at_once, count=120),
    ClientKind(
        name="large_bodies_piece_by_piece",
        pieces=large_bodies_piece_by_piece,
        count=120,
    ),
    ClientKind(
        name="pipelined_requests",
        pieces=pipelined_requests,
        count=24,
        reads_answers=False,
    ),
    ClientKind(name="silent_connections", pieces=silent_connections, count=700),
)


def large_spec(target: Target, number: int) -> Iterator[bytes]:
    """Send a job whose tasks share a text that fills a body of legal size."""
    spec_bytes = target.max_body_bytes - KIB
    yield from _whole_job(target, number, MAX_TASKS, spec_bytes)


def many_tasks(target: Target, number: int) -> Iterator[bytes]:
    """Send a job of legal size with as many tasks, and as long a text, as permitted."""
    yield from _whole_job(target, number, MAX_TASKS, MAX_SPEC_BYTES)


def small_values(target: Target, number: int) -> Iterator[bytes]:
    """Send a whole body of legal size that is made of very many small values."""
    body = target.small_values
    count = (target.max_body_bytes - len(body.start) - len(body.end)) // (
        len(body.item) + 1
    )
    text = body.start + b",".join([body.item] * count) + body.end
    head = target.start_of_head(number)
    yield head + b"Content-Length: %d\r\n\r\n" % len(text) + text


SMALL_VALUES = ClientKind(name="small_values", pieces=small_values, count=4)
JOB_KINDS = (
    ClientKind(name="large_spec", pieces=large_spec, count=4),
    ClientKind(name="many_tasks", pieces=many_tasks, count=150),
)
"""Kinds of clients whose whole requests take more memory than their bytes."""


def _whole_job(
    target: Target, number: int, tasks: int, spec_bytes: int
) -> Iterator[bytes]:
    step = f'{{"count":{tasks},"cpu":1,"mem-mb":1,"estimate-ms":1}}'
    spec = "x" * spec_bytes
    body = f'{{"best-effort":true,"steps":[{step}],"spec":"{spec}"}}'.encode()
    head = target.start_of_head(number)
    yield head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def filled_head(target: Target, body_bytes: int) -> bytes:
    """Return a head of the largest size with short lines, for a body of a size."""
    return _filled_head(target, 0, _short_lines(), body_bytes)


def padded_job(size_bytes: int) -> bytes:
    """Return a job of one task whose JSON text has so many bytes."""
    step = b'{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":50}'
    start = b'{"best-effort":true,"steps":[' + step + b'],"padding":"'
    end = b'"}'
    return start + b"x" * (size_bytes - len(start) - len(end)) + end


def _body(target: Target, number: int, piece_bytes: int) -> Iterator[bytes]:
    body = padded_job(target.max_body_bytes)
    if number % COMPLETE_EVERY:
        body = body[:-1]
    head = target.start_of_head(number)
    yield head + b"Content-Length: %d\r\n\r\n" % target.max_body_bytes
    for begin in range(0, len(body), piece_bytes):
        yield body[begin : begin + piece_bytes]


def _filled_head(
    target: Target, number: int, lines: Iterator[bytes], body_bytes: int = 10
) -> bytes:
    """Return a head that is as long as the limit permits, with the given lines."""
    head = target.start_of_head(number) + b"Content-Length: %d\r\n" % body_bytes
    end = b"\r\n"
    for line in lines:
        if len(head) + len(line) + len(end) > MAX_HEAD_BYTES:
            break
        head += line
    return head + end


def _short_lines() -> Iterator[bytes]:
    for length in itertools.count(1):
        for name in itertools.product(NAME_DIGITS, repeat=length):
            yield f"{''.join(name)}:\r\n".encode()


def _odd_lines() -> Iterator[bytes]:
    values = itertools.cycle(ODD_VALUES)
    for length in itertools.count(1):
        for name in itertools.product(ODD_NAME_SIGNS, repeat=length):
            yield "".join(name).encode() + b":" + next(values) + b"\r\n"


def _cut(parts: Iterator[bytes], size_bytes: int) -> Iterator[bytes]:
    """Yield the parts, joined into large pieces, until so many bytes are yielded."""
    sent, piece = 0, bytearray()
    while sent < size_bytes:
        while len(piece) < WRITE_BYTES:
            piece += next(parts)
        yield bytes(piece)
        sent += len(piece)
        piece.clear()
