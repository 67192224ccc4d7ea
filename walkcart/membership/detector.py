"""Failure detection by pings to a bounded number of peers, as in SWIM.

Each round an instance pings one other instance, in a shuffled order that covers all of
them. If there is no answer, it asks a few others to ping the target too. If these get
no answer either, the target is suspected, and it is declared dead unless it refutes
that in time. The cost for one instance doesn't grow with the size of the fleet. Urgent
news (states, marks of leaves, a revision) is also pushed to a few peers at once.

References:
    Das, Gupta, Motivala: SWIM, 2002.

See Also:
    ``docs/design/membership.md``.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.taskerrors import log_task_error
from walkcart.membership.gossip import GossipQueue
from walkcart.membership.links import PeerLinks
from walkcart.membership.marks import LeafMarks
from walkcart.membership.view import MembershipView, MemberState, rank_record
from walkcart.wire.messages import Ack, Gossip, MemberRecord, Message, Ping, PingRequest

#: Instances that are asked to ping a target that didn't answer.
INDIRECT_PINGS = 2
#: Instances that urgent news is pushed to.
PUSH_PEERS = 3
#: Part of a round to wait for an answer before other instances are asked to ping.
DIRECT_PING_FRACTION = 0.5
#: Rounds from the suspicion of an instance until it is declared dead.
SUSPICION_ROUNDS = 2.0
#: A dead instance is pinged in one of this many rounds, so that the fleet recovers from
#: a network partition.
DEAD_PING_ROUNDS = 4


@dataclass(slots=True)
class _Probe:
    """A ping that has not been answered yet."""

    target: str
    answered: trio.Event


class Detector:
    """Pings peers, updates the view and spreads news.

    Args:
        view: the view of all instances.
        marks: the leaves that are leaving.
        gossip: the news to spread.
        links: links to the peers.
        clock: source of time.
        random: source of randomness for targets and jitter.
        events: log of changes.
        metrics: counts live instances.
        interval: the length of a round.
    """

    def __init__(
        self,
        view: MembershipView,
        marks: LeafMarks,
        gossip: GossipQueue,
        links: PeerLinks,
        clock: Clock,
        random: Random,
        events: EventLog,
        metrics: Metrics,
        interval: timedelta,
    ) -> None:
        self._view = view
        self._marks = marks
        self._gossip = gossip
        self._links = links
        self._clock = clock
        self._random = random
        self._events = events
        self._metrics = metrics
        self._interval = interval.total_seconds()
        self._last_number = 0
        self._probes: dict[int, _Probe] = {}
        #: For each ping sent on request of another instance, by its number: the name of
        #: that instance and the number of its own ping.
        self._indirect_pings: dict[int, tuple[str, int]] = {}
        self._order: list[str] = []
        self._round = 0
        self._nursery: trio.Nursery | None = None
        self._urgent = trio.Event()
        links.on(Ping, self._on_ping)
        links.on(Ack, self._on_ack)
        links.on(PingRequest, self._on_ping_request)
        links.on(Gossip, self._on_gossip)
        view.on_change(self._on_member_change)
        marks.on_change(self._on_mark_change)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Ping a peer each round until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._nursery.start_soon(self._push_news)
            task_status.started()
            while True:
                await trio.sleep(self._interval * self._random.uniform(0.9, 1.1))
                self._round += 1
                target = self._choose_target()
                if target is not None:
                    self._nursery.start_soon(self._probe, target)

    def push_soon(self) -> None:
        """Push news to a few peers without waiting for the next round."""
        self._urgent.set()

    def _choose_target(self) -> str | None:
        if self._round % DEAD_PING_ROUNDS == 0:
            dead = self._list_dead_but_listed()
            if dead:
                return self._random.choice(dead)
        while True:
            if not self._order:
                self._order = self._list_not_dead()
                self._random.shuffle(self._order)
                if not self._order:
                    return None
            name = self._order.pop()
            record = self._view.find(name)
            if record is not None and record.state != MemberState.DEAD:
                return name

    def _list_not_dead(self) -> list[str]:
        return [
            record.name
            for record in self._view.records()
            if record.state != MemberState.DEAD and record.name != self._view.own.name
        ]

    def _list_dead_but_listed(self) -> list[str]:
        return [
            record.name
            for record in self._view.records()
            if record.state == MemberState.DEAD and self._view.is_listed(record.name)
        ]

    async def _probe(self, target: str) -> None:
        """Ping `target` directly and indirectly; suspect it if there is no answer."""
        number = self._next_number()
        probe = _Probe(target, trio.Event())
        self._probes[number] = probe
        try:
            if await self._ping_and_wait(probe, number):
                return
            await self._suspect(target)
        except Exception as error:
            log_task_error(self._events, f"probe of {target}", error)
        finally:
            self._probes.pop(number, None)

    async def _ping_and_wait(self, probe: _Probe, number: int) -> bool:
        """Ping the target directly, then through others; return whether it answered."""
        target = probe.target
        try:
            self._links.send(target, Ping(number, self._gossip.make_digest(target)))
            with trio.move_on_after(self._interval * DIRECT_PING_FRACTION):
                await probe.answered.wait()
                return True
            for helper in self._choose_peers(INDIRECT_PINGS, target):
                digest = self._gossip.make_digest()
                self._links.send(helper, PingRequest(number, target, digest))
            with trio.move_on_after(self._interval):
                await probe.answered.wait()
                return True
            return False
        finally:
            del self._probes[number]

    async def _suspect(self, target: str) -> None:
        """Suspect `target`, and declare it dead unless it refutes that in time.

        This is also done if another instance suspected it first, as that instance may
        be gone itself.
        """
        if self._view.raise_state(target, MemberState.SUSPECT):
            self.push_soon()
        suspected = self._view.find(target)
        if suspected is None or suspected.state != MemberState.SUSPECT:
            return
        await trio.sleep(self._interval * SUSPICION_ROUNDS)
        if self._view.find(target) == suspected:
            self._view.raise_state(target, MemberState.DEAD)
            self.push_soon()

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _choose_peers(self, count: int, exclude: str = "") -> list[str]:
        names = [item.name for item in self._view.usable_peers()]
        names = [name for name in names if name != exclude]
        return self._random.sample(names, min(count, len(names)))

    async def _push_news(self) -> None:
        while True:
            await self._urgent.wait()
            self._urgent = trio.Event()
            for name in self._choose_peers(PUSH_PEERS):
                self._links.send(name, Gossip(self._gossip.make_digest()))
            # Combines news that come shortly after each other into one push.
            await trio.sleep(self._interval / 20)

    def _on_ping(self, sender: str, message: Message) -> None:
        assert isinstance(message, Ping)
        self._merge_digest(message.digest)
        digest = self._gossip.make_digest()
        self._links.send(sender, Ack(message.number, self._view.own.name, digest))

    def _on_ack(self, sender: str, message: Message) -> None:
        assert isinstance(message, Ack)
        self._merge_digest(message.digest)
        probe = self._probes.get(message.number)
        if probe is not None and probe.target == message.target:
            probe.answered.set()
        asked = self._indirect_pings.pop(message.number, None)
        if asked is not None:
            name, number = asked
            digest = self._gossip.make_digest()
            self._links.send(name, Ack(number, message.target, digest))

    def _on_ping_request(self, sender: str, message: Message) -> None:
        assert isinstance(message, PingRequest)
        self._merge_digest(message.digest)
        number = self._next_number()
        self._indirect_pings[number] = (sender, message.number)
        # Pings that are never answered would accumulate; the oldest is dropped.
        if len(self._indirect_pings) > 1000:
            self._indirect_pings.pop(next(iter(self._indirect_pings)))
        digest = self._gossip.make_digest(message.target)
        self._links.send(message.target, Ping(number, digest))

    def _on_gossip(self, sender: str, message: Message) -> None:
        assert isinstance(message, Gossip)
        self._merge_digest(message.digest)

    def _merge_digest(self, digest: object) -> None:
        if self._gossip.merge_digest(digest):
            self.push_soon()

    def _on_member_change(self, old: MemberRecord | None, new: MemberRecord) -> None:
        if old is None or rank_record(old)[:3] != rank_record(new)[:3]:
            # A new revision alone isn't spread by records: for every change, the cost
            # for each instance would grow with the number of instances.
            self._gossip.add_member(new.name)
        self._metrics.gauge("member.live", len(self._view.live()))
        if old is not None and old.state == new.state:
            return
        if new.name == self._view.own.name:
            self.push_soon()
            return
        event = {
            MemberState.LIVE: Events.MEMBER_JOINED,
            MemberState.LEAVING: Events.MEMBER_LEAVING,
            MemberState.SUSPECT: Events.MEMBER_SUSPECTED,
            MemberState.DEAD: Events.MEMBER_DEAD,
        }[MemberState(new.state)]
        self._events.emit(event, member=new.name, incarnation=new.incarnation)

    def _on_mark_change(self, address: str, incarnation: int, leaving: bool) -> None:
        event = Events.LEAF_LEAVING if leaving else Events.LEAF_RESTARTED
        self._events.emit(event, leaf=address, incarnation=incarnation)
        if leaving:
            self._gossip.add_mark(address)
            self.push_soon()
