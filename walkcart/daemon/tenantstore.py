"""Assembles the services that follow the shared store: routes and leaves.

See Also:
    `walkcart.daemon.tenant.assemble_tenant`, which assembles all services.
"""

from __future__ import annotations

from datetime import timedelta
from random import Random

from walkcart.daemon.environment import TenantEnvironment
from walkcart.fanout.origins import RequestOrigins
from walkcart.intent.evacuations import Evacuations
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.kernel.decoding import BadData
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
from walkcart.membership.instancerecord import InstanceRecord, bound_cores
from walkcart.membership.registration import Registration
from walkcart.platform.documents import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    read_configuration,
    read_evacuated,
)
from walkcart.platform.headers import TEAM
from walkcart.platform.leafentries import (
    LEAF_PREFIX,
    LeafEntries,
    leaf_entry_differs,
)
from walkcart.platform.leafprotocol import PlatformLeafProtocol
from walkcart.platform.settings import PlatformSettings
from walkcart.platform.store import PlatformStore
from walkcart.routing.distance import Location
from walkcart.store.backoff import Backoff
from walkcart.store.budget import CallBudget
from walkcart.store.calls import StoreCalls
from walkcart.store.follower import PrefixFollower
from walkcart.store.updates import Update
from walkcart.wire.bodies import MemoryBudget
from walkcart.wire.peers import PeerListener
from walkcart.wire.verdicts import NotRun

#: Share of the store's maximum rate that one instance may use. Seven instances together
#: leave more than half to the other clients.
STORE_SHARE = 0.05
#: Calls that may be made at once after an idle time; a start needs them to read
#: everything.
STORE_BURST = 40.0
#: Time without a reply after which a call to the store has failed. The store answers
#: within milliseconds; the wait of a watch is added.
STORE_CALL_TIMEOUT = timedelta(seconds=1)
#: Liveness reports of a leaf that an outage of the store must cover for its entry to
#: lapse. An entry outlives two missed reports; reports are not quite regular.
LAPSE_REPORTS = 1.5
#: Largest entry of a leaf, in bytes; a leaf's own has some hundred. Other programs may
#: store longer ones, as many as they like.
MAX_ENTRY_BYTES = 65536
#: Pause after a change of leaves' entries. It batches the changes of many leaves that
#: start together; a change may take three seconds to be in force. The pause must be
#: below 1.3 s: instances that are fed from this copy switch to another feeder when it
#: is older than that.
LEAF_UPDATE_PAUSE = timedelta(seconds=0.8)
#: A copy of the configuration that was last current longer ago than this is read in
#: full, not watched from its revision: with six changes of 32 KB per second, such a
#: watch would return more than a small link carries in 0.15 s.
CONFIGURATION_REREAD_AGE = timedelta(seconds=1)
STORE_MIN_BACKOFF = timedelta(seconds=0.1)
STORE_MAX_BACKOFF = timedelta(seconds=0.8)


def add_base(
    kernel: Kernel, settings: PlatformSettings, environment: TenantEnvironment
) -> None:
    """Add the event log, metrics and spans."""
    kernel.add(
        "events", EventLog(settings.instance, environment.clock, environment.log)
    )
    kernel.add("metrics", Metrics(None, settings.instance))
    kernel.add("tracer", Tracer(settings.instance, OUTPUT_NONE, 0.0))


def add_store(
    kernel: Kernel,
    settings: PlatformSettings,
    environment: TenantEnvironment,
    peers: PeerListener,
) -> None:
    """Add the store's client and the registration of this instance."""
    events = kernel.find("events", EventLog)
    rate = settings.store_rate * STORE_SHARE
    calls = StoreCalls(
        settings.store,
        environment.network,
        environment.clock,
        CallBudget(rate, STORE_BURST, environment.clock),
        events,
        kernel.find("metrics", Metrics),
        kernel.find("tracer", Tracer),
        STORE_CALL_TIMEOUT,
        settings.report_interval * LAPSE_REPORTS,
    )
    store = PlatformStore(calls)
    started = environment.clock.now().isoformat()
    own = InstanceRecord(
        settings.instance,
        started,
        settings.data_centre,
        settings.region,
        str(peers.address),
        bound_cores(settings.cores),
    )
    registration = Registration(
        store,
        calls,
        own,
        environment.clock,
        make_store_backoff(environment.random),
        events,
    )
    kernel.add("calls", calls)
    kernel.add("store", store)
    kernel.add("registration", registration)


def make_store_backoff(random: Random) -> Backoff:
    """Return the back-off for calls to the store."""
    return Backoff(STORE_MIN_BACKOFF, STORE_MAX_BACKOFF, random)


def add_intent(
    kernel: Kernel, settings: PlatformSettings, environment: TenantEnvironment
) -> None:
    """Add the routing document in force and the services that keep it current."""
    events = kernel.find("events", EventLog)
    regions = frozenset(settings.regions.values())
    metrics = kernel.find("metrics", Metrics)
    keeper = RouteKeeper(environment.clock, events, metrics, regions)
    evacuations = Evacuations(events, metrics, frozenset(settings.regions))

    def apply_update(update: Update) -> None:
        # Before the routes, whose listeners must know the evacuated data centres.
        evacuations.update(read_evacuated(update.items), update.origin)
        item = update.items.get(CONFIGURATION_KEY)
        if item is None or CONFIGURATION_KEY not in update.changed:
            return
        try:
            keeper.apply(read_configuration(item.value), update.origin)
        except BadData as error:
            events.emit(Events.ROUTES_BAD, detail=str(error)[:300])

    follower = PrefixFollower(
        kernel.find("store", PlatformStore),
        kernel.find("calls", StoreCalls),
        OPERATOR_PREFIX,
        environment.clock,
        make_store_backoff(environment.random),
        events,
        apply_update,
        reread_after=CONFIGURATION_REREAD_AGE,
    )
    kernel.add("keeper", keeper)
    kernel.add("origins", RequestOrigins(keeper, TEAM))
    kernel.add("evacuations", evacuations)
    kernel.add("configuration", follower)


def add_leaves(
    kernel: Kernel, settings: PlatformSettings, environment: TenantEnvironment
) -> None:
    """Add the directory of leaves, the copy of their entries and the link pool."""
    events = kernel.find("events", EventLog)
    calls = kernel.find("calls", StoreCalls)
    clock = environment.clock

    directory = LeafDirectory(clock, events, calls.find_return_time)
    evacuations = kernel.find("evacuations", Evacuations)
    cold = ColdLimiter(
        directory, kernel.find("keeper", RouteKeeper), settings.cold_bound, clock
    )

    def apply_evacuations(evacuated: frozenset[str], ended: frozenset[str]) -> None:
        directory.set_evacuated(evacuated)
        cold.mark_cold(ended)

    evacuations.on_change(apply_evacuations)
    entries = LeafEntries(settings.regions, events)

    def apply_update(update: Update) -> None:
        directory.set_entries(entries.read(update.items, update.changed))

    follower = PrefixFollower(
        kernel.find("store", PlatformStore),
        calls,
        LEAF_PREFIX,
        clock,
        make_store_backoff(environment.random),
        events,
        apply_update,
        LEAF_UPDATE_PAUSE,
        leaf_entry_differs,
        fresh_first_read=False,
        max_value=MAX_ENTRY_BYTES,
    )
    pool = make_pool(kernel, settings, environment, directory, cold)
    kernel.add("directory", directory)
    kernel.add("cold", cold)
    kernel.add("leaf_entries", follower)
    kernel.add("pool", pool)


def make_pool(
    kernel: Kernel,
    settings: PlatformSettings,
    environment: TenantEnvironment,
    directory: LeafDirectory,
    cold: ColdLimiter,
) -> LeafPool:
    """Return the pool of links to leaves."""
    pool: LeafPool | None = None

    def record_status(leaf: Leaf, status: LeafStatus) -> None:
        assert pool is not None
        pool.record_status(leaf, status)

    def admit(leaf: Leaf, attempt: Attempt) -> NotRun | None:
        assert pool is not None
        return pool.access.admit(leaf, attempt)

    link = LinkTools(
        environment.network,
        environment.clock,
        kernel.find("events", EventLog),
        kernel.find("metrics", Metrics),
        kernel.find("tracer", Tracer),
        record_status,
        PlatformLeafProtocol(),
        admit,
        MemoryBudget(settings.memory.replies),
    )
    pool = LeafPool(
        PoolTools(
            directory,
            kernel.find("keeper", RouteKeeper),
            link,
            kernel.find("registration", Registration).count,
            Location(settings.region, settings.data_centre),
            environment.random,
            cold,
        )
    )
    return pool
