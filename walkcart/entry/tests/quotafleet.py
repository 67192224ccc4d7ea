"""Instances that share rate limits, over in-memory links and a store with outages.

Only the services that enforce rate limits run: there are no callers and no leaves.
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
#: Seconds between two reads of all keys by one instance.
READ_INTERVAL = 3.0
#: Seconds that a planned stop takes at least, for requests in progress to end.
STOP_DURATION = 0.05


class SuspendableClock:
    """The clock of a machine that may be suspended: its time then jumps ahead."""

    def __init__(self):
        self.skipped = 0.0

    def monotonic(self):
        return trio.current_time() + self.skipped

    def now(self):
        raise NotImplementedError


class Member:
    """One instance of the fleet."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"instance-{number:03}"
        self.region = REGIONS[number % len(REGIONS)]
        self.address = f"127.0.0.1:{30000 + number}"
        self.start_count = 0
        self.scope = None
        self.clock = SuspendableClock()

    # The interface of a registration, as the links and the shares use it.
    def others(self):
        return tuple(r for r in self.fleet.records.values() if r.name != self.name)

    def find(self, name):
        return self.fleet.records.get(name) if name != self.name else None

    def on_change(self, listener):
        pass

    is_settled = True

    async def start(self, nursery):
        """Start the instance anew, and return once it has read the keys."""
        self.start_count += 1
        self.own = InstanceRecord(
            self.name, str(self.start_count), self.region, self.region, self.address
        )
        self.fleet.records[self.name] = self.own
        self.scope = trio.CancelScope()
        await nursery.start(self._run, self.scope)

    async def _run(self, scope, *, task_status):
        with scope:
            async with trio.open_nursery() as nursery:
                await self._start_services(nursery)
                task_status.started()

    async def _start_services(self, nursery):
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
        nursery.start_soon(self._read_keys_repeatedly)

    def _on_greeting(self, sender, message):
        if not message.answers:
            self.links.send(sender, Greeting(answers=True))

    async def _read_keys_repeatedly(self):
        while True:
            await trio.sleep(READ_INTERVAL)
            unreachable = self.name in self.fleet.store.refused_instances
            if not unreachable and not self.fleet.store.silent:
                self.read_keys()

    def read_keys(self):
        for item, _ in list(self.fleet.store.items.values()):
            self.shares.handle_item(item)

    def kill(self):
        self.scope.cancel()

    async def stop(self):
        await self.shares.release_all()
        await trio.sleep(STOP_DURATION)
        self.scope.cancel()

    def held(self):
        """Return the shares that this instance accounts for now."""
        if self.scope.cancel_called:
            return []
        return [n for n in range(MAX_SHARES) if self.shares.find_account(n)]


class Fleet:
    """All instances, the store, the current teams, and the outcomes of requests."""

    def __init__(self, count, teams, seed=1):
        self.random = Random(seed)
        self.store = LeasedStore()
        self.network = MemoryNetwork(self.find_latency)
        self.members = [Member(self, number) for number in range(count)]
        self.regions = {member.name: member.region for member in self.members}
        self.records = {}
        self.teams = {team.name: team for team in teams}
        self.version = 1
        self.admitted = {team.name: [] for team in teams}
        self.refused = {team.name: [] for team in teams}
        self.waits = []

    def find_latency(self, one, other):
        return 0.0005 if self.regions[one] == self.regions[other] else 0.008

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
        assert len(found) < 2, "two instances account for one share"
        return found[0] if found else None

    def check_shares(self):
        """Raise AssertionError if two instances account for one share."""
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
        """Send requests of a team at random times to random instances.

        Args:
            name: name of the team.
            rate: mean requests per second.
            seconds: duration.
            members: the instances to choose from; all if None.
        """
        until = trio.current_time() + seconds
        while True:
            pause = self.random.expovariate(rate)
            await trio.sleep_until(min(until, trio.current_time() + pause))
            if trio.current_time() >= until:
                return
            running = [m for m in members or self.members if not m.scope.cancel_called]
            if running:
                member = self.random.choice(running)
                self.nursery.start_soon(self.request, member, name)

    async def request(self, member, name):
        start = trio.current_time()
        refusal = await member.limits.admit(self.teams[name], max_wait=1.0)
        now = trio.current_time()
        self.waits.append(now - start)
        if refusal is None:
            self.admitted[name].append(now)
        else:
            self.refused[name].append((now, refusal))
        return refusal

    def find_refused_fraction(self, name):
        refused = len(self.refused[name])
        return refused / max(1, refused + len(self.admitted[name]))

    def check_windows(self, name, limit, since=0.0):
        """Raise AssertionError if a window has more requests than the bounds allow."""
        times = sorted(at for at in self.admitted[name] if at >= since)
        last = 0
        for first, start in enumerate(times):
            while last < len(times) and times[last] < start + BOUNDS.window:
                last += 1
            assert last - first <= BOUNDS.max_requests(limit)
