"""Reads API keys from callers' requests.

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

#: Authentication scheme of API keys (RFC 6750), compared without regard to case.
SCHEME = b"bearer"
#: Maximum length of a key in bytes, about ten times the length of keys in use. Without
#: a bound, a caller could make an instance digest a whole request head.
MAX_KEY_BYTES = 512
#: First and last visible ASCII character; a key consists of visible characters only.
_VISIBLE_ASCII = (0x21, 0x7E)


def read_credential(headers: Headers) -> bytes | None:
    """Return the digest of the API key in the headers.

    Args:
        headers: headers with names in lower case.

    Returns:
        The digest, or None unless there is exactly one well-formed key.
    """
    values = [value for name, value in headers if name == AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != SCHEME or not _is_well_formed_key(key):
        return None
    return digest_key(key)


def _is_well_formed_key(key: bytes) -> bool:
    first, last = _VISIBLE_ASCII
    if not 0 < len(key) <= MAX_KEY_BYTES:
        return False
    return first <= min(key) and max(key) <= last
