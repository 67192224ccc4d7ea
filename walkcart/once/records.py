"""Format of claims in the store, and decisions on them.

A bucket is one value: the recent claims, and references to segments, which hold earlier
claims and never change, so that they can be cached. Every decision is a
compare-and-swap on the bucket, so it is exact whichever instance makes it. The time of
issue in a key determines which segments could hold it.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from walkcart.store.packing import BadValue, pack_value, unpack_value

#: Number of buckets that keys are divided into. It must be the same at all instances
#: and can't be changed while keys are in use.
BUCKET_COUNT = 2
BUCKET_KEY = "walkcart/claims/{bucket}"
SEGMENT_KEY = "walkcart/claims/{bucket}/{token}"
#: Largest packed size of a bucket, in bytes; above it, its claims move into a segment.
MAX_BUCKET_SIZE = 64 << 10
#: Largest reply body that is kept for repeats, in bytes.
MAX_KEPT_BODY = 1024
#: Kept in place of a body that is too large.
BODY_TOO_LONG = b'{"detail":"the reply was too long to be kept"}'
#: Largest unpacked size of a bucket or segment, in bytes.
MAX_UNPACKED_SIZE = 8 << 20
#: Low, since buckets are written often: speed matters more than size.
_COMPRESSION_LEVEL = 1


class ClaimOutcome(Enum):
    """The outcome of asking for a claim."""

    GRANTED = "granted"
    REPEATED = "repeated"
    IN_PROGRESS = "in_progress"
    REUSED = "reused"
    TOO_OLD = "too_old"
    UNAVAILABLE = "unavailable"


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One claimed key.

    Args:
        key: digest of service, partner and idempotency key.
        request: digest of the request.
        token: unique token of the attempt to claim that was granted.
        issued: time of issue in the key, in seconds since 1970.
        status: HTTP status of the kept reply; 0 while no reply is known.
        body: body of the kept reply.
    """

    key: bytes
    request: bytes
    token: str
    issued: float
    status: int = 0
    body: bytes = b""


class SegmentRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference to a segment.

    Args:
        key: key of the segment in the store.
        oldest: earliest time of issue of its claims, in seconds since 1970.
        newest: latest time of issue of its claims, in seconds since 1970.
    """

    key: str
    oldest: float
    newest: float


class Bucket(msgspec.Struct, frozen=True, array_like=True):
    """Value of a bucket: recent claims, and segments of earlier ones, oldest first."""

    claims: tuple[Claim, ...] = ()
    segments: tuple[SegmentRef, ...] = ()


class BucketError(ValueError):
    """Stored bytes are not a valid bucket or segment, or a segment is missing."""


def pack_bucket(bucket: Bucket) -> bytes:
    """Return the stored bytes of a bucket."""
    return pack_value(bucket, _COMPRESSION_LEVEL)


def unpack_bucket(data: bytes) -> Bucket:
    """Return the bucket in stored bytes.

    Raises:
        BucketError: they are not valid.
    """
    try:
        return unpack_value(data, Bucket, MAX_UNPACKED_SIZE)
    except BadValue as error:
        raise BucketError(str(error)) from None


def find_bucket(key: bytes) -> int:
    """Return the number of a key's bucket."""
    return key[0] % BUCKET_COUNT


def drop_expired(bucket: Bucket, limit: float) -> Bucket:
    """Return `bucket` without claims and segments from before `limit`."""
    claims = tuple(claim for claim in bucket.claims if claim.issued >= limit)
    segments = tuple(item for item in bucket.segments if item.newest >= limit)
    return Bucket(claims, segments)


def find_segments(bucket: Bucket, issued: float) -> tuple[SegmentRef, ...]:
    """Return the segments that could hold a key issued at `issued`, newest first."""
    found = [item for item in bucket.segments if item.oldest <= issued <= item.newest]
    return tuple(reversed(found))


def make_segment_ref(key: str, claims: tuple[Claim, ...]) -> SegmentRef:
    """Return a reference to a segment that holds `claims`."""
    times = [claim.issued for claim in claims]
    return SegmentRef(key, min(times), max(times))


def decide_claim(existing: Claim | None, request: bytes, token: str) -> ClaimOutcome:
    """Return the outcome of claiming a key.

    Args:
        existing: the claim on the key so far; None if there is none.
        request: digest of the request.
        token: unique token of the attempt to claim.
    """
    if existing is None or existing.token == token:
        return ClaimOutcome.GRANTED
    if existing.request != request:
        return ClaimOutcome.REUSED
    return ClaimOutcome.REPEATED if existing.status else ClaimOutcome.IN_PROGRESS


def limit_body(body: bytes) -> bytes:
    """Return the body to keep for repeats: `body`, or a notice if it is too large."""
    return body if len(body) <= MAX_KEPT_BODY else BODY_TOO_LONG
