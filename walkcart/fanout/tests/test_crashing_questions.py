"""Questions of the product's own interface that crash the leaves which run them.

Guards against one question taking down both replicas of each shard at each retry, as
with routed requests: after a crash it was sent to the other replica.
"""

from random import Random

import trio

from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.once.keys import make_key

SHARDS = 6
BAD = b"bad"
#: Seconds until a crashed leaf is started again.
RESTART_DELAY = 3.0
CONTACT_TIME = 4.0


class LeafCrasher:
    """Kills leaves that begin bad requests, and restarts them."""

    def __init__(self, world, nursery):
        self._world = world
        self._nursery = nursery
        self.at = []
        for name in list(world.leaves):
            self._watch(name)

    def _watch(self, name):
        def end(body):
            if BAD not in body:
                return False
            self.at.append(trio.current_time())
            self._nursery.start_soon(self._end, name)
            return True

        self._world.leaves[name].leaf.crashes_on = end

    async def _end(self, name):
        await trio.sleep(0.01)
        self._world.kill_leaf(name)
        await trio.sleep(RESTART_DELAY)
        await self._world.restart_leaf(name)
        self._watch(name)


def run_in_world(act):
    async def run():
        async with open_estate(shards=SHARDS) as world:
            caller = make_caller(world)
            addresses = [item.address for item in world.instances.values()]
            async with trio.open_nursery() as nursery:
                crasher = LeafCrasher(world, nursery)
                result = await act(world, crasher, caller, addresses)
                nursery.cancel_scope.cancel()
            return result

    return run_mocked(run)


def test_a_crashing_question_over_shards_is_soon_refused_at_all_instances():
    async def act(world, crasher, caller, addresses):
        replies = []
        for number in range(9):
            address = addresses[number % 3]
            replies.append(await caller.query(address, "parts", {"item": "bad"}))
            await trio.sleep(2)
        good = [
            (await caller.query(address, "parts", {"item": "good"})).status
            for address in addresses
        ]
        return replies, good, len(crasher.at)

    replies, good, ended = run_in_world(act)
    assert [item.verdict for item in replies[-5:]] == ["not_run"] * 5
    assert int(replies[-1].headers[b"retry-after"]) > 60
    assert good == [200] * 3
    assert ended <= SHARDS + 4


def test_non_repeatable_requests_are_refused_after_three_leaves_crashed():
    async def act(world, crasher, caller, addresses):
        replies = []
        for number in range(8):
            now = trio.current_time()
            address = addresses[number % 3]
            key = make_key(world.clock.now(), Random(number))
            replies.append(await caller.execute(address, "cards", {"item": "bad"}, key))
            await trio.sleep(max(0.0, now + 4 - trio.current_time()))
        return replies, len(crasher.at)

    replies, ended = run_in_world(act)
    assert ended == 3
    assert [item.verdict for item in replies[-4:]] == ["not_run"] * 4


def test_leaves_killed_at_the_same_time_quarantine_no_question():
    async def act(world, crasher, caller, addresses):
        async def ask(number, statuses):
            asked = await caller.query(addresses[number % 3], "parts", {"n": number})
            statuses.append(asked.status)

        async def load(statuses):
            async with trio.open_nursery() as nursery:
                for number in range(200):
                    nursery.start_soon(ask, number, statuses)
                    await trio.sleep(0.005)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(load, [])
            await trio.sleep(0.5)
            for name in list(world.leaves):
                world.kill_leaf(name)
        await trio.sleep(1)
        for name in list(world.leaves):
            await world.restart_leaf(name)
        await trio.sleep(4)
        after = []
        await load(after)
        return after

    after = run_in_world(act)
    assert after.count(200) == len(after)
