"""What other programs send to the port for peers costs at most itself."""

from contextlib import asynccontextmanager
from io import StringIO
from random import Random

import trio

from walkcart.bench.harness import run_mocked
from walkcart.intent.teams import RateLimit
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.membership.links import MAX_UNKNOWN_LINKS, PeerLinks
from walkcart.membership.quotaclient import QuotaClient
from walkcart.membership.quotaholders import Holder
from walkcart.routing.quotas import QuotaBounds, QuotaRequest
from walkcart.standins.memory import MemoryNetwork
from walkcart.wire.codec import encode_envelope
from walkcart.wire.delegations import Greeting
from walkcart.wire.messages import Envelope
from walkcart.wire.quotas import QuotaGrant

OWN = InstanceRecord("own", "1", "north-a", "north", "127.0.0.1:30000")
PEER = InstanceRecord("peer", "1", "north-a", "north", "127.0.0.1:30001")
ADDRESS = HostPort("127.0.0.1", 30000)


class Directory:
    """A directory of two instances."""

    own = OWN

    def find(self, name):
        return PEER if name == PEER.name else None


class FailingListener:
    """Fails a few times, then receives from another listener."""

    def __init__(self, listener, failures):
        self.listener, self.failures = listener, failures

    async def receive(self):
        if self.failures:
            self.failures -= 1
            raise OSError("Out of memory")
        return await self.listener.receive()

    async def close(self):
        await self.listener.close()


@asynccontextmanager
async def open_links(failures=0):
    network = MemoryNetwork()
    site = network.at("north-a")
    listener = FailingListener(await site.transport().listen(ADDRESS), failures)
    log = StringIO()
    events = EventLog("own", TrioClock(), log)
    links = PeerLinks(
        listener, site.transport(), Directory(), events, Metrics(None, "own")
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(links.run)
        yield links, network, log
        nursery.cancel_scope.cancel()


def deliver(network, sender, *messages, address="127.0.0.1:30001"):
    envelope = Envelope(sender, 0, address, 0, messages)
    network.deliver("north-a", ADDRESS, encode_envelope(envelope))


def test_failing_receive_is_tried_again_and_does_not_end_the_links():
    async def run():
        async with open_links(failures=3) as (links, network, log):
            received = []
            links.on(Greeting, lambda sender, message: received.append(sender))
            await trio.sleep(10)
            deliver(network, "peer", Greeting())
            await trio.sleep(1)
            return received, log.getvalue().count("peer_receive_failed")

    assert run_mocked(run) == (["peer"], 3)


def test_unknown_senders_get_few_links_and_known_ones_keep_theirs():
    async def run():
        async with open_links() as (links, network, log):
            links.on(Greeting, lambda sender, message: links.send(sender, Greeting()))
            for number in range(200):
                address = f"127.0.0.1:{40000 + number}"
                deliver(network, f"ghost-{number}", Greeting(), address=address)
            await trio.sleep(0.5)
            opened = len(links._links)
            known = links.send("peer", Greeting())
            await trio.sleep(60)
            return opened, known, "peer_links_full" in log.getvalue()

    assert run_mocked(run) == (MAX_UNKNOWN_LINKS, True, True)


class Holders:
    """Names one accountant for all shares."""

    own = OWN.name

    def on_new_holder(self, listener):
        """Never call it."""

    def find(self, share):
        return Holder(PEER.name, 1)

    def find_candidates(self, share):
        return []


class Shares:
    """Accounts no share."""

    def find_account(self, share):
        return None


def test_grant_of_more_than_was_asked_for_is_dropped():
    async def run(granted):
        async with open_links() as (links, network, log):
            client = QuotaClient(
                links,
                Directory(),
                Shares(),
                Holders(),
                QuotaBounds(),
                TrioClock(),
                Random(1),
                Metrics(None, "own"),
            )
            listener = (
                await network.at("north-a")
                .transport()
                .listen(HostPort("127.0.0.1", 30001))
            )
            request = QuotaRequest("team", RateLimit(10.0, 1.0), 1, 2)
            answers = []

            async def ask():
                deadline = trio.current_time() + 1
                answers.append(await client.ask(0, request, deadline))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await listener.receive()
                deliver(network, "peer", QuotaGrant(1, granted))
            return answers, "peer_bad_message" in log.getvalue()

    for granted in (-1, 3, 1 << 62):
        assert run_mocked(lambda value=granted: run(value)) == ([None], True)
    answers, is_logged = run_mocked(lambda: run(2))
    assert answers[0].reply.granted == 2
    assert not is_logged
