"""A store of keys on leases, which can be silent or turn instances away."""

import trio

from walkcart.store.calls import StoreUnavailable
from walkcart.store.items import Committed, Item, Lease, LeaseNotFound, Page, Rejected

#: Seconds after which a silent store is given up.
CALL_TIME = 1.0


class LeasedStore:
    """Keys on leases; silent for all, or turning some away."""

    def __init__(self):
        self.items, self.leases = {}, {}
        self.revision = self.last_lease = 0
        self.silent = False
        self.turned_away = set()
        self.writes = self.reads = self.renewals = 0

    def expire(self):
        now = trio.current_time()
        for id, until in list(self.leases.items()):
            if until <= now:
                del self.leases[id]
        for key, (_, lease) in list(self.items.items()):
            if lease not in self.leases:
                del self.items[key]

    def at(self, name):
        return StoreAt(self, name)


class StoreAt:
    """The store as one instance has it."""

    def __init__(self, store, name):
        self.store, self.name = store, name

    async def _enter(self):
        await trio.sleep(0.004)
        if self.store.silent:
            await trio.sleep(CALL_TIME)
            raise StoreUnavailable(True, "no answer")
        if self.name in self.store.turned_away:
            raise StoreUnavailable(False, "turned away")
        self.store.expire()

    async def list_items(self, prefix, after, fresh):
        self.store.reads += 1
        await self._enter()
        items = self.store.items.items()
        found = tuple(item for key, (item, _) in items if key.startswith(prefix))
        return Page(found, self.store.revision, True)

    async def commit(self, transaction):
        self.store.writes += 1
        await self._enter()
        ((key, expected),), (put,) = transaction.expected, transaction.puts
        if put.lease not in self.store.leases:
            return LeaseNotFound()
        held = self.store.items.get(key)
        if (held[0].revision if held else 0) != expected:
            return Rejected((held[0],) if held else ())
        self.store.revision += 1
        item = Item(key, put.value, self.store.revision)
        self.store.items[key] = (item, put.lease)
        return Committed(self.store.revision)

    async def grant_lease(self, time_to_live):
        self.store.writes += 1
        await self._enter()
        self.store.last_lease += 1
        id = self.store.last_lease
        until = trio.current_time() + time_to_live.total_seconds()
        self.store.leases[id] = until
        return Lease(id, time_to_live)

    async def renew_lease(self, lease):
        self.store.renewals += 1
        await self._enter()
        if lease.id not in self.store.leases:
            return LeaseNotFound()
        until = trio.current_time() + lease.time_to_live.total_seconds()
        self.store.leases[lease.id] = until
        return lease
