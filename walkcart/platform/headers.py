"""Names of the headers in the platform's requests and replies."""

from __future__ import annotations

from walkcart.wire.http import Headers, find_header

#: Identifies one request of a caller; leaves echo it.
REQUEST_ID = b"x-request-id"
#: Milliseconds for which the sender waits for the reply.
DEADLINE_MS = b"x-deadline-ms"
#: A leaf's proof that the reply is its own; forwarded unchanged.
STAMP = b"x-response-stamp"
#: Id of the leaf process that a request is meant for; any other process replies 421.
EXPECTED_LEAF = b"x-expect-instance"
#: Load of the replying leaf: running requests, waiting requests, slots, and the current
#: duration of its work in percent of the usual one.
LOAD = b"x-server-load"
#: Milliseconds for which the replying leaf is still cold (slow after its start).
COLD_MS = b"x-warmup-ms"
#: Marks a refusal: the leaf has not run the request and won't.
NOT_RUN = b"x-not-executed"
#: Stamps of the leaves' replies that a merged answer contains.
PART_STAMPS = b"x-part-stamps"
#: Number of shards missing from a merged answer.
MISSING_PARTS = b"x-missing-parts"
#: Seconds, with a fraction, after which a retry makes sense.
RETRY_AFTER = b"retry-after"
#: Name of the team that sent the request, for leaves and other instances.
TEAM = b"x-tenant"
#: Contains a caller's API key.
AUTHORIZATION = b"authorization"
#: Tells a caller that was refused for lack of a key how to send one.
CHALLENGE = b"www-authenticate"
KEEP_ALIVE = b"keep-alive"
CONTENT_ENCODING = b"content-encoding"

#: Headers that apply to one connection only (RFC 9110, 7.6.1), and the headers of
#: message framing, which the sender on each connection sets anew.
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


def strip_hop_headers(headers: Headers, others: frozenset[bytes]) -> Headers:
    """Return the headers that are forwarded to the next hop.

    Args:
        headers: headers with names in lower case.
        others: names of further headers to drop.
    """
    listed = find_header(headers, b"connection") or ""
    dropped = {part.strip().lower().encode("latin-1") for part in listed.split(",")}
    dropped |= _HOP_BY_HOP | others
    return tuple(item for item in headers if item[0] not in dropped)
