"""Fingerprints, by which repeated requests are recognised.

Request ids don't serve for this, since a caller gives each try a new one. What a
request does to a leaf depends on its content and its sender.

Examples:
    >>> one = HttpRequest("GET", "/x", ((b"host", b"shop"), (b"x-id", b"1")))
    >>> two = HttpRequest("GET", "/x", ((b"host", b"shop"), (b"x-id", b"2")))
    >>> fingerprint_request(one) == fingerprint_request(two)
    True
"""

from __future__ import annotations

from hashlib import blake2b

from walkcart.wire.http import HttpRequest

#: Length of a fingerprint in bytes: the probability that any two of a billion requests
#: share one by chance is below 1e-10.
FINGERPRINT_BYTES = 12
#: Headers that identify the destination and the sender of a request. Others may differ
#: between two tries of the same request.
IDENTIFYING_HEADERS = (b"host", b"authorization")
_LENGTH_BYTES = 4


def make_fingerprint(*parts: bytes) -> bytes:
    """Return the fingerprint of a sequence of parts; their order matters."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()


def fingerprint_request(
    request: HttpRequest, identifying: tuple[bytes, ...] = IDENTIFYING_HEADERS
) -> bytes:
    """Return the fingerprint of a request: method, target, host, sender and body.

    Args:
        request: the request as leaves receive it.
        identifying: names of the headers that identify its destination and sender.
    """
    found = dict(request.headers)
    headers = (found.get(name, b"") for name in identifying)
    method, target = request.method.encode(), request.target.encode("latin-1")
    return make_fingerprint(method, target, *headers, request.body)
