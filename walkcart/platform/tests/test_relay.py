"""Instances that relay to each other what they read from the store."""

import json

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.metrics import Metrics
from walkcart.membership import relaying, watchers
from walkcart.membership.links import PeerLinks
from walkcart.membership.watchchecks import WATCHER_CHECK_TIMES
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.platform.tests.test_start_calls import is_watch_check
from walkcart.wire.relays import RelayChanges, RelayCopy


def with_instances(scenario, count, data_centres=("north-a",)):
    """Run `scenario(world)` with one service and `count` instances."""

    async def run():
        async with open_platform() as world:
            for number in range(2):
                await world.start_leaf(f"p-{number}", "plain", records=b"body")
            world.configure(make_route("one", "/one/", backend="plain"))
            for number in range(count):
                place = data_centres[number % len(data_centres)]
                await world.start_instance(f"w{number}", place)
                await world.wait_ready(f"w{number}")
            await trio.sleep(10)
            return await scenario(world)

    return run_mocked(run)


def count_calls(world, word):
    return sum(1 for call in world.store.calls if word in call)


def test_instance_without_the_store_is_fed_by_another():
    async def scenario(world):
        world.network.cut("store", "south-a")
        await trio.sleep(4)
        world.configure(make_route("two", "/two/", backend="plain"))
        await trio.sleep(1)
        return (await world.ask("/two/x", "w1")).status

    assert with_instances(scenario, 2, ("north-a", "south-a")) == 200


def test_log_and_metrics_show_the_source_and_delay_of_a_version():
    async def scenario(world):
        world.network.cut("store", "south-a")
        await trio.sleep(4)
        version = world.configure(make_route("two", "/two/", backend="plain"))
        await trio.sleep(1)
        lines = [json.loads(line) for line in world.log.getvalue().splitlines()]
        found = {
            line["instance"]: (line["source"], line["delay_ms"])
            for line in lines
            if line["event"] == "routes_in_force" and line["version"] == version
        }
        metrics = world.tenants["w1"].tenant.kernel.find("metrics", Metrics)
        return found, metrics.read("intent.delay"), metrics.read("intent.revision")

    found, delay_ms, revision = with_instances(scenario, 2, ("north-a", "south-a"))
    assert found["w0"] == ("store", 0.0)
    source, logged_ms = found["w1"]
    assert source == "w0"
    # The one-way latency to the other data centre is half a millisecond.
    assert 0.5 <= logged_ms <= 5
    assert delay_ms == pytest.approx(logged_ms, abs=0.1)
    assert revision == 6


def test_fed_instance_watches_again_when_it_reaches_the_store():
    async def scenario(world):
        world.network.cut("store", "south-a")
        await trio.sleep(4)
        world.network.heal("store", "south-a")
        await trio.sleep(4)
        world.tenants["w0"].scope.cancel()
        world.configure(make_route("two", "/two/", backend="plain"))
        await trio.sleep(1)
        return (await world.ask("/two/x", "w1")).status

    assert with_instances(scenario, 2, ("north-a", "south-a")) == 200


def test_in_a_large_fleet_few_instances_watch_and_all_get_changes(monkeypatch):
    monkeypatch.setattr(watchers, "MAX_INSTANCES_ALL_WATCHING", 3)

    async def scenario(world):
        await trio.sleep(30)
        before = len(world.store.targets)
        await trio.sleep(60)
        watches = [call for call in world.store.targets[before:] if "watch" in call]
        checks = sum(1 for call in watches if is_watch_check(call))
        world.configure(make_route("two", "/two/", backend="plain"))
        world.drain_leaf("p-0")
        await trio.sleep(1.5)
        statuses = [(await world.ask("/two/x", f"w{n}")).status for n in range(6)]
        return len(watches) - checks, checks, statuses, world.leafs["p-0"].arrived

    watches, checks, statuses, arrived = with_instances(scenario, 6)
    # Two instances watch two prefixes, for 20 seconds at a time.
    assert watches <= 2 * 2 * 4
    # One of them checks each prefix, and tells the other one.
    assert checks <= 2 * 60 / WATCHER_CHECK_TIMES[0]
    assert statuses == [200] * 6
    assert arrived == []


def test_when_the_watchers_die_the_others_read_the_store(monkeypatch):
    monkeypatch.setattr(watchers, "MAX_INSTANCES_ALL_WATCHING", 3)

    async def scenario(world):
        await trio.sleep(30)
        watching = [
            name
            for name, running in world.tenants.items()
            if running.tenant.kernel.find("relay", relaying.Relay).is_watching
        ]
        for name in watching:
            world.tenants[name].scope.cancel()
        world.configure(make_route("two", "/two/", backend="plain"))
        await trio.sleep(3)
        remaining = [name for name in world.tenants if name not in watching]
        statuses = [(await world.ask("/two/x", name)).status for name in remaining]
        return len(watching), statuses

    watching, statuses = with_instances(scenario, 6)
    assert watching == 2
    assert statuses == [200] * 4


def test_feed_continues_after_the_store_compacts_its_history(monkeypatch):
    monkeypatch.setattr(watchers, "MAX_INSTANCES_ALL_WATCHING", 1)

    async def scenario(world):
        await trio.sleep(30)
        world.store.compact()
        world.configure(make_route("two", "/two/", backend="plain"))
        await trio.sleep(2)
        return [(await world.ask("/two/x", f"w{n}")).status for n in range(4)]

    assert with_instances(scenario, 4) == [200] * 4


def test_compacted_history_causes_no_full_copies(monkeypatch):
    monkeypatch.setattr(watchers, "MAX_INSTANCES_ALL_WATCHING", 1)
    copies = []

    send = PeerLinks.send

    def record_copies(links, name, message):
        if isinstance(message, RelayCopy):
            copies.append(name)
        return send(links, name, message)

    async def scenario(world):
        await trio.sleep(30)
        monkeypatch.setattr(PeerLinks, "send", record_copies)
        world.drain_leaf("p-0")
        world.configure(make_route("two", "/two/", backend="plain"))
        world.store.compact()
        await trio.sleep(5)
        lost = world.log.getvalue().count("store_history_lost")
        return lost, [(await world.ask("/two/x", f"w{n}")).status for n in range(4)]

    lost, statuses = with_instances(scenario, 4)
    assert lost
    assert statuses == [200] * 4
    assert copies == []


def test_lost_message_of_one_prefix_is_recovered_while_others_arrive(monkeypatch):
    monkeypatch.setattr(watchers, "MAX_INSTANCES_ALL_WATCHING", 1)
    send = PeerLinks.send
    lost = []

    async def scenario(world):
        def lose_once(links, name, message):
            match message:
                case RelayChanges() if name not in lost:
                    lost.append(name)
                    return True
            return send(links, name, message)

        await trio.sleep(30)
        monkeypatch.setattr(PeerLinks, "send", lose_once)
        world.drain_leaf("p-0")
        await trio.sleep(0.9)
        # Changes go on: the message that was lost must not be skipped.
        for number in range(12):
            world.configure(make_route("one", "/one/", backend="plain"))
            await world.start_leaf(f"q-{number}", "other")
            await trio.sleep(0.3)
        world.leafs["p-0"].arrived.clear()
        for name in world.tenants:
            for _ in range(4):
                await world.ask("/one/x", name)
        return len(lost), len(world.leafs["p-0"].arrived)

    assert with_instances(scenario, 4) == (2, 0)
