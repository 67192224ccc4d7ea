"""News of requests under which leaves ended."""

from __future__ import annotations

import msgspec

from walkcart.wire.messagebase import Message

#: Seconds that stand for a time that never was.
NEVER = 1e9


class QuarantineEntry(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of one request.

    Args:
        fingerprint: of the request (`walkcart.wire.fingerprint`).
        strikes: numbers that name the independent losses of leaves under it.
        struck_age: seconds since the last of them.
        answered_age: seconds since a leaf answered it last; `NEVER` if none did.
    """

    fingerprint: bytes
    strikes: tuple[int, ...]
    struck_age: float
    answered_age: float = NEVER


class QuarantineNews(Message, frozen=True):
    """What the sender knows of some requests; it may come again and in any order."""

    entries: tuple[QuarantineEntry, ...]
