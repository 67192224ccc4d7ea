"""Messages about requests under which leaves crashed."""

from __future__ import annotations

import msgspec

from walkcart.wire.figures import Figure
from walkcart.wire.messagebase import Message

#: Seconds that stand for "never".
NEVER = 1e9


class QuarantineEntry(msgspec.Struct, frozen=True, array_like=True):
    """What the sender knows of one request.

    Args:
        fingerprint: fingerprint of the request (`walkcart.wire.fingerprint`).
        strikes: ids of the independent crashes of leaves under it.
        struck_age: seconds since the last crash.
        answered_age: seconds since a leaf last answered it; `NEVER` if none did.
        began_age: seconds since the first crash; `NEVER` if they are known not to be
            one crash of many leaves, None from instances that don't tell.
    """

    fingerprint: bytes
    strikes: tuple[int, ...]
    struck_age: Figure
    answered_age: Figure = NEVER
    began_age: Figure | None = None


class QuarantineNews(Message, frozen=True):
    """What the sender knows of some requests; may be repeated and out of order."""

    entries: tuple[QuarantineEntry, ...]
