"""Envelopes and the peer transport."""

from zlib import crc32

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from walkcart.kernel.settings import HostPort
from walkcart.wire.codec import (
    CHECKSUM_MARK,
    BadMessage,
    decode_envelope,
    encode_envelope,
)
from walkcart.wire.messages import ClaimAsk, ConfigurationPull, Envelope
from walkcart.wire.peers import NngTransport

ASK = ClaimAsk("a.1.1", 0, b"k" * 16, 1.0, b"r" * 16, 0.5)
ENVELOPE = Envelope("a", 1, "127.0.0.1:1", 2, (ASK, ConfigurationPull(3)))


def test_envelope_comes_back_as_it_was():
    assert decode_envelope(encode_envelope(ENVELOPE)) == ENVELOPE


@given(st.binary(max_size=100))
def test_arbitrary_bytes_are_not_an_envelope(data):
    with pytest.raises(BadMessage):
        decode_envelope(data)


@pytest.mark.parametrize("deep", [b"\x91" * 5000 + b"\xc0", b"\x81\xa1a" * 5000])
def test_envelope_with_an_unknown_field_that_nests_deeply_is_refused(deep):
    plain = encode_envelope(ENVELOPE)[len(CHECKSUM_MARK) + 4 :]
    data = bytes([plain[0] + 1]) + plain[1:] + deep
    marked = CHECKSUM_MARK + crc32(data).to_bytes(4, "big") + data
    for received in (deep, data, marked):
        with pytest.raises(BadMessage):
            decode_envelope(received)


@given(st.integers(0, 200), st.integers(0, 255))
def test_corrupted_envelope_is_decoded_or_refused(place, value):
    data = bytearray(encode_envelope(ENVELOPE))
    data[place % len(data)] = value
    try:
        assert isinstance(decode_envelope(bytes(data)), Envelope)
    except BadMessage as error:
        assert str(error)


def test_nng_carries_envelopes_and_outlives_a_restart():
    async def run():
        transport = NngTransport()
        listener = await transport.listen(HostPort("127.0.0.1", 0))
        sender = await transport.dial(listener.address)
        await sender.send(b"one")
        first = await listener.receive()
        await listener.close()
        again = await transport.listen(listener.address)
        second = b""
        with trio.move_on_after(30):
            while not second:
                with trio.move_on_after(0.2):
                    await sender.send(b"two")
                with trio.move_on_after(0.2):
                    second = await again.receive()
        await sender.close()
        await again.close()
        return first, second

    assert trio.run(run) == (b"one", b"two")


def test_address_in_use_is_an_os_error():
    async def run():
        transport = NngTransport()
        listener = await transport.listen(HostPort("127.0.0.1", 0))
        with pytest.raises(OSError):
            await transport.listen(listener.address)
        await listener.close()

    trio.run(run)


def test_envelopes_carry_no_names_of_fields_or_classes():
    """Operators pay for bytes between regions, so names aren't sent."""
    data = encode_envelope(ENVELOPE)
    assert b"to_incarnation" not in data
    assert type(ASK).__name__.encode() not in data
    assert decode_envelope(data) == ENVELOPE
