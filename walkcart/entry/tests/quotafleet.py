"""Instances that share rate limits, with links in memory and a store that fails.

Only what takes part in the limits runs: no caller, no leaf.
"""

from io import StringIO
from random import Random

import trio

from walkcart.entry.teamlimits import DistributedRateLimiter
from walkcart.entry.tests.leasedstore import LeasedStore
from walkcart.fanout.peerselection import MAX_FULL_MESH
from walkcart.intent.teams import Team
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.membership.links import PeerLinks
from walkcart.membership.quotaclient import QuotaClient
from walkcart.membership.quotaholders import QuotaHolders
from walkcart.membership.quotakeys import QuotaKeys
from walkcart.membership.quotaserver import QuotaServer
from walkcart.membership.quotashares import QuotaShares
from walkcart.routing.quotas import MAX_SHARES, QuotaBounds
from walkcart.standins.memory import MemoryNetwork
from walkcart.wire.delegations import Greeting

BOUNDS = QuotaBounds(window=5.0, tolerance=0.1, slack=20.0)
REGIONS = ("north", "south", "east")
#: Seconds between two readings of all keys by one instance.
READING = 3.0
#: Seconds that a planned stop takes at the least: requests in progress end.
STOP_TIME = 0.05


class SkippingClock:
    """The clock of a machine that may be suspended: its time then skips ahead."""

    def __init__(self):
        self.skipped = 0.0

    def monotonic(self):
        return trio.current_time() + self.skipped

    def now(self):
        raise NotImplementedError


class Member:
    """One instance."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"instance-{number:03}"
        self.region = REGIONS[number % len(REGIONS)]
        self.address = f"127.0.0.1:{30000 + number}"
        self.lives = 0
        self.scope = None
        self.clock = SkippingClock()

    # What the links and the shares ask of a registration.
    def others(self):
        return tuple(r for r in self.fleet.records.values() if r.name != self.name)

    def find(self, name):
        return self.fleet.records.get(name) if name != self.name else None

    def on_change(self, listener):
        pass

    is_settled = True

    async def start(self, nursery):
        """Begin a new life, and return once it has read the keys."""
        self.lives += 1
        self.own = InstanceRecord(
            self.name, str(self.lives), self.region, self.region, self.address
        )
        self.fleet.records[self.name] = self.own
        self.scope = trio.CancelScope()
        await nursery.start(self._live, self.scope)

    async def _live(self, scope, *, task_status):
        with scope:
            async with trio.open_nursery() as nursery:
                await self._assemble(nursery)
                task_status.started()

    async def _assemble(self, nursery):
        clock = self.clock
        transport = self.fleet.network.at(self.name).transport()
        host, _, port = self.address.partition(":")
        listener = await transport.listen(HostPort(host, int(port)))
        self.log = StringIO()
        events = EventLog(self.name, TrioClock(), self.log)
        self.metrics = Metrics(None, self.name)
        self.links = PeerLinks(listener, transport, self, events, self.metrics)
        keys = QuotaKeys(self.fleet.store.at(self.name), self.own, clock, BOUNDS.window)
        holders = QuotaHolders(self, clock, events)
        self.shares = QuotaShares(
            keys,
            holders,
            self.links,
            BOUNDS,
            lambda: any(team.limit for team in self.fleet.teams.values()),
            clock,
            events,
            self.metrics,
        )
        QuotaServer(
            self.links, self.shares, holders, BOUNDS, self.fleet.find_limit, clock
        )
        asks = QuotaClient(
            self.links,
            self,
            self.shares,
            holders,
            BOUNDS,
            clock,
            self.fleet.random,
            self.metrics,
        )
        self.limits = DistributedRateLimiter(
            asks,
            BOUNDS,
            self.fleet.find_limit,
            clock,
            self.fleet.random,
            self.metrics,
        )
        self.links.on(Greeting, self._on_greeting)
        await nursery.start(self.links.run)
        if len(self.fleet.members) <= MAX_FULL_MESH:
            for record in self.others():
                self.links.send(record.name, Greeting())
        self.read_keys()
        await nursery.start(self.shares.run)
        nursery.start_soon(self._keep_reading)

    def _on_greeting(self, sender, message):
        if not message.answers:
            self.links.send(sender, Greeting(answers=True))

    async def _keep_reading(self):
        while True:
            await trio.sleep(READING)
            unreachable = self.name in self.fleet.store.turned_away
            if not unreachable and not self.fleet.store.silent:
                self.read_keys()

    def read_keys(self):
        for item, _ in list(self.fleet.store.items.values()):
            self.shares.handle_item(item)

    def kill(self):
        self.scope.cancel()

    async def stop(self):
        await self.shares.release_all()
        await trio.sleep(STOP_TIME)
        self.scope.cancel()

    def held(self):
        """Return the shares that this instance accounts now."""
        if self.scope.cancel_called:
            return []
        return [n for n in range(MAX_SHARES) if self.shares.find_account(n)]


class Fleet:
    """All instances, the store, the teams in force and what was admitted."""

    def __init__(self, count, teams, seed=1):
        self.random = Random(seed)
        self.store = LeasedStore()
        self.network = MemoryNetwork(self.find_latency)
        self.members = [Member(self, number) for number in range(count)]
        self.places = {member.name: member.region for member in self.members}
        self.records = {}
        self.teams = {team.name: team for team in teams}
        self.version = 1
        self.admitted = {team.name: [] for team in teams}
        self.refused = {team.name: [] for team in teams}
        self.waits = []

    def find_latency(self, one, other):
        return 0.0005 if self.places[one] == self.places[other] else 0.008

    async def start(self, nursery):
        self.nursery = nursery
        for member in self.members:
            self.records[member.name] = InstanceRecord(
                member.name, "0", member.region, member.region, member.address
            )
        for member in self.members:
            await member.start(nursery)
        await trio.sleep(4)

    def find_limit(self, name):
        team = self.teams.get(name)
        return self.version, team.limit if team else None

    def change_limit(self, name, limit):
        self.teams[name] = Team(name, limit=limit)
        self.version += 1

    def find_accountant(self, share):
        found = [member for member in self.members if share in member.held()]
        assert len(found) < 2, "two account one share"
        return found[0] if found else None

    def check_shares(self):
        """Raise AssertionError if two account one share."""
        for share in range(MAX_SHARES):
            self.find_accountant(share)

    def cut(self, member, others=None):
        for other in others or self.members:
            if other is not member:
                self.network.cut(member.name, other.name)

    def heal(self, member):
        for other in self.members:
            self.network.heal(member.name, other.name)

    async def send(self, name, rate, seconds, members=None):
        """Let a team's callers send by chance, to any of some instances."""
        until = trio.current_time() + seconds
        while True:
            pause = self.random.expovariate(rate)
            await trio.sleep_until(min(until, trio.current_time() + pause))
            if trio.current_time() >= until:
                return
            living = [m for m in members or self.members if not m.scope.cancel_called]
            if living:
                member = self.random.choice(living)
                self.nursery.start_soon(self.request, member, name)

    async def request(self, member, name):
        start = trio.current_time()
        refusal = await member.limits.admit(self.teams[name], patience=1.0)
        now = trio.current_time()
        self.waits.append(now - start)
        if refusal is None:
            self.admitted[name].append(now)
        else:
            self.refused[name].append((now, refusal))
        return refusal

    def find_share_refused(self, name):
        refused = len(self.refused[name])
        return refused / max(1, refused + len(self.admitted[name]))

    def check_windows(self, name, limit, since=0.0):
        """Raise AssertionError if a window holds more than the rule allows."""
        times = sorted(at for at in self.admitted[name] if at >= since)
        last = 0
        for first, start in enumerate(times):
            while last < len(times) and times[last] < start + BOUNDS.window:
                last += 1
            assert last - first <= BOUNDS.max_requests(limit)
