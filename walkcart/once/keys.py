"""Idempotency keys: UUIDs of version 7, which hold the time of their issue.

The time is what makes "at most once" hold without keeping keys for ever: a key
is kept for as long as it is taken, and an older one is refused, not run.

References:
    RFC 9562, section 5.7.

See Also:
    ``docs/design/claims.md``.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from hashlib import blake2b
from random import Random
from uuid import UUID

#: A key is taken this long after its issue.
KEY_TIME = timedelta(minutes=10)
#: Most that two clocks are taken to differ.
CLOCK_SKEW = timedelta(minutes=1)
#: Claims are kept for this long after the key's issue.
KEEP_TIME = KEY_TIME + 4 * CLOCK_SKEW
DIGEST_SIZE = 16


class BadKey(ValueError):
    """A key that can't be taken; its text says what was expected."""


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A key that can be taken.

    Args:
        value: as given.
        issued: when the caller made it.
    """

    value: str
    issued: datetime


def parse_key(text: str | None, now: datetime) -> IdempotencyKey:
    """Read the ``Idempotency-Key`` header.

    Raises:
        BadKey: missing, no UUID of version 7, too old or from the future.
    """
    if not text:
        raise BadKey("an Idempotency-Key header with a UUID of version 7")
    try:
        uuid = UUID(text)
    except ValueError:
        raise BadKey("a UUID of version 7") from None
    if uuid.version != 7 or str(uuid) != text.lower():
        raise BadKey("a UUID of version 7, written with hyphens")
    issued = datetime.fromtimestamp((uuid.int >> 80) / 1000, UTC)
    if issued > now + CLOCK_SKEW:
        raise BadKey("a key that wasn't issued in the future")
    if issued < now - KEY_TIME:
        minutes = KEY_TIME.total_seconds() / 60
        raise BadKey(f"a key issued within the last {minutes:g} minutes")
    return IdempotencyKey(str(uuid), issued)


def make_key(now: datetime, random: Random) -> str:
    """Return a new key issued at `now`."""
    milliseconds = int(now.timestamp() * 1000)
    value = milliseconds << 80 | 0x7 << 76 | random.getrandbits(12) << 64
    value |= 0b10 << 62 | random.getrandbits(62)
    return str(UUID(int=value))


def digest_key(service: str, partner: str, key: str) -> bytes:
    """Return what a key is claimed under: it is the partner's own at a service."""
    text = "\0".join((service, partner, key))
    return blake2b(text.encode(), digest_size=DIGEST_SIZE).digest()


def digest_request(body: bytes) -> bytes:
    """Return what tells one request from another under the same key."""
    return blake2b(body, digest_size=DIGEST_SIZE).digest()
