"""Fingerprints of requests: tell that a request is the same one that came before.

Each try of a caller has an id of its own, so that ids don't tell. What decides how a
leaf takes a request is its content and who sends it.

Examples:
    >>> one = HttpRequest("GET", "/x", ((b"host", b"shop"), (b"x-id", b"1")))
    >>> two = HttpRequest("GET", "/x", ((b"host", b"shop"), (b"x-id", b"2")))
    >>> fingerprint_request(one) == fingerprint_request(two)
    True
"""

from __future__ import annotations

from hashlib import blake2b

from walkcart.wire.http import HttpRequest

#: Bytes of a fingerprint: two of a billion requests share one by chance with a
#: probability below 1e-10.
SIZE = 12
#: Headers that say where a request goes and who sends it. Others may differ from one
#: try to the next.
IDENTIFYING_HEADERS = (b"host", b"authorization")
_LENGTH_BYTES = 4


def make_fingerprint(*parts: bytes) -> bytes:
    """Return the fingerprint of some parts, in this order."""
    digest = blake2b(digest_size=SIZE)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()


def fingerprint_request(
    request: HttpRequest, identifying: tuple[bytes, ...] = IDENTIFYING_HEADERS
) -> bytes:
    """Return the fingerprint of a request: method, target, host, sender and body.

    Args:
        request: as leaves get it.
        identifying: headers that say where it goes and who sends it.
    """
    found = dict(request.headers)
    headers = (found.get(name, b"") for name in identifying)
    method, target = request.method.encode(), request.target.encode("latin-1")
    return make_fingerprint(method, target, *headers, request.body)
