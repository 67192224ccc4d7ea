"""Headers of the platform's requests and answers."""

from __future__ import annotations

from walkcart.wire.http import Headers, find_header

#: Names one request of a caller; leafs echo it.
REQUEST_ID = b"x-request-id"
#: Milliseconds that the sender will wait for the answer.
DEADLINE_MS = b"x-deadline-ms"
#: A leaf's proof that the answer is its own; passed on unchanged.
STAMP = b"x-response-stamp"
#: The life of a leaf that a request is meant for; any other one answers 421.
EXPECTED_LEAF = b"x-expect-instance"
#: Of the leaf that answers: requests running, requests waiting, slots, and how long
#: work takes there now as a share of the usual, in percent.
LOAD = b"x-server-load"
#: Milliseconds for which the leaf that answers is cold still.
COLD_MS = b"x-warmup-ms"
#: On a refusal: the leaf has not run the request and won't.
NOT_RUN = b"x-not-executed"
#: Stamps of the replies that a merged answer holds.
PART_STAMPS = b"x-part-stamps"
#: Number of shards that a merged answer lacks.
MISSING_PARTS = b"x-missing-parts"
#: Seconds, with fractions, until asking again makes sense.
RETRY_AFTER = b"retry-after"
#: Name of the team that asks, for leafs and other instances.
TEAM = b"x-tenant"
#: Holds a caller's API key.
AUTHORIZATION = b"authorization"
#: How a caller that is refused for want of a key may show one.
CHALLENGE = b"www-authenticate"
KEEP_ALIVE = b"keep-alive"
CONTENT_ENCODING = b"content-encoding"

#: Headers that belong to one connection (RFC 9110, 7.6.1), and the framing, which
#: each connection sets itself.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def strip_hop_headers(headers: Headers, also: frozenset[bytes]) -> Headers:
    """Return the headers that go on to the next hop.

    Args:
        headers: names in small letters.
        also: further names that don't.
    """
    named = find_header(headers, b"connection") or ""
    dropped = {part.strip().lower().encode("latin-1") for part in named.split(",")}
    dropped |= _HOP_BY_HOP | also
    return tuple(item for item in headers if item[0] not in dropped)
