"""Quarantine entries, for requests that crashed leaves, reach all instances."""

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
from walkcart.routing.quarantine import (
    FIRST_REFUSAL_TIME,
    REFUSAL_TIME,
    Quarantine,
    QuarantineLevel,
)
from walkcart.standins.memory import MemoryNetwork
from walkcart.wire.quarantines import QuarantineEntry, QuarantineNews

FINGERPRINT = b"requestprint"
#: Seconds within which all instances must know; the platform's bounds by fleet size.
MAX_LEARN_TIMES = {7: 4.0, 195: 6.0}
DATA_CENTRES = ("north-a", "north-b", "south-a", "south-b", "east-a", "east-b")
GATHERERS = 3


class Member:
    """One instance with only its links and its quarantine."""

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
            self.quarantine.record_strike(FINGERPRINT, number, now)
        self.spread.broadcast(FINGERPRINT)

    def refuses(self):
        now = trio.current_time()
        standing = self.quarantine.find_level(FINGERPRINT, now)
        return standing is QuarantineLevel.REFUSED


def run_fleet(size, scenario):
    async def run():
        network = MemoryNetwork(lambda a, b: 0.0005 if a == b else 0.008)
        fleet = {}
        for number in range(size):
            member = Member(number, network, fleet)
            fleet[member.name] = member
        async with trio.open_nursery() as nursery:
            for member in fleet.values():
                await member.start(nursery)
            result = await scenario(network, list(fleet.values()))
            nursery.cancel_scope.cancel()
        return result

    return run_mocked(run)


def test_all_instances_learn_at_once_in_small_and_large_fleets():
    async def scenario(network, members):
        members[-1].strike(1, 2, 3)
        await trio.sleep(0.2)
        return sum(item.refuses() for item in members)

    for size in MAX_LEARN_TIMES:
        assert run_fleet(size, scenario) == size


def test_strikes_recorded_by_different_instances_add_up():
    async def scenario(network, members):
        for number, member in enumerate(members[-3:]):
            member.strike(number)
            await trio.sleep(0.5)
        return sum(item.refuses() for item in members)

    for size in MAX_LEARN_TIMES:
        assert run_fleet(size, scenario) == size


def test_instances_that_were_cut_off_learn_in_time():
    async def scenario(network, members):
        cut, others = DATA_CENTRES[-1], DATA_CENTRES[:-1]
        for other in others:
            network.cut(cut, other)
        members[0].strike(1, 2, 3)
        await trio.sleep(3)
        before = sum(item.refuses() for item in members)
        for other in others:
            network.heal(cut, other)
        await trio.sleep(MAX_LEARN_TIMES[len(members)])
        return before, sum(item.refuses() for item in members)

    for size in MAX_LEARN_TIMES:
        before, after = run_fleet(size, scenario)
        assert before < size
        assert after == size


def test_nothing_is_sent_without_entries():
    async def scenario(network, members):
        await trio.sleep(30)
        return sum(item.sent for item in members)

    assert run_fleet(7, scenario) == 0


def test_messages_per_instance_do_not_grow_with_the_fleet():
    """The few instances that gather relay more, but only once for each request."""

    async def scenario(network, members):
        members[-1].strike(1, 2, 3)
        await trio.sleep(1)
        start = [item.sent for item in members]
        await trio.sleep(20)
        return max(
            item.sent - first for item, first in zip(members, start, strict=True)
        )

    assert run_fleet(195, scenario) <= run_fleet(7, scenario) + 1


def test_strikes_of_older_instances_are_refused_shortly_and_those_of_newer_as_told():
    """An older instance doesn't tell when the strikes began: it may be one crash."""

    async def scenario(network, members):
        waits = []
        for began in ((), (1e9, 0.1), (1e9, 200.0)):
            sender, receiver = members[:2]
            receiver.quarantine.__init__()
            entry = QuarantineEntry(FINGERPRINT, (1, 2, 3), 0.0, *began)
            sender.links.send(receiver.name, QuarantineNews((entry,)))
            await trio.sleep(0.1)
            now = trio.current_time()
            waits.append(receiver.quarantine.find_wait(FINGERPRINT, now))
        return waits

    short, also_short, long = run_fleet(2, scenario)
    assert 0 < short <= FIRST_REFUSAL_TIME
    assert 0 < also_short <= FIRST_REFUSAL_TIME
    assert REFUSAL_TIME - 1 < long <= REFUSAL_TIME
