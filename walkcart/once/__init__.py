"""Requests that must run at most once: claims on idempotency keys."""

from walkcart.once.claimant import Claimant, Grant
from walkcart.once.keys import BadKey, IdempotencyKey, parse_key
from walkcart.once.owner import BucketOwners
from walkcart.once.records import BUCKETS, Bucket, Claim, ClaimOutcome

__all__ = [
    "BUCKETS",
    "BadKey",
    "Bucket",
    "BucketOwners",
    "Claim",
    "ClaimOutcome",
    "Claimant",
    "Grant",
    "IdempotencyKey",
    "parse_key",
]
