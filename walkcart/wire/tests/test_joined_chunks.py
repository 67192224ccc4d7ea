"""Bodies in many short chunks, whose events would cost seconds of processor time."""

import h11
import pytest
from h11._readers import ChunkedReader
from hypothesis import given
from hypothesis import strategies as st

from walkcart.wire.bodies import MAX_PIECES, PIECES_PER_TURN
from walkcart.wire.http import HttpConnection  # noqa: F401 - it joins chunks
from walkcart.wire.joinedchunks import MIN_SEPARATE_DATA, count_pieces

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def make_connection():
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    connection.send(h11.EndOfMessage())
    return connection


def make_body(chunks, trailer=b""):
    parts = [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks]
    return b"".join(parts) + b"0\r\n" + trailer + b"\r\n"


def read(portions, plain=False):
    """Return what is read of a reply, and the numbers of events and of pieces.

    What is read are its body, its trailers, the bytes after it, and an error.

    Args:
        portions: bytes of the body, as they arrive.
        plain: whether h11's own reader is used.
    """
    connection = make_connection()
    connection.receive_data(HEAD)
    assert type(connection.next_event()) is h11.Response
    if plain:
        connection._reader = ChunkedReader()
    body, trailers, error, events, pieces = b"", None, "", 0, 0
    for portion in portions:
        connection.receive_data(portion)
        try:
            while type(event := connection.next_event()) is h11.Data:
                body += event.data
                events += 1
                pieces = count_pieces(connection)
        except h11.RemoteProtocolError as found:
            error = str(found)
            break
        if type(event) is h11.EndOfMessage:
            trailers = list(event.headers)
            break
    found = body, trailers, bytes(connection.trailing_data[0]), error
    return found, events, pieces


CHUNKS = st.lists(st.binary(min_size=1, max_size=9), max_size=30)
SPOILED = st.tuples(st.integers(0, 400), st.binary(min_size=1, max_size=2))


@given(
    CHUNKS, st.sampled_from([b"", b"x: y\r\n"]), st.integers(1, 40), st.none() | SPOILED
)
def test_joined_chunks_are_read_as_the_chunks_would_be(chunks, trailer, size, spoiled):
    # Guards against bytes that are lost, added or taken from the next reply.
    data = make_body(chunks, trailer) + b"HTTP/1.1 200 OK\r\n"
    if spoiled is not None:
        place, wrong = spoiled
        place %= len(data)
        data = data[:place] + wrong + data[place + len(wrong) :]
    portions = [data[start : start + size] for start in range(0, len(data), size)]
    found, _, _ = read(portions)
    expected, _, _ = read(portions, plain=True)
    if expected[3]:
        # Data before the error may be missing, as the reply fails with it.
        assert found[3] == expected[3]
        assert expected[0].startswith(found[0])
    else:
        assert found == expected


def test_many_short_chunks_come_in_few_events():
    # Guards against a reply in chunks of two bytes that takes seconds of the processor.
    data = make_body([b"ab"] * MAX_PIECES)
    (body, trailers, _, _), events, pieces = read([data])
    assert (len(body), trailers, pieces) == (2 * MAX_PIECES, [], MAX_PIECES)
    assert events <= MAX_PIECES / PIECES_PER_TURN + 1


@pytest.mark.parametrize("size", [MIN_SEPARATE_DATA, 4 * MIN_SEPARATE_DATA])
def test_long_chunks_are_not_joined(size):
    (body, _, _, _), events, pieces = read([make_body([b"r" * size] * 5)])
    assert (len(body), events, pieces) == (5 * size, 5, 5)
