"""API keys on callers' requests.

Examples:
    >>> found = read_credential(((b"authorization", b"bearer secret"),))
    >>> found == digest_key(b"secret")
    True
    >>> read_credential(((b"authorization", b"Basic secret"),)) is None
    True
"""

from __future__ import annotations

from walkcart.intent.teams import digest_key
from walkcart.platform.headers import AUTHORIZATION
from walkcart.wire.http import Headers

#: The scheme of API keys (RFC 6750); case makes no difference.
SCHEME = b"bearer"
#: Bytes of a key at the most: some ten times those of keys in use, so that a caller
#: can't have an instance digest whole heads for nothing.
MAX_KEY_BYTES = 512
#: First and last of the visible characters of ASCII: a key has no others.
_VISIBLE = (0x21, 0x7E)


def read_credential(headers: Headers) -> bytes | None:
    """Return the digest of the API key among headers; None without exactly one.

    Args:
        headers: names in small letters.
    """
    values = [value for name, value in headers if name == AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != SCHEME or not _may_be_key(key):
        return None
    return digest_key(key)


def _may_be_key(key: bytes) -> bool:
    first, last = _VISIBLE
    if not 0 < len(key) <= MAX_KEY_BYTES:
        return False
    return first <= min(key) and max(key) <= last
