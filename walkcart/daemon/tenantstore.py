"""The services of an instance that follow the shared store: routes and leafs.

See Also:
    `walkcart.daemon.tenant.assemble_tenant`, which puts them together.
"""

from __future__ import annotations

from datetime import timedelta
from random import Random

import msgspec

from walkcart.daemon.environment import TenantEnvironment
from walkcart.fanout.origins import RequestOrigins
from walkcart.intent.evacuations import Evacuations
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.registry import Kernel
from walkcart.kernel.spans import OUTPUT_NONE, Tracer
from walkcart.leaves.attempts import Attempt
from walkcart.leaves.coldlimiter import ColdLimiter
from walkcart.leaves.directory import LeafDirectory
from walkcart.leaves.exchange import LinkTools
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.pool import LeafPool
from walkcart.leaves.pooltools import PoolTools
from walkcart.leaves.protocol import LeafStatus
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.membership.registration import Registration
from walkcart.platform.documents import (
    CONFIGURATION_KEY,
    LEAF_PREFIX,
    OPERATOR_PREFIX,
    LeafEntries,
    leaf_entry_differs,
    read_configuration,
    read_evacuated,
)
from walkcart.platform.headers import TEAM
from walkcart.platform.leafprotocol import PlatformLeafProtocol
from walkcart.platform.settings import PlatformSettings
from walkcart.platform.store import PlatformStore
from walkcart.routing.distance import Location
from walkcart.store.backoff import Backoff
from walkcart.store.budget import CallBudget
from walkcart.store.calls import StoreCalls
from walkcart.store.follower import PrefixFollower
from walkcart.store.updates import Update
from walkcart.wire.peers import PeerListener
from walkcart.wire.verdicts import NotRun

#: Share of the store's rate that one instance may use at once; with seven instances
#: that leaves more than half to the others.
STORE_SHARE = 0.05
#: Calls at once after a quiet time: a start reads everything.
STORE_BURST = 40.0
#: A call of the store without a reply after this has failed: it answers in
#: milliseconds, and watches wait on top.
STORE_CALL_TIME = timedelta(seconds=1)
#: Pause after leafs' entries changed: many leafs change theirs at once when they start,
#: and a change may take three seconds to be heeded. Meanwhile the copy ages, and those
#: whom it feeds look for another feeder after 1.3 s.
LEAF_PAUSE = timedelta(seconds=0.8)
#: A configuration that was current longer ago than this is read anew: at six changes a
#: second of 32 KB each a watch would bring more than a small link carries in 0.15 s.
CONFIGURATION_READ_PAST = timedelta(seconds=1)
STORE_FIRST_BACKOFF = timedelta(seconds=0.1)
STORE_LONGEST_BACKOFF = timedelta(seconds=0.8)


def add_base(
    kernel: Kernel, settings: PlatformSettings, around: TenantEnvironment
) -> None:
    """Add log, metrics and spans."""
    kernel.add("events", EventLog(settings.instance, around.clock, around.log))
    kernel.add("metrics", Metrics(None, settings.instance))
    kernel.add("tracer", Tracer(settings.instance, OUTPUT_NONE, 0.0))


def add_store(
    kernel: Kernel,
    settings: PlatformSettings,
    around: TenantEnvironment,
    peers: PeerListener,
) -> None:
    """Add the store and this instance's registration."""
    events = kernel.find("events", EventLog)
    rate = settings.store_rate * STORE_SHARE
    calls = StoreCalls(
        settings.store,
        around.network,
        around.clock,
        CallBudget(rate, STORE_BURST, around.clock),
        events,
        kernel.find("metrics", Metrics),
        kernel.find("tracer", Tracer),
        STORE_CALL_TIME,
    )
    store = PlatformStore(calls)
    started = around.clock.now().isoformat()
    own = InstanceRecord(
        settings.instance,
        started,
        settings.data_centre,
        settings.region,
        str(peers.address),
        settings.cores,
    )
    registration = Registration(
        store, calls, own, around.clock, make_store_backoff(around.random), events
    )
    kernel.add("calls", calls)
    kernel.add("store", store)
    kernel.add("registration", registration)


def make_store_backoff(random: Random) -> Backoff:
    """Return the back-off for calls of the store."""
    return Backoff(STORE_FIRST_BACKOFF, STORE_LONGEST_BACKOFF, random)


def add_intent(
    kernel: Kernel, settings: PlatformSettings, around: TenantEnvironment
) -> None:
    """Add the routing document in force and what follows it."""
    events = kernel.find("events", EventLog)
    regions = frozenset(settings.regions.values())
    metrics = kernel.find("metrics", Metrics)
    keeper = RouteKeeper(around.clock, events, metrics, regions)
    evacuations = Evacuations(events, metrics, frozenset(settings.regions))

    def take(update: Update) -> None:
        # First: whoever acts on the routes must know where nothing may go.
        evacuations.take(read_evacuated(update.items), update.origin)
        item = update.items.get(CONFIGURATION_KEY)
        if item is None or CONFIGURATION_KEY not in update.changed:
            return
        try:
            keeper.apply(read_configuration(item.value), update.origin)
        except msgspec.MsgspecError as error:
            events.emit(Events.ROUTES_BAD, detail=str(error)[:300])

    follower = PrefixFollower(
        kernel.find("store", PlatformStore),
        kernel.find("calls", StoreCalls),
        OPERATOR_PREFIX,
        around.clock,
        make_store_backoff(around.random),
        events,
        take,
        reread_after=CONFIGURATION_READ_PAST,
    )
    kernel.add("keeper", keeper)
    kernel.add("origins", RequestOrigins(keeper, TEAM))
    kernel.add("evacuations", evacuations)
    kernel.add("configuration", follower)


def add_leaves(
    kernel: Kernel, settings: PlatformSettings, around: TenantEnvironment
) -> None:
    """Add the leafs, what follows them, and the pool of links."""
    events = kernel.find("events", EventLog)
    calls = kernel.find("calls", StoreCalls)
    clock = around.clock

    def find_return() -> float:
        return calls.reachable_since if calls.reachable else clock.monotonic()

    directory = LeafDirectory(clock, events, find_return)
    evacuations = kernel.find("evacuations", Evacuations)
    cold = ColdLimiter(
        directory, kernel.find("keeper", RouteKeeper), settings.cold_bound, clock
    )

    def evacuate(names: frozenset[str], ended: frozenset[str]) -> None:
        directory.set_evacuated(names)
        cold.mark_cold(ended)

    evacuations.on_change(evacuate)
    entries = LeafEntries(settings.regions, events)

    def take(update: Update) -> None:
        directory.set_entries(entries.read(update.items, update.changed))

    follower = PrefixFollower(
        kernel.find("store", PlatformStore),
        calls,
        LEAF_PREFIX,
        clock,
        make_store_backoff(around.random),
        events,
        take,
        LEAF_PAUSE,
        leaf_entry_differs,
        fresh_first_read=False,
    )
    pool = make_pool(kernel, settings, around, directory, cold)
    kernel.add("directory", directory)
    kernel.add("cold", cold)
    kernel.add("leaf_entries", follower)
    kernel.add("pool", pool)


def make_pool(
    kernel: Kernel,
    settings: PlatformSettings,
    around: TenantEnvironment,
    directory: LeafDirectory,
    cold: ColdLimiter,
) -> LeafPool:
    """Return the pool of links to leafs."""
    pool: LeafPool | None = None

    def note_status(leaf: Leaf, status: LeafStatus) -> None:
        assert pool is not None
        pool.record_status(leaf, status)

    def admit(leaf: Leaf, attempt: Attempt) -> NotRun | None:
        assert pool is not None
        return pool.access.admit(leaf, attempt)

    link = LinkTools(
        around.network,
        around.clock,
        kernel.find("events", EventLog),
        kernel.find("metrics", Metrics),
        kernel.find("tracer", Tracer),
        note_status,
        PlatformLeafProtocol(),
        admit,
    )
    pool = LeafPool(
        PoolTools(
            directory,
            kernel.find("keeper", RouteKeeper),
            link,
            kernel.find("registration", Registration).count,
            Location(settings.region, settings.data_centre),
            around.random,
            cold,
        )
    )
    return pool
