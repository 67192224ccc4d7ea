"""Checks that waiting watches of the shared store still report changes.

The reply to a watch may be lost while its connection stays open and all other calls are
served. The instance then misses every change until the watch would have ended. Two
things bound that time:

* An instance whose watch was answered tells the others that watch which change is the
  latest. One that lacks the change reads it.
* A copy that neither a reply nor another instance has confirmed for a while is checked
  by a call of its own. In a fleet the confirmations are shared, so the number of these
  calls doesn't grow with the number of instances.

See Also:
    `walkcart.store.follower.PrefixFollower`, whose watches are checked.
    `walkcart.membership.watchers.Watchers`, which chooses the instances that watch.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from random import Random

import trio

from walkcart.kernel.clock import Clock
from walkcart.membership.links import PeerLinks
from walkcart.membership.watchers import Watchers
from walkcart.store.calls import StoreCalls, StoreUnavailable
from walkcart.store.follower import PrefixFollower
from walkcart.wire.relays import RelayCurrent, RelayedState

#: Seconds since the last confirmation after which the copies of the instances that
#: watch for others are checked. Their turns are spread over this span, so that the
#: first check confirms the copies of the others before theirs are due.
WATCHER_CHECK_TIMES = (2.0, 2.5)
#: The same for other instances that watch, as they have no feeder. They may be many;
#: each draws its time.
CHECK_TIMES = (3.5, 4.5)
#: Maximum pause in seconds, drawn at random, until a check that was due but couldn't be
#: made is tried again. After an outage of the store the first one serves the others.
MAX_RETRY_PAUSE = 0.5
#: Maximum delay in seconds, drawn at random, of telling others that a watch was
#: answered; one that hears of the same from another instance meanwhile tells nobody.
MAX_TELL_DELAY = 0.3
#: Seconds in which an own watch must bring a change that another instance tells of.
MISSED_GRACE = 0.3
#: Seconds in which a waiting watch must bring the changes that its check has shown.
WATCH_GRACE = 0.2


@dataclass(frozen=True, slots=True)
class ToldState:
    """What another instance told of its copy of a prefix.

    Args:
        latest_change: revision of the latest change.
        confirmed_at: time at which a reply showed that the copy was complete, in
            seconds; minus infinity if none did.
    """

    latest_change: int
    confirmed_at: float


class WatchChecks:
    """Keeps the copies of watched prefixes confirmed.

    Args:
        followers: the copies.
        calls: tells whether the store serves this instance.
        links: links to the other instances.
        watchers: lists the instances that watch.
        is_watching: returns whether this instance watches for others.
        clock: source of time.
        random: source of delays.
    """

    def __init__(
        self,
        followers: Iterable[PrefixFollower],
        calls: StoreCalls,
        links: PeerLinks,
        watchers: Watchers,
        is_watching: Callable[[], bool],
        clock: Clock,
        random: Random,
    ) -> None:
        self._followers = {follower.prefix: follower for follower in followers}
        self._calls = calls
        self._links = links
        self._watchers = watchers
        self._is_watching = is_watching
        self._clock = clock
        self._random = random
        self._told: dict[str, ToldState] = {}
        #: Prefixes of which a message is due, and those of which a change is missing.
        self._telling: set[str] = set()
        self._missing: set[str] = set()
        self._nursery: trio.Nursery | None = None
        for follower in self._followers.values():
            follower.on_confirmed = self._tell_soon

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Check the copies when they are due, until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                task_status.started()
                for follower in self._followers.values():
                    self._nursery.start_soon(self._check_repeatedly, follower)
        finally:
            self._nursery = None

    def record_states(self, message: RelayCurrent, delay: float) -> None:
        """Record what another instance that watches told of its copies.

        Args:
            message: what it told.
            delay: age of the message in seconds; infinite if unknown.
        """
        now = self._clock.monotonic()
        for prefix, state in message.states.items():
            follower = self._followers.get(prefix)
            if follower is None:
                continue
            age = state.current_age + delay if message.confirmed else float("inf")
            told = ToldState(state.latest_change, now - age)
            self._told[prefix] = told
            if follower.record_told(told.latest_change, told.confirmed_at):
                continue
            if prefix not in self._missing and self._start(
                self._check_missing, follower
            ):
                self._missing.add(prefix)

    async def _check_repeatedly(self, follower: PrefixFollower) -> None:
        checked_at = self._clock.monotonic()
        while True:
            drawn = self._random.uniform(*CHECK_TIMES)
            while True:
                due_at = self._find_due_time(follower, checked_at, drawn)
                left = due_at - self._clock.monotonic()
                if left <= 0:
                    break
                await trio.sleep(min(left, WATCHER_CHECK_TIMES[0]))
            started_at = self._clock.monotonic()
            if await self._check(follower):
                checked_at = started_at
            else:
                await self._calls.wait_reachable()
                await trio.sleep(self._random.uniform(0, MAX_RETRY_PAUSE))

    def _find_due_time(
        self, follower: PrefixFollower, checked_at: float, drawn: float
    ) -> float:
        """Return when the next check of a copy is due.

        Others rely on a watcher, so for it a feeder's word doesn't count: the feeder's
        watch may have lost its reply as well.

        Args:
            follower: the copy.
            checked_at: time of the last check.
            drawn: pause of an instance that doesn't watch for others, in seconds.
        """
        if not self._is_watching():
            return max(follower.complete_at, checked_at) + drawn
        least, most = WATCHER_CHECK_TIMES
        turn = self._watchers.find_turn(follower.prefix)
        pause = least + (most - least) * turn
        return max(follower.confirmed_at, checked_at) + pause

    async def _check_missing(self, follower: PrefixFollower) -> None:
        await trio.sleep(MISSED_GRACE)
        self._missing.discard(follower.prefix)
        if follower.lacks_told_change:
            await self._check(follower)

    async def _check(self, follower: PrefixFollower) -> bool:
        """Check a copy whose watch is waiting, and tell others of the result.

        Returns:
            Whether the store replied.
        """
        if not follower.is_waiting or not self._calls.reachable:
            return False
        try:
            check = await follower.check_watch()
        except StoreUnavailable:
            # `StoreCalls` logs the first failure of a series.
            return False
        if check.is_complete:
            self._tell(follower)
        if check.missed:
            await trio.sleep(WATCH_GRACE)
            follower.restart_silent_watch(check)
        return True

    def _tell_soon(self, follower: PrefixFollower) -> None:
        prefix = follower.prefix
        if prefix not in self._telling and self._start(self._tell_later, follower):
            self._telling.add(prefix)

    def _start(
        self,
        task: Callable[[PrefixFollower], Awaitable[None]],
        follower: PrefixFollower,
    ) -> bool:
        """Start a task for a copy; return False while the instance starts or stops."""
        if self._nursery is None:
            return False
        try:
            self._nursery.start_soon(task, follower)
        except RuntimeError:
            # The nursery has just closed, because the instance stops.
            return False
        return True

    async def _tell_later(self, follower: PrefixFollower) -> None:
        """Tell others of a copy unless another instance has just told the same."""
        await trio.sleep(self._random.uniform(0, MAX_TELL_DELAY))
        self._telling.discard(follower.prefix)
        told = self._told.get(follower.prefix)
        if told is not None:
            is_known = told.latest_change >= follower.latest_change
            if is_known and told.confirmed_at >= follower.confirmed_at - MAX_TELL_DELAY:
                return
        self._tell(follower)

    def _tell(self, follower: PrefixFollower) -> None:
        if not self._is_watching():
            return
        age = self._clock.monotonic() - follower.confirmed_at
        state = RelayedState(follower.latest_change, follower.revision, age)
        message = RelayCurrent({follower.prefix: state}, confirmed=True)
        for name in self._watchers.list_others():
            self._links.send(name, message)
