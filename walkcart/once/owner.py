"""Group commit of claims: one write for all that gathers for a bucket.

Each bucket has an owner among the instances, by rendezvous hash. Ownership is
only a hint that brings claims together: the compare-and-swap on the bucket
decides, so two owners, or one that was paused, can't both grant a key.
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
from walkcart.once.keys import KEEP_TIME
from walkcart.once.planning import Answer, Ask, Operation, Plan, Planner, make_answer
from walkcart.once.records import (
    BUCKET_KEY,
    BUCKETS,
    SEGMENT_KEY,
    SEGMENT_SIZE,
    Bucket,
    BucketError,
    Claim,
    ClaimOutcome,
    SegmentRef,
    describe_segment,
    drop_expired,
    pack_bucket,
    segments_for,
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

#: Least time between two writes of a bucket, in seconds: what gathers meanwhile
#: goes together. After a quiet time the first claim is written at once.
WRITE_INTERVAL = 0.05
#: A batch of so many operations doesn't wait for the interval.
FULL_BATCH = 64
#: Replies to keep are no hurry: without claims they wait this long for a write.
SETTLE_TIME = 0.25
FIRST_BACKOFF = timedelta(milliseconds=20)
LONGEST_BACKOFF = timedelta(seconds=1)
QUEUE_LIMIT = 5000


@dataclass(frozen=True, slots=True)
class OwnerTools:
    """What every bucket's owner uses."""

    store: StoreClient
    clock: Clock
    random: Random
    events: EventLog
    metrics: Metrics


class BucketOwners:
    """Decides claims for the buckets that are brought to this instance.

    Args:
        tools: what every bucket's owner uses.
    """

    def __init__(self, tools: OwnerTools) -> None:
        self._owners = [BucketOwner(number, tools) for number in range(BUCKETS)]

    def ask(self, message: ClaimAsk, answer: Answer) -> None:
        """Decide a claim; `answer` is told the outcome."""
        if 0 <= message.bucket < BUCKETS:
            self._owners[message.bucket].ask(message, answer)

    def settle(self, message: ClaimSettle) -> None:
        """Keep the reply of a granted claim."""
        if 0 <= message.bucket < BUCKETS:
            self._owners[message.bucket].note(message)

    def withdraw(self, message: ClaimWithdraw) -> None:
        """Remove a claim whose request was not sent."""
        if 0 <= message.bucket < BUCKETS:
            self._owners[message.bucket].note(message)

    async def settled(self) -> None:
        """Wait until nothing is left to write."""
        for owner in self._owners:
            await owner.settled()

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Write batches until cancelled."""
        async with trio.open_nursery() as nursery:
            for owner in self._owners:
                nursery.start_soon(owner.run)
            task_status.started()


class BucketOwner:
    """Decides claims of one bucket.

    Args:
        number: of the bucket.
        tools: what every bucket's owner uses.
    """

    def __init__(self, number: int, tools: OwnerTools) -> None:
        self._number = number
        self._key = BUCKET_KEY.format(bucket=number)
        self._tools = tools
        self._backoff = Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, tools.random)
        self._queue: deque[Operation] = deque()
        self._wakeup = trio.Event()
        self._quiet = trio.Event()
        self._quiet.set()
        self._bucket: Bucket | None = None
        self._revision = 0
        self._segments: dict[str, dict[bytes, Claim]] = {}
        self._written_at = float("-inf")
        # Tokens of claims that may be in the store though their askers were told
        # that they are not granted; removed by the next write.
        self._given_up: dict[str, bytes] = {}
        self._uncertain = False

    def ask(self, message: ClaimAsk, answer: Answer) -> None:
        """Decide a claim."""
        if len(self._queue) >= QUEUE_LIMIT:
            answer(make_answer(message, ClaimOutcome.UNAVAILABLE))
            return
        until = self._tools.clock.monotonic() + message.remaining
        self._put(Ask(message, until, answer))

    def note(self, message: ClaimSettle | ClaimWithdraw) -> None:
        """Take a reply to keep, or a claim to remove."""
        self._put(message)

    async def settled(self) -> None:
        """Wait until nothing is left to write."""
        await self._quiet.wait()

    def _put(self, operation: Operation) -> None:
        self._queue.append(operation)
        self._quiet = trio.Event() if self._quiet.is_set() else self._quiet
        self._wakeup.set()

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            if not self._queue and not self._given_up:
                self._quiet.set()
                self._wakeup = trio.Event()
                await self._wakeup.wait()
            await self._gather()
            batch = list(self._queue)
            self._queue.clear()
            await self._commit(batch)

    async def _gather(self) -> None:
        """Wait while more may come, but not past the interval."""
        due = self._written_at + WRITE_INTERVAL
        while len(self._queue) < FULL_BATCH:
            if not any(isinstance(item, Ask) for item in self._queue):
                due = max(due, self._written_at + SETTLE_TIME)
            else:
                due = self._written_at + WRITE_INTERVAL
            if self._tools.clock.monotonic() >= due:
                return
            self._wakeup = trio.Event()
            with trio.move_on_at(due):
                await self._wakeup.wait()

    async def _commit(self, batch: list[Operation]) -> None:
        """Bring one batch into the store, however many tries it takes."""
        while True:
            batch = self._expire(batch)
            if not batch and not self._given_up:
                return
            try:
                await self._load(batch)
                plan = self._plan(batch)
                if not plan.changed:
                    self._finish(plan)
                    return
                if await self._write(plan):
                    self._finish(plan)
                    return
            except StoreUnavailable as error:
                self._note_failure(error, batch)
                await self._tools.clock.sleep(self._backoff.next_delay())
            except BucketError as error:
                self._tools.events.emit(
                    Events.BUCKET_BAD, bucket=self._number, detail=str(error)
                )
                self._bucket = None
                self._refuse(batch)
                await self._tools.clock.sleep(self._backoff.next_delay())
                return

    def _expire(self, batch: list[Operation]) -> list[Operation]:
        """Answer the asks whose time has passed; they are given up."""
        now = self._tools.clock.monotonic()
        kept: list[Operation] = []
        for item in batch:
            if isinstance(item, Ask) and item.until <= now:
                self._give_up(item)
            else:
                kept.append(item)
        return kept

    def _give_up(self, ask: Ask) -> None:
        if self._uncertain:
            self._given_up[ask.message.token] = ask.message.key
        self._tools.metrics.count("claim.refused")
        ask.answer(make_answer(ask.message, ClaimOutcome.UNAVAILABLE))

    def _refuse(self, batch: list[Operation]) -> None:
        for item in batch:
            if isinstance(item, Ask):
                self._give_up(item)

    def _note_failure(self, error: StoreUnavailable, batch: list[Operation]) -> None:
        if error.uncertain and not self._uncertain:
            self._tools.events.emit(
                Events.CLAIM_UNSETTLED, bucket=self._number, operations=len(batch)
            )
        self._uncertain = self._uncertain or error.uncertain
        # What is held may be behind the store now.
        self._bucket = None

    async def _load(self, batch: list[Operation]) -> None:
        """Read the bucket, and the segments that the batch's keys could be in."""
        if self._bucket is None:
            self._take_entry(await self._tools.store.get(self._key))
        assert self._bucket is not None
        for item in batch:
            if isinstance(item, Ask):
                for reference in segments_for(self._bucket, item.message.issued):
                    await self._load_segment(reference)

    def _take_entry(self, entry: Entry | None) -> None:
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
        """Work out what the batch makes of the bucket."""
        assert self._bucket is not None
        planner = Planner(self._bucket, self._segments, self._tools.clock.now())
        return planner.plan(batch, self._given_up, self._uncertain)

    async def _write(self, plan: Plan) -> bool:
        """Write the plan; False when the bucket was changed by another."""
        assert self._bucket is not None
        limit = self._tools.clock.now() - KEEP_TIME
        bucket = Bucket(tuple(plan.claims.values()), self._bucket.segments)
        bucket = drop_expired(bucket, limit.timestamp())
        data = pack_bucket(bucket)
        if len(data) > SEGMENT_SIZE:
            bucket = await self._seal(bucket)
            data = pack_bucket(bucket)
        self._written_at = self._tools.clock.monotonic()
        self._tools.metrics.count("claim.writes")
        match await self._tools.store.put(self._key, data, self._revision):
            case Written(revision):
                self._note_written(bucket, revision)
                return True
            case Conflict(present):
                self._take_entry(present)
                return False

    def _note_written(self, bucket: Bucket, revision: int) -> None:
        if self._given_up:
            self._tools.events.emit(
                Events.CLAIM_WITHDRAWN, bucket=self._number, claims=len(self._given_up)
            )
        self._bucket, self._revision = bucket, revision
        self._given_up.clear()
        self._uncertain = False
        self._backoff.reset()
        kept = {reference.key for reference in bucket.segments}
        for key in [key for key in self._segments if key not in kept]:
            del self._segments[key]

    async def _seal(self, bucket: Bucket) -> Bucket:
        """Move the claims into a segment of their own.

        The segment is written under a fresh key before the bucket refers to it;
        if the bucket's write then fails, the segment is an orphan that nobody
        refers to, and the claims are still in the bucket.
        """
        token = f"{self._tools.random.getrandbits(64):016x}"
        key = SEGMENT_KEY.format(bucket=self._number, token=token)
        data = pack_bucket(Bucket(bucket.claims))
        if not isinstance(await self._tools.store.put(key, data, 0), Written):
            raise StoreUnavailable(False, f"segment {key} exists")
        self._segments[key] = {claim.key: claim for claim in bucket.claims}
        reference = describe_segment(key, bucket.claims)
        return Bucket((), (*bucket.segments, reference))

    def _finish(self, plan: Plan) -> None:
        """Tell the outcomes; called only once what they rest on is written."""
        if not plan.changed:
            self._given_up.clear()
        for ask, answer in plan.answers:
            granted = answer.outcome == ClaimOutcome.GRANTED.value
            self._tools.metrics.count("claim.granted" if granted else "claim.refused")
            ask.answer(answer)
