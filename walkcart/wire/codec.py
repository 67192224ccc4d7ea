"""The codec of envelopes: MessagePack by msgspec."""

from __future__ import annotations

import msgspec

from walkcart.wire.messages import Envelope

#: Longest envelope that is taken, in bytes: a whole configuration fits.
ENVELOPE_LIMIT = 4 << 20

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


class BadMessage(ValueError):
    """Bytes that are no envelope."""


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of `envelope`."""
    return _ENCODER.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in `data`.

    Raises:
        BadMessage: `data` is too long or no envelope.
    """
    if len(data) > ENVELOPE_LIMIT:
        raise BadMessage("too long")
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise BadMessage(str(error)) from None
