"""Tests that an accepted configuration is in force everywhere and never reverts."""

import zlib

import pytest
import trio

from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.intent.applying import Accepted, ChangeConflict, Unknown
from walkcart.intent.distribution import ConfigurationKeeper
from walkcart.intent.document import CONFIGURATION_KEY
from walkcart.membership.links import PeerLinks
from walkcart.standins.memorypeers import MemoryPeerSender
from walkcart.standins.store import StoreStandin
from walkcart.store.packing import pack_value
from walkcart.wire.http import HttpReply
from walkcart.wire.messages import ConfigurationPull, ConfigurationPush

#: Seconds within which a change must be in force at every instance.
BOUND = 4.0


def make_intent(deadline, name="all"):
    return (
        f'[[routing_intent]]\nname = "{name}"\nselector = ""\ndeadline = {deadline}\n'
    )


def revisions(world):
    return [
        item.find("keeper", ConfigurationKeeper).document.revision
        for item in world.instances.values()
    ]


def test_each_of_a_hundred_changes_is_in_force_in_time():
    async def run():
        async with open_estate(instances=7) as world:
            times = []
            for number in range(100):
                outcome = await world.apply(make_intent(1 + number / 1000))
                times.append(await world.wait_in_force(outcome.revision))
                await trio.sleep(0.2)
            return times

    times = run_mocked(run)
    assert max(times) <= BOUND
    assert sorted(times)[50] <= 1.0


def test_data_centre_without_the_store_gets_a_change_from_peers():
    async def run():
        sites = [("north", "north-a"), ("south", "south-a")]
        async with open_estate(instances=6, sites=sites) as world:
            world.memory.cut("south-a", "platform")
            await trio.sleep(1)
            outcome = await world.apply(make_intent(1.5))
            return await world.wait_in_force(outcome.revision)

    assert run_mocked(run) <= BOUND


def test_change_spreads_although_the_watchers_were_killed():
    async def run():
        async with open_estate(instances=7) as world:
            watching = [
                name
                for name, item in world.instances.items()
                if item.find("keeper", ConfigurationKeeper)._should_watch()
            ]
            for name in watching:
                await world.kill_instance(name, listed=True)
            outcome = await world.apply(make_intent(1.5))
            return watching, await world.wait_in_force(outcome.revision)

    watching, time = run_mocked(run)
    assert len(watching) == 2
    assert time <= BOUND


def test_instance_started_during_an_outage_gets_the_newest_configuration():
    async def run():
        async with open_estate() as world:
            outcome = await world.apply(make_intent(1.5))
            await world.wait_in_force(outcome.revision)
            world.store.faults.down = True
            running = await world.start_instance("instance-9")
            await trio.sleep(3)
            keeper = running.find("keeper", ConfigurationKeeper)
            return outcome.revision, keeper.document.revision

    accepted, held = run_mocked(run)
    assert held == accepted


def test_stale_reads_and_repeated_watches_revert_nothing():
    async def run():
        async with open_estate() as world:
            world.store.faults.stale_read = 0.5
            world.store.faults.repeat_watches = True
            lowest_revisions = []
            for number in range(10):
                outcome = await world.apply(make_intent(1 + number / 100))
                if isinstance(outcome, Accepted):
                    await world.wait_in_force(outcome.revision)
                for _ in range(20):
                    await trio.sleep(0.05)
                    lowest_revisions.append(min(revisions(world)))
            return lowest_revisions

    lowest_revisions = run_mocked(run)
    assert lowest_revisions == sorted(lowest_revisions)


def test_garbage_in_the_store_changes_nothing():
    async def run():
        async with open_estate() as world:
            before = revisions(world)
            world.store._set("walkcart/configuration", b"rubbish")
            await trio.sleep(3)
            return before, revisions(world)

    before, after = run_mocked(run)
    assert before == after


def test_change_whose_reply_was_lost_is_found_by_reading_back():
    async def run():
        async with open_estate() as world:
            world.store.faults.lose_reply = 1.0
            return await world.apply(make_intent(1.7))

    outcome = run_mocked(run)
    assert isinstance(outcome, Accepted)
    assert outcome.revision == 2


def test_concurrent_changes_of_one_object_conflict_and_show_both_sides():
    async def run():
        async with open_estate() as world:
            outcomes = []

            async def change(value):
                outcomes.append(await world.apply(make_intent(value)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change, 1.1)
                nursery.start_soon(change, 1.2)
            return outcomes

    outcomes = run_mocked(run)
    conflicts = [item for item in outcomes if isinstance(item, ChangeConflict)]
    assert len(conflicts) == 1
    assert conflicts[0].mine != conflicts[0].theirs
    assert conflicts[0].change.touched == ("routing_intent all",)


def test_concurrent_changes_of_different_objects_both_succeed():
    async def run():
        async with open_estate() as world:
            outcomes = []

            async def change(name):
                outcomes.append(await world.apply(make_intent(1.1, name)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(change, "one")
                nursery.start_soon(change, "two")
            return sorted(item.revision for item in outcomes)

    assert run_mocked(run) == [2, 3]


def test_outage_of_the_store_gives_an_unknown_outcome():
    async def run():
        async with open_estate() as world:
            world.store.faults.down = True
            return await world.apply(make_intent(1.7), patience=2.0)

    outcome = run_mocked(run)
    assert isinstance(outcome, Unknown)


def test_instance_without_store_and_peers_reports_isolation():
    async def run():
        sites = [("north", "north-a"), ("south", "south-a")]
        async with open_estate(instances=2, sites=sites) as world:
            for site in ("north-a", "platform"):
                world.memory.cut("south-a", site)
            await trio.sleep(10)
            isolated = world.instances["instance-1"].find("keeper", ConfigurationKeeper)
            connected = world.instances["instance-0"].find(
                "keeper", ConfigurationKeeper
            )
            return isolated.is_isolated(), connected.is_isolated()

    assert run_mocked(run) == (True, False)


def test_replaced_documents_are_not_queued_for_a_slow_peer(monkeypatch):
    async def send_never(sender, data):
        await trio.sleep_forever()

    async def run():
        async with open_estate() as world:
            running = world.instances["instance-0"]
            keeper = running.find("keeper", ConfigurationKeeper)
            links = running.find("links", PeerLinks)
            waiting = []
            monkeypatch.setattr(MemoryPeerSender, "send", send_never)
            links.send("instance-1", ConfigurationPull(0))
            for number in range(4):
                outcome = await world.apply(make_intent(1 + number / 10))
                while keeper.document.revision < outcome.revision:
                    await trio.sleep(0.01)
                keeper._on_pull("instance-1", ConfigurationPull(0))
                for (name, _), outbox in links._links.items():
                    if name == "instance-1":
                        waiting = [message for _, message in outbox._messages]
            return waiting, outcome.revision

    waiting, newest = run_mocked(run)
    pushes = [item for item in waiting if isinstance(item, ConfigurationPush)]
    assert [item.revision for item in pushes] == [newest]


def test_store_that_ends_each_watch_at_once_is_not_called_all_the_time(monkeypatch):
    async def end_watch(store, key, query):
        store.calls["watch"] += 1
        return HttpReply(204)

    async def run():
        async with open_estate(instances=1) as world:
            monkeypatch.setattr(StoreStandin, "_watch", end_watch)
            await trio.sleep(5)
            before = world.store.calls["watch"]
            await trio.sleep(20)
            return world.store.calls["watch"] - before

    assert run_mocked(run) <= 100


def make_stored(tables):
    return pack_value({"revision": 99, "changes": [], "tables": tables}, 1)


BAD_DOCUMENTS = {
    "no bytes": b"",
    "no zlib": b"rubbish",
    "nested": zlib.compress(b"\x91" * 5000 + b"\xc0"),
    "nested tables": zlib.compress(
        b"\x83\xa8revision\x63\xa7changes\x90\xa6tables\x81\xa1a"
        + b"\x91" * 5000
        + b"\xc0"
    ),
    "inflated": zlib.compress(bytes(64 << 20), 9),
    "huge time": make_stored(
        {"routing_intent": [{"name": "r", "selector": "", "deadline": 1e300}]}
    ),
    "huge group": make_stored(
        {
            "shard_group": [
                {
                    "name": "g",
                    "layouts": [{"epoch": 1, "shards": 2**40, "selector": ""}],
                }
            ]
        }
    ),
}


@pytest.mark.parametrize("name", BAD_DOCUMENTS)
def test_stored_document_that_cannot_be_used_leaves_the_one_in_force(name):
    async def run():
        async with open_estate(instances=2) as world:
            before = revisions(world)
            client = world.make_store_client()
            entry = await client.get(CONFIGURATION_KEY)
            written = await client.put(
                CONFIGURATION_KEY, BAD_DOCUMENTS[name], entry.revision
            )
            await trio.sleep(5)
            kept = revisions(world)
            address = world.instances["instance-0"].address
            asked = await make_caller(world).query(address, "parts", 1)
            # The next document is in force again.
            await client.put(CONFIGURATION_KEY, entry.value, written.revision)
            outcome = await world.apply(make_intent(1.5))
            delay = await world.wait_in_force(outcome.revision)
            return before, kept, asked.status, delay

    before, kept, status, delay = run_mocked(run)
    assert kept == before
    assert status == 200
    assert delay <= BOUND
