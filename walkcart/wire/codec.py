"""The codec of envelopes: MessagePack by msgspec, behind a checksum.

Without the checksum most envelopes with a changed byte or two still decode, and parts
of one answer are taken for those of another: 2 of 300 questions were mixed up over
links that garbled one envelope in twenty.
"""

from __future__ import annotations

from zlib import crc32

import msgspec

from walkcart.kernel.decoding import BadData, MsgpackDecoder
from walkcart.wire.messages import Envelope

#: Largest envelope that is accepted, in bytes: a whole configuration fits.
MAX_ENVELOPE_BYTES = 4 << 20
#: First byte of an envelope with a checksum; MessagePack never uses it. Envelopes
#: without one are accepted too: instances of the previous version may send them during
#: a roll-out.
CHECKSUM_MARK = b"\xc1"
_CHECKSUM_BYTES = 4

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = MsgpackDecoder(Envelope)


class BadMessage(ValueError):
    """Bytes that are not a valid envelope, or a message that can't be meant."""


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of `envelope`.

    Raises:
        BadMessage: they would be more than `MAX_ENVELOPE_BYTES`, or a number or text in
            it can't be encoded.
    """
    try:
        data = _ENCODER.encode(envelope)
    except (OverflowError, UnicodeEncodeError) as error:
        raise BadMessage(f"it can't be encoded: {error}") from None
    size = len(CHECKSUM_MARK) + _CHECKSUM_BYTES + len(data)
    if size > MAX_ENVELOPE_BYTES:
        raise BadMessage(f"it has {size} bytes, more than {MAX_ENVELOPE_BYTES}")
    return CHECKSUM_MARK + crc32(data).to_bytes(_CHECKSUM_BYTES, "big") + data


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in `data`.

    Raises:
        BadMessage: `data` is longer than `MAX_ENVELOPE_BYTES` or not a valid envelope.
    """
    if len(data) > MAX_ENVELOPE_BYTES:
        raise BadMessage(
            f"the envelope has {len(data)} bytes, more than {MAX_ENVELOPE_BYTES}"
        )
    if data[:1] == CHECKSUM_MARK:
        data = _verify_checksum(data[1:])
    try:
        return _DECODER.decode(data)
    except BadData as error:
        raise BadMessage(str(error)) from None


def _verify_checksum(data: bytes) -> bytes:
    """Return the data after the checksum; raise `BadMessage` if they don't match."""
    checksum, rest = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
    if crc32(rest).to_bytes(_CHECKSUM_BYTES, "big") != checksum:
        raise BadMessage("the checksum isn't that of the envelope")
    return rest
