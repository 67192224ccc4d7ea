"""Shares of cold leafs' bounds when an instance starts anew on its former lease."""

from types import SimpleNamespace

import trio

from walkcart.bench.harness import ManualClock
from walkcart.membership.coldshares import TRUST, ColdShareDemand, ColdShares
from walkcart.routing.coldleaves import WINDOW, WINDOW_MARGIN
from walkcart.store.items import Committed, Item, Lease, Page, Rejected

DATA_CENTRE = "north-a"
LEASE = Lease(7, None)
#: Seconds from taking a share until it may be used, and a bit.
WAIT = TRUST + WINDOW + WINDOW_MARGIN + 0.1


class Keys:
    """A store with conditions on revisions."""

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


def start_life(store, clock, started, lease=LEASE):
    own = SimpleNamespace(name="one", started=started)
    centres = frozenset({DATA_CENTRE})
    return ColdShares(
        store,
        SimpleNamespace(own=own, lease=lease),
        ColdShareDemand(lambda: centres, lambda: centres, lambda centre: ["one"]),
        clock,
        SimpleNamespace(emit=lambda *words, **details: None),
    )


async def look_for(shares, clock, seconds):
    end = clock.time + seconds
    while clock.time < end:
        await shares.look()
        clock.time += TRUST / 4


def test_a_present_life_has_the_share_of_the_former_which_loses_it():
    async def run():
        store, clock = Keys(), ManualClock()
        former = start_life(store, clock, "first")
        await look_for(former, clock, WAIT)
        assert former.find_share(DATA_CENTRE) is not None
        present = start_life(store, clock, "second")
        await present.refresh()
        assert len(store.items) == 1
        # The former one goes on, as a process that was suspended does.
        await look_for(former, clock, WAIT - 1.0)
        assert former.find_share(DATA_CENTRE) is None
        assert present.find_share(DATA_CENTRE) is None
        await look_for(present, clock, 2.0)
        return present.find_share(DATA_CENTRE)

    assert trio.run(run) is not None


def test_a_share_on_another_lease_is_left_alone():
    async def run():
        store, clock = Keys(), ManualClock()
        await start_life(store, clock, "first").refresh()
        held = dict(store.items)
        await start_life(store, clock, "second", Lease(8, None)).refresh()
        return all(store.items[key] == item for key, item in held.items())

    assert trio.run(run)
