"""Delegated questions that arrive late, or that nobody waits for any longer."""

from random import Random

import trio

from walkcart.membership.links import PeerLinks
from walkcart.platform.tests.test_delegation import count_lines, with_two_regions
from walkcart.standins.memory import MemoryNetwork
from walkcart.wire.codec import decode_envelope
from walkcart.wire.delegations import (
    DelegatedCancel,
    DelegatedQuestion,
    DelegatedRenewal,
)

#: Maximum time after a caller left at which a leaf may still get a request for it, in
#: seconds.
MAX_ARRIVAL_DELAY = 0.5
#: Delays of envelopes in seconds: mostly usual ones, some as caused by a cut.
DELAYS = (0.001, 0.008, 0.02, 0.1, 0.3, 0.7, 1.6)


def delay_envelopes(monkeypatch, chosen, delays):
    """Delay envelopes with a message of a `chosen` class by `delays()` seconds."""
    deliver = MemoryNetwork.deliver

    def deliver_late(network, site, address, data):
        messages = decode_envelope(data).messages
        if not any(isinstance(item, chosen) for item in messages):
            deliver(network, site, address, data)
            return
        trio.lowlevel.spawn_system_task(deliver_after, network, site, address, data)

    async def deliver_after(network, site, address, data):
        await trio.sleep(delays())
        deliver(network, site, address, data)

    monkeypatch.setattr(MemoryNetwork, "deliver", deliver_late)


def record_arrivals(world):
    """Return a list that collects the times at which leaves get requests."""
    times = []
    for leaf in world.leafs.values():
        handle = leaf.handle

        async def handle_and_record(request, handle=handle):
            times.append(trio.current_time())
            return await handle(request)

        world.servers[leaf.id].http._handler = handle_and_record
    return times


async def ask_and_leave(world, timeout):
    """Send a request as a caller that leaves after `timeout`; return when it left."""
    with trio.move_on_after(timeout):
        await world.ask("/all/x", "asker")
    return trio.current_time()


def test_delayed_question_is_not_started_after_its_caller_left(monkeypatch):
    async def act(world):
        await world.ask("/all/x", "asker")
        times = record_arrivals(world)
        delay_envelopes(monkeypatch, (DelegatedQuestion, DelegatedCancel), lambda: 2.0)
        left = await ask_and_leave(world, 0.02)
        await trio.sleep(4)
        late = [time for time in times if time > left + MAX_ARRIVAL_DELAY]
        return late, count_lines(world, "question_stale")

    late, told = with_two_regions(act)
    assert late == []
    assert told == 1


def test_cancellation_that_overtakes_its_question_is_remembered(monkeypatch):
    async def act(world):
        await world.ask("/all/x", "asker")
        times = record_arrivals(world)
        delay_envelopes(monkeypatch, DelegatedQuestion, lambda: 0.05)
        left = await ask_and_leave(world, 0.01)
        await trio.sleep(1)
        return [time for time in times if time > left + 0.02]

    assert with_two_regions(act) == []


def test_work_at_a_peer_ends_when_the_asking_instance_stops():
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.delay = 1.8
        world.nursery.start_soon(ask_ignoring_errors, world)
        await trio.sleep(0.1)
        world.tenants["asker"].scope.cancel()
        before = sum(leaf.running for leaf in world.leafs.values())
        await trio.sleep(MAX_ARRIVAL_DELAY)
        after = sum(leaf.running for leaf in world.leafs.values())
        return before, after, count_lines(world, "question_abandoned")

    before, after, told = with_two_regions(act)
    assert before == 4
    assert after == 0
    assert told == 1


async def ask_ignoring_errors(world):
    """Send a request and ignore its outcome."""
    with trio.move_on_after(3):
        try:
            await world.ask("/all/x", "asker")
        except Exception:
            # The instance has been stopped.
            return


def test_long_question_continues_while_its_asker_waits():
    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.delay = 1.2
        reply = await world.ask("/all/x", "asker")
        return reply.status, count_lines(world, "question_abandoned")

    status, abandoned = with_two_regions(act, targetLatencyMs=1500)
    assert status == 200
    assert abandoned == 0


def test_question_whose_renewals_are_lost_is_abandoned_and_reported(monkeypatch):
    send = PeerLinks.send

    def send_others(links, name, message):
        return isinstance(message, DelegatedRenewal) or send(links, name, message)

    async def act(world):
        for leaf in world.leafs.values():
            leaf.faults.delay = 1.2
        monkeypatch.setattr(PeerLinks, "send", send_others)
        start = trio.current_time()
        reply = await world.ask("/all/x", "asker")
        return reply.status, trio.current_time() - start

    status, elapsed = with_two_regions(act, targetLatencyMs=1500)
    assert status == 502
    assert elapsed < MAX_ARRIVAL_DELAY


def test_restarted_instance_starts_no_question_sent_to_its_former_process(monkeypatch):
    async def act(world):
        await world.ask("/all/x", "asker")
        times = record_arrivals(world)
        delay_envelopes(monkeypatch, DelegatedQuestion, lambda: 1.0)
        left = await ask_and_leave(world, 0.01)
        world.tenants["helper"].scope.cancel()
        await trio.sleep(0.3)
        await world.start_instance("helper", "south-a")
        await trio.sleep(3)
        return [time for time in times if time > left + MAX_ARRIVAL_DELAY]

    assert with_two_regions(act) == []


def test_no_leaf_gets_a_request_long_after_its_caller_left(monkeypatch):
    """Run with random delays and losses between the instances."""

    def run(seed):
        random = Random(seed)

        async def act(world):
            await world.ask("/all/x", "asker")
            times = record_arrivals(world)
            kinds = (DelegatedQuestion, DelegatedCancel, DelegatedRenewal)
            delay_envelopes(monkeypatch, kinds, lambda: random.choice(DELAYS))
            world.network.lose = lambda: random.random() < 0.1
            late = []
            for _ in range(8):
                before = len(times)
                left = await ask_and_leave(world, random.uniform(0.005, 0.3))
                await trio.sleep(3)
                late += [
                    time for time in times[before:] if time > left + MAX_ARRIVAL_DELAY
                ]
            return late

        result = with_two_regions(act)
        monkeypatch.undo()
        return result

    assert [run(seed) for seed in range(6)] == [[]] * 6
