"""One header line must not stop the event loop, however it is made."""

import re
import time
from random import Random

import h11
import pytest
from h11._abnf import header_field

from walkcart.wire.http import MAX_HEADER_BYTES
from walkcart.wire.linearheaders import HEADER_LINE

#: Seconds that no single line may take; a line of 60 kB took 12 with h11's pattern.
MAX_SECONDS = 2.0
BLANKS = b"a:" + b" " * 60_000 + b"\0"


def parse(role: type, data: bytes) -> float:
    """Feed `data` to a parser that must reject it; return the seconds it takes."""
    parser = h11.Connection(role, max_incomplete_event_size=MAX_HEADER_BYTES)
    if role is h11.CLIENT:
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        parser.send(h11.EndOfMessage())
    start = time.monotonic()
    parser.receive_data(data)
    with pytest.raises(h11.RemoteProtocolError):
        while parser.next_event() is not h11.NEED_DATA:
            pass
    return time.monotonic() - start


def test_blanks_in_a_request_head_dont_stop_the_event_loop():
    data = b"GET / HTTP/1.1\r\nhost: x\r\n" + BLANKS + b"\r\n\r\n"
    assert parse(h11.SERVER, data) < MAX_SECONDS


def test_blanks_in_a_reply_head_dont_stop_the_event_loop():
    data = b"HTTP/1.1 200 OK\r\n" + BLANKS + b"\r\n\r\n"
    assert parse(h11.CLIENT, data) < MAX_SECONDS


def test_blanks_in_trailers_dont_stop_the_event_loop():
    head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n"
    assert parse(h11.CLIENT, head + BLANKS + b"\r\n\r\n") < MAX_SECONDS


def test_the_pattern_accepts_the_same_lines_as_h11():
    theirs = re.compile(header_field.encode())
    random = Random(63)
    for _ in range(20_000):
        line = bytes(random.choices(b"ab: \t\0\r\x0b\xe9", k=random.randrange(10)))
        ours, expected = HEADER_LINE.fullmatch(line), theirs.fullmatch(line)
        assert (ours and ours.groupdict()) == (expected and expected.groupdict()), line
