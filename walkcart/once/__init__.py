"""Idempotency: claims on keys, so that non-repeatable requests run at most once."""

from walkcart.once.claimant import Claimant, ClaimResult
from walkcart.once.keys import BadKey, IdempotencyKey, parse_key
from walkcart.once.owner import BucketOwners
from walkcart.once.records import BUCKET_COUNT, Bucket, Claim, ClaimOutcome

__all__ = [
    "BUCKET_COUNT",
    "BadKey",
    "Bucket",
    "BucketOwners",
    "Claim",
    "ClaimOutcome",
    "ClaimResult",
    "Claimant",
    "IdempotencyKey",
    "parse_key",
]
