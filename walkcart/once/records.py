"""What the store holds of claims, and what becomes of it.

A bucket is one value: the claims made of late, and references to segments,
which hold earlier ones and never change. Every decision is a compare-and-swap
on the bucket, so it is exact whoever makes it; segments can be kept in memory.
A key's time of issue tells which segments could hold it.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from walkcart.store.packing import BadValue, pack_value, unpack_value

#: Buckets that keys are divided into. All instances must agree on it; it can't
#: be changed while keys are in use.
BUCKETS = 2
BUCKET_KEY = "walkcart/claims/{bucket}"
SEGMENT_KEY = "walkcart/claims/{bucket}/{token}"
#: Packed size of a bucket's claims past which they move into a segment.
SEGMENT_SIZE = 64 << 10
#: Longest reply body that is kept for a repeat, in bytes.
KEPT_BODY = 1024
#: Status of a kept reply whose body was too long to be kept.
BODY_TOO_LONG = b'{"detail":"the reply was too long to be kept"}'
UNPACKED_LIMIT = 8 << 20
#: Buckets are written often: speed goes before size.
_COMPRESSION = 1


class ClaimOutcome(Enum):
    """How asking for a claim ended."""

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
        token: of the claimant.
        issued: time of day in the key, in seconds since 1970.
        status: HTTP status of the kept reply; 0 while none is known.
        body: of the kept reply.
    """

    key: bytes
    request: bytes
    token: str
    issued: float
    status: int = 0
    body: bytes = b""


class SegmentRef(msgspec.Struct, frozen=True, array_like=True):
    """A segment: its key in the store and the times of issue of its claims."""

    key: str
    oldest: float
    newest: float


class Bucket(msgspec.Struct, frozen=True, array_like=True):
    """A bucket's value: the claims of late and the earlier segments."""

    claims: tuple[Claim, ...] = ()
    segments: tuple[SegmentRef, ...] = ()


class BucketError(ValueError):
    """Bytes that are no bucket or segment."""


def pack_bucket(bucket: Bucket) -> bytes:
    """Return the stored bytes of a bucket."""
    return pack_value(bucket, _COMPRESSION)


def unpack_bucket(data: bytes) -> Bucket:
    """Return the bucket in stored bytes.

    Raises:
        BucketError: they are not one.
    """
    try:
        return unpack_value(data, Bucket, UNPACKED_LIMIT)
    except BadValue as error:
        raise BucketError(str(error)) from None


def bucket_of(key: bytes) -> int:
    """Return the number of a key's bucket."""
    return key[0] % BUCKETS


def drop_expired(bucket: Bucket, limit: float) -> Bucket:
    """Return `bucket` without what was issued before `limit`."""
    claims = tuple(claim for claim in bucket.claims if claim.issued >= limit)
    segments = tuple(item for item in bucket.segments if item.newest >= limit)
    return Bucket(claims, segments)


def segments_for(bucket: Bucket, issued: float) -> tuple[SegmentRef, ...]:
    """Return the segments that could hold a key issued at `issued`, newest first."""
    found = [item for item in bucket.segments if item.oldest <= issued <= item.newest]
    return tuple(reversed(found))


def describe_segment(key: str, claims: tuple[Claim, ...]) -> SegmentRef:
    """Return the reference of a segment that holds `claims`."""
    times = [claim.issued for claim in claims]
    return SegmentRef(key, min(times), max(times))


def judge_claim(existing: Claim | None, request: bytes, token: str) -> ClaimOutcome:
    """Return what becomes of asking for a key that `existing` has claimed."""
    if existing is None or existing.token == token:
        return ClaimOutcome.GRANTED
    if existing.request != request:
        return ClaimOutcome.REUSED
    return ClaimOutcome.REPEATED if existing.status else ClaimOutcome.IN_PROGRESS


def cut_body(body: bytes) -> bytes:
    """Return the body that is kept for a repeat."""
    return body if len(body) <= KEPT_BODY else BODY_TOO_LONG
