"""Figures in messages between instances are bounded by the codec."""

from zlib import crc32

import msgspec
import pytest

from walkcart.wire.codec import BadMessage, decode_envelope, encode_envelope
from walkcart.wire.delegations import DelegatedCancel
from walkcart.wire.messages import MAX_MESSAGES, Envelope
from walkcart.wire.quotas import QuotaAsk, QuotaGrant
from walkcart.wire.relays import RelayAge, RelayCopy

NAN, INFINITY = float("nan"), float("inf")


def make_envelope(*messages, **fields):
    return Envelope("a", 0, "127.0.0.1:1", 0, messages, **fields)


@pytest.mark.parametrize(
    "envelope",
    [
        make_envelope(QuotaGrant(1, 1, NAN)),
        make_envelope(QuotaGrant(1, 1, 0.0, INFINITY)),
        make_envelope(QuotaGrant(1, 1, -1.0)),
        make_envelope(QuotaGrant(1, 0, full=((1, NAN),))),
        make_envelope(QuotaAsk(1, 0, "team", 1, 1, INFINITY, 1.0)),
        make_envelope(RelayCopy("routes", 1, b"", RelayAge(-1e300, 0.0))),
        make_envelope(RelayCopy("routes", 1, b"", RelayAge(0.0, NAN))),
        make_envelope(DelegatedCancel("x" * 100_000)),
        make_envelope(life="life", sent_at=1e300),
        make_envelope(life="life", sent_at=NAN),
        make_envelope(*[DelegatedCancel("x")] * (MAX_MESSAGES + 1)),
    ],
    ids=lambda envelope: repr(envelope)[:60],
)
def test_envelope_with_impossible_figures_is_rejected(envelope):
    with pytest.raises(BadMessage):
        decode_envelope(encode_envelope(envelope))


def test_envelope_whose_extra_fields_nest_deep_is_rejected():
    content = ["a", 0, "", 0, [], "", 0.0, "", 0.0]
    data = msgspec.msgpack.encode(content)
    longer = bytes([data[0] + 1]) + data[1:] + b"\x91" * 100_000 + b"\xc0"
    with pytest.raises(BadMessage):
        decode_envelope(b"\xc1" + crc32(longer).to_bytes(4, "big") + longer)
