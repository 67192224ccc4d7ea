"""Shares of the bounds on cold leaves when an instance restarts on its former lease."""

from types import SimpleNamespace

import trio

from walkcart.bench.harness import ManualClock
from walkcart.membership.coldshares import KEY_TRUST_TIME, ColdShareDemand, ColdShares
from walkcart.routing.coldleaves import WINDOW, WINDOW_MARGIN
from walkcart.store.items import Committed, Item, Lease, Page, Rejected

DATA_CENTRE = "north-a"
LEASE = Lease(7, None)
#: Seconds from taking a share until it may be used, plus a margin.
WAIT = KEY_TRUST_TIME + WINDOW + WINDOW_MARGIN + 0.1


class ConditionalStore:
    """A store with compare-and-swap on revisions."""

    def __init__(self):
        self.items = {}
        self.revision = 0

    async def list_items(self, prefix, after, fresh):
        found = (item for key, item in self.items.items() if key.startswith(prefix))
        return Page(tuple(found), self.revision, True)

    async def commit(self, transaction):
        ((key, revision),), (put,) = transaction.expected, transaction.puts
        held = self.items.get(key)
        if (held.revision if held else 0) != revision:
            return Rejected((held,) if held else ())
        self.revision += 1
        self.items[key] = Item(key, put.value, self.revision, put.lease)
        return Committed(self.revision)


def start_process(store, clock, started, lease=LEASE):
    own = SimpleNamespace(name="one", started=started)
    centres = frozenset({DATA_CENTRE})
    return ColdShares(
        store,
        SimpleNamespace(own=own, lease=lease),
        ColdShareDemand(lambda: centres, lambda: centres, lambda centre: ["one"]),
        clock,
        SimpleNamespace(emit=lambda *arguments, **details: None),
    )


async def refresh_for(shares, clock, seconds):
    end = clock.time + seconds
    while clock.time < end:
        await shares.refresh()
        clock.time += KEY_TRUST_TIME / 4


def test_restarted_process_takes_over_the_share_of_the_earlier_one():
    async def run():
        store, clock = ConditionalStore(), ManualClock()
        earlier = start_process(store, clock, "first")
        await refresh_for(earlier, clock, WAIT)
        assert earlier.find_share(DATA_CENTRE) is not None
        later = start_process(store, clock, "second")
        await later.refresh()
        assert len(store.items) == 1
        # The earlier process continues, as one that was suspended does.
        await refresh_for(earlier, clock, WAIT - 1.0)
        assert earlier.find_share(DATA_CENTRE) is None
        assert later.find_share(DATA_CENTRE) is None
        await refresh_for(later, clock, 2.0)
        return later.find_share(DATA_CENTRE)

    assert trio.run(run) is not None


def test_share_on_another_lease_is_not_taken():
    async def run():
        store, clock = ConditionalStore(), ManualClock()
        await start_process(store, clock, "first").refresh()
        held = dict(store.items)
        await start_process(store, clock, "second", Lease(8, None)).refresh()
        return all(store.items[key] == item for key, item in held.items())

    assert trio.run(run)
