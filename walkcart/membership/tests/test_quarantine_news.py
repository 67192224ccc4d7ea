"""How news of requests under which leafs ended reach all instances."""

from io import StringIO

import trio

from walkcart.bench.harness import run_mocked
from walkcart.fanout.quarantinepeers import QuarantinePeers
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort
from walkcart.membership.links import PeerLinks
from walkcart.membership.quarantinegossip import QuarantineGossip
from walkcart.routing.quarantine import Quarantine, QuarantineLevel
from walkcart.standins.memory import MemoryNetwork

REQUEST = b"requestprint"
#: Seconds within which all are to know; the platform's bounds by size of the fleet.
CONTACT_TIMES = {7: 4.0, 195: 6.0}
DATA_CENTRES = ("north-a", "north-b", "south-a", "south-b", "east-a", "east-b")
GATHERERS = 3


class Member:
    """One instance, as far as its links and its quarantine go."""

    def __init__(self, number, network, fleet):
        self.name = f"instance-{number:03}"
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.number = number
        self.incarnation = 0
        self.peer_address = f"127.0.0.1:{30000 + number}"
        self.site = network.at(self.data_centre)
        self.fleet = fleet
        self.quarantine = Quarantine()
        self.sent = 0

    @property
    def own(self):
        return self

    def find(self, name):
        return self.fleet.get(name)

    def others(self):
        return tuple(item for item in self.fleet.values() if item is not self)

    def is_own(self):
        return self.number < GATHERERS * len(DATA_CENTRES)

    def all(self):
        return [item.name for item in self.others() if item.is_own()]

    async def start(self, nursery):
        clock = TrioClock()
        transport = self.site.transport()
        host, _, port = self.peer_address.partition(":")
        listener = await transport.listen(HostPort(host, int(port)))
        events = EventLog(self.name, clock, StringIO())
        self.links = PeerLinks(
            listener, transport, self, events, Metrics(None, self.name)
        )
        send = self.links.send

        def count(name, message):
            self.sent += 1
            return send(name, message)

        self.links.send = count
        peers = QuarantinePeers(self, self)
        self.spread = QuarantineGossip(
            self.quarantine,
            self.links,
            clock,
            peers.find_peers,
            peers.may_relay,
            lambda fingerprint: None,
        )
        await nursery.start(self.links.run)
        await nursery.start(self.spread.run)

    def strike(self, *numbers):
        now = trio.current_time()
        for number in numbers:
            self.quarantine.record_strike(REQUEST, number, now)
        self.spread.broadcast(REQUEST)

    def refuses(self):
        now = trio.current_time()
        standing = self.quarantine.find_level(REQUEST, now)
        return standing is QuarantineLevel.REFUSED


def play(size, act):
    async def run():
        network = MemoryNetwork(lambda a, b: 0.0005 if a == b else 0.008)
        fleet = {}
        for number in range(size):
            member = Member(number, network, fleet)
            fleet[member.name] = member
        async with trio.open_nursery() as nursery:
            for member in fleet.values():
                await member.start(nursery)
            result = await act(network, list(fleet.values()))
            nursery.cancel_scope.cancel()
        return result

    return run_mocked(run)


def test_all_know_at_once_in_a_small_and_in_a_large_fleet():
    async def act(network, members):
        members[-1].strike(1, 2, 3)
        await trio.sleep(0.2)
        return sum(item.refuses() for item in members)

    for size in CONTACT_TIMES:
        assert play(size, act) == size


def test_strikes_that_different_instances_noted_add_up():
    async def act(network, members):
        for number, member in enumerate(members[-3:]):
            member.strike(number)
            await trio.sleep(0.5)
        return sum(item.refuses() for item in members)

    for size in CONTACT_TIMES:
        assert play(size, act) == size


def test_who_was_cut_off_knows_within_the_time_after_the_cut():
    async def act(network, members):
        cut, others = DATA_CENTRES[-1], DATA_CENTRES[:-1]
        for other in others:
            network.cut(cut, other)
        members[0].strike(1, 2, 3)
        await trio.sleep(3)
        before = sum(item.refuses() for item in members)
        for other in others:
            network.heal(cut, other)
        await trio.sleep(CONTACT_TIMES[len(members)])
        return before, sum(item.refuses() for item in members)

    for size in CONTACT_TIMES:
        before, after = play(size, act)
        assert before < size
        assert after == size


def test_nothing_is_sent_while_nothing_is_remembered():
    async def act(network, members):
        await trio.sleep(30)
        return sum(item.sent for item in members)

    assert play(7, act) == 0


def test_messages_of_an_instance_do_not_grow_with_the_fleet():
    """But those of the few that gather, once for each request."""

    async def act(network, members):
        members[-1].strike(1, 2, 3)
        await trio.sleep(1)
        start = [item.sent for item in members]
        await trio.sleep(20)
        return max(
            item.sent - first for item, first in zip(members, start, strict=True)
        )

    assert play(195, act) <= play(7, act) + 1
