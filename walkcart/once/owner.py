"""Group commit of claims: one write to the store for each batch of a bucket.

Each bucket has an owner among the instances, by rendezvous hashing. Ownership only
serves to collect claims in batches. The compare-and-swap on the bucket decides, so two
owners, or an owner that was paused, can't both grant a key.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from random import Random

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.once.keys import CLAIM_RETENTION
from walkcart.once.planning import (
    AnswerCallback,
    ClaimRequest,
    Operation,
    Plan,
    Planner,
    make_answer,
)
from walkcart.once.records import (
    BUCKET_COUNT,
    BUCKET_KEY,
    MAX_BUCKET_SIZE,
    SEGMENT_KEY,
    Bucket,
    BucketError,
    Claim,
    ClaimOutcome,
    SegmentRef,
    drop_expired,
    find_segments,
    make_segment_ref,
    pack_bucket,
    unpack_bucket,
)
from walkcart.store.backoff import Backoff
from walkcart.store.calls import StoreUnavailable
from walkcart.store.client import (
    Conflict,
    Entry,
    StoreClient,
    Written,
)
from walkcart.wire.messages import ClaimAsk, ClaimSettle, ClaimWithdraw

#: Shortest time between two writes of a bucket, in seconds. Operations that arrive
#: meanwhile are written together; after a longer pause the first is written at once.
MIN_WRITE_INTERVAL = 0.05
#: A batch with this many operations doesn't wait for the interval.
FULL_BATCH_SIZE = 64
#: Shortest time between two writes if a batch asks for no claim, in seconds: storing
#: replies and removing claims isn't urgent.
SETTLE_DELAY = 0.25
MIN_BACKOFF = timedelta(milliseconds=20)
MAX_BACKOFF = timedelta(seconds=1)
#: Operations that may wait for a bucket; further claims are refused.
MAX_QUEUE_LENGTH = 5000


@dataclass(frozen=True, slots=True)
class OwnerTools:
    """Dependencies that the owners of all buckets share."""

    store: StoreClient
    clock: Clock
    random: Random
    events: EventLog
    metrics: Metrics


class BucketOwners:
    """Decides the claims that are sent to this instance, for all buckets.

    Args:
        tools: dependencies that the owners of all buckets share.
    """

    def __init__(self, tools: OwnerTools) -> None:
        self._owners = [BucketOwner(number, tools) for number in range(BUCKET_COUNT)]

    def ask(self, message: ClaimAsk, answer: AnswerCallback) -> None:
        """Decide a claim, and call `answer` with the outcome."""
        if 0 <= message.bucket < BUCKET_COUNT:
            self._owners[message.bucket].ask(message, answer)

    def settle(self, message: ClaimSettle) -> None:
        """Store the reply to the request of a granted claim."""
        if 0 <= message.bucket < BUCKET_COUNT:
            self._owners[message.bucket].enqueue(message)

    def withdraw(self, message: ClaimWithdraw) -> None:
        """Remove a claim whose request was not sent."""
        if 0 <= message.bucket < BUCKET_COUNT:
            self._owners[message.bucket].enqueue(message)

    async def wait_until_idle(self) -> None:
        """Wait until no operation is waiting to be written."""
        for owner in self._owners:
            await owner.wait_until_idle()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Write batches until cancelled."""
        async with trio.open_nursery() as nursery:
            for owner in self._owners:
                nursery.start_soon(owner.run)
            task_status.started()


class BucketOwner:
    """Decides claims of one bucket.

    Args:
        number: number of the bucket.
        tools: dependencies that the owners of all buckets share.
    """

    def __init__(self, number: int, tools: OwnerTools) -> None:
        self._number = number
        self._key = BUCKET_KEY.format(bucket=number)
        self._tools = tools
        self._backoff = Backoff(MIN_BACKOFF, MAX_BACKOFF, tools.random)
        self._queue: deque[Operation] = deque()
        self._wakeup = trio.Event()
        self._idle = trio.Event()
        self._idle.set()
        self._bucket: Bucket | None = None
        self._revision = 0
        self._segments: dict[str, dict[bytes, Claim]] = {}
        self._written_at = float("-inf")
        # Keys by token of claims that may be in the store though the answer was that
        # they aren't granted. The next write removes them.
        self._abandoned: dict[str, bytes] = {}
        # Whether an earlier write failed and may still take effect.
        self._uncertain = False

    def ask(self, message: ClaimAsk, answer: AnswerCallback) -> None:
        """Decide a claim, and call `answer` with the outcome."""
        if len(self._queue) >= MAX_QUEUE_LENGTH:
            answer(make_answer(message, ClaimOutcome.UNAVAILABLE))
            return
        until = self._tools.clock.monotonic() + message.remaining
        self._add_operation(ClaimRequest(message, until, answer))

    def enqueue(self, message: ClaimSettle | ClaimWithdraw) -> None:
        """Queue a reply to store, or a claim to remove."""
        self._add_operation(message)

    async def wait_until_idle(self) -> None:
        """Wait until no operation is waiting to be written."""
        await self._idle.wait()

    def _add_operation(self, operation: Operation) -> None:
        self._queue.append(operation)
        self._idle = trio.Event() if self._idle.is_set() else self._idle
        self._wakeup.set()

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            if not self._queue and not self._abandoned:
                self._idle.set()
                self._wakeup = trio.Event()
                await self._wakeup.wait()
            await self._wait_for_batch()
            batch = list(self._queue)
            self._queue.clear()
            await self._commit(batch)

    async def _wait_for_batch(self) -> None:
        """Wait for more operations, until the batch is full or a write is due."""
        due = self._written_at + MIN_WRITE_INTERVAL
        while len(self._queue) < FULL_BATCH_SIZE:
            if not any(isinstance(item, ClaimRequest) for item in self._queue):
                due = max(due, self._written_at + SETTLE_DELAY)
            else:
                due = self._written_at + MIN_WRITE_INTERVAL
            if self._tools.clock.monotonic() >= due:
                return
            self._wakeup = trio.Event()
            with trio.move_on_at(due):
                await self._wakeup.wait()

    async def _commit(self, batch: list[Operation]) -> None:
        """Write one batch to the store, with as many attempts as it takes."""
        while True:
            batch = self._expire(batch)
            if not batch and not self._abandoned:
                return
            try:
                await self._load(batch)
                plan = self._plan(batch)
                if not plan.changed:
                    self._answer_asks(plan)
                    return
                if await self._write(plan):
                    self._answer_asks(plan)
                    return
            except StoreUnavailable as error:
                self._handle_failure(error, batch)
                await self._tools.clock.sleep(self._backoff.next_delay())
            except BucketError as error:
                self._tools.events.emit(
                    Events.BUCKET_BAD, bucket=self._number, detail=str(error)
                )
                self._bucket = None
                self._refuse_asks(batch)
                await self._tools.clock.sleep(self._backoff.next_delay())
                return

    def _expire(self, batch: list[Operation]) -> list[Operation]:
        """Abandon the claims whose time has passed; return the other operations."""
        now = self._tools.clock.monotonic()
        kept: list[Operation] = []
        for item in batch:
            if isinstance(item, ClaimRequest) and item.until <= now:
                self._abandon(item)
            else:
                kept.append(item)
        return kept

    def _abandon(self, ask: ClaimRequest) -> None:
        if self._uncertain:
            self._abandoned[ask.message.token] = ask.message.key
        self._tools.metrics.count("claim.refused")
        ask.answer(make_answer(ask.message, ClaimOutcome.UNAVAILABLE))

    def _refuse_asks(self, batch: list[Operation]) -> None:
        for item in batch:
            if isinstance(item, ClaimRequest):
                self._abandon(item)

    def _handle_failure(self, error: StoreUnavailable, batch: list[Operation]) -> None:
        if error.uncertain and not self._uncertain:
            self._tools.events.emit(
                Events.CLAIM_UNSETTLED, bucket=self._number, operations=len(batch)
            )
        self._uncertain = self._uncertain or error.uncertain
        # The bucket in memory may be older than the one in the store now.
        self._bucket = None

    async def _load(self, batch: list[Operation]) -> None:
        """Read the bucket, and the segments that could contain the batch's keys."""
        if self._bucket is None:
            self._load_entry(await self._tools.store.get(self._key))
        assert self._bucket is not None
        for item in batch:
            if isinstance(item, ClaimRequest):
                for reference in find_segments(self._bucket, item.message.issued):
                    await self._load_segment(reference)

    def _load_entry(self, entry: Entry | None) -> None:
        self._bucket = Bucket() if entry is None else unpack_bucket(entry.value)
        self._revision = 0 if entry is None else entry.revision

    async def _load_segment(self, reference: SegmentRef) -> None:
        if reference.key in self._segments:
            return
        entry = await self._tools.store.get(reference.key)
        if entry is None:
            raise BucketError(f"segment {reference.key} is missing")
        claims = unpack_bucket(entry.value).claims
        self._segments[reference.key] = {claim.key: claim for claim in claims}

    def _plan(self, batch: list[Operation]) -> Plan:
        """Return the write that applies the batch to the bucket."""
        assert self._bucket is not None
        planner = Planner(self._bucket, self._segments, self._tools.clock.now())
        return planner.plan(batch, self._abandoned, self._uncertain)

    async def _write(self, plan: Plan) -> bool:
        """Write a plan; return False if another instance changed the bucket."""
        assert self._bucket is not None
        limit = self._tools.clock.now() - CLAIM_RETENTION
        bucket = Bucket(tuple(plan.claims.values()), self._bucket.segments)
        bucket = drop_expired(bucket, limit.timestamp())
        data = pack_bucket(bucket)
        if len(data) > MAX_BUCKET_SIZE:
            bucket = await self._move_to_segment(bucket)
            data = pack_bucket(bucket)
        self._written_at = self._tools.clock.monotonic()
        self._tools.metrics.count("claim.writes")
        match await self._tools.store.put(self._key, data, self._revision):
            case Written(revision):
                self._handle_written(bucket, revision)
                return True
            case Conflict(present):
                self._load_entry(present)
                return False

    def _handle_written(self, bucket: Bucket, revision: int) -> None:
        if self._abandoned:
            self._tools.events.emit(
                Events.CLAIM_WITHDRAWN, bucket=self._number, claims=len(self._abandoned)
            )
        self._bucket, self._revision = bucket, revision
        self._abandoned.clear()
        self._uncertain = False
        self._backoff.reset()
        kept = {reference.key for reference in bucket.segments}
        for key in [key for key in self._segments if key not in kept]:
            del self._segments[key]

    async def _move_to_segment(self, bucket: Bucket) -> Bucket:
        """Move the claims of a bucket into a new segment; return the emptied bucket.

        The segment is written under a new key before the bucket refers to it. If the
        write of the bucket then fails, nothing refers to the segment, and the claims
        are still in the bucket.
        """
        token = f"{self._tools.random.getrandbits(64):016x}"
        key = SEGMENT_KEY.format(bucket=self._number, token=token)
        data = pack_bucket(Bucket(bucket.claims))
        if not isinstance(await self._tools.store.put(key, data, 0), Written):
            raise StoreUnavailable(False, f"segment {key} exists")
        self._segments[key] = {claim.key: claim for claim in bucket.claims}
        reference = make_segment_ref(key, bucket.claims)
        return Bucket((), (*bucket.segments, reference))

    def _answer_asks(self, plan: Plan) -> None:
        """Answer the claims, after the data that the answers depend on is stored."""
        if not plan.changed:
            self._abandoned.clear()
        for ask, answer in plan.answers:
            granted = answer.outcome == ClaimOutcome.GRANTED.value
            self._tools.metrics.count("claim.granted" if granted else "claim.refused")
            ask.answer(answer)
