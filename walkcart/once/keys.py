"""Idempotency keys: UUIDs of version 7, which contain the time of their issue.

Because of this time, requests run at most once though keys aren't kept for ever: a key
is kept for as long as it is accepted, and a request with an older key is refused.

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

#: A key is accepted for this long after its issue.
MAX_KEY_AGE = timedelta(minutes=10)
#: Largest assumed difference between two clocks.
MAX_CLOCK_SKEW = timedelta(minutes=1)
#: Claims are kept for this long after the key's issue.
CLAIM_RETENTION = MAX_KEY_AGE + 4 * MAX_CLOCK_SKEW
#: Size of digests of keys and requests, in bytes.
DIGEST_SIZE = 16


class BadKey(ValueError):
    """An invalid key; the message says what was expected."""


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A valid idempotency key.

    Args:
        value: the UUID, in lower case.
        issued: when the caller made it.
    """

    value: str
    issued: datetime


def parse_key(text: str | None, now: datetime) -> IdempotencyKey:
    """Read the ``Idempotency-Key`` header.

    Raises:
        BadKey: the key is missing, not a UUID of version 7, too old, or issued in the
            future.
    """
    if not text:
        raise BadKey("an Idempotency-Key header with a UUID of version 7")
    try:
        uuid = UUID(text)
    except ValueError:
        raise BadKey("a UUID of version 7") from None
    if uuid.version != 7 or str(uuid) != text.lower():
        raise BadKey("a UUID of version 7, written with hyphens")
    seconds = (uuid.int >> 80) / 1000
    # Compared as a number, since a key can state years that no date has.
    if seconds > (now + MAX_CLOCK_SKEW).timestamp():
        raise BadKey("a key that wasn't issued in the future")
    issued = datetime.fromtimestamp(seconds, UTC)
    if issued < now - MAX_KEY_AGE:
        minutes = MAX_KEY_AGE.total_seconds() / 60
        raise BadKey(f"a key issued within the last {minutes:g} minutes")
    return IdempotencyKey(str(uuid), issued)


def make_key(now: datetime, random: Random) -> str:
    """Return a new key issued at `now`."""
    milliseconds = int(now.timestamp() * 1000)
    value = milliseconds << 80 | 0x7 << 76 | random.getrandbits(12) << 64
    value |= 0b10 << 62 | random.getrandbits(62)
    return str(UUID(int=value))


def digest_key(service: str, partner: str, key: str) -> bytes:
    """Return the digest that a key is claimed under, for one service and partner."""
    text = "\0".join((service, partner, key))
    return blake2b(text.encode(), digest_size=DIGEST_SIZE).digest()


def digest_request(body: bytes) -> bytes:
    """Return the digest that distinguishes requests with the same key."""
    return blake2b(body, digest_size=DIGEST_SIZE).digest()
