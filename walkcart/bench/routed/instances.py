"""One instance of a trial, assembled from walkcart's services for routed requests.

See Also:
    `walkcart.daemon.tenantserving`, which assembles the same for the platform.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from io import StringIO
from random import Random

import trio

from walkcart.bench.routed.emulatedleaf import EmulatedLeaf
from walkcart.bench.routed.emulatedlinks import EmulatedPool, EmulationTools
from walkcart.bench.routed.members import FixedRegistration
from walkcart.bench.routed.policies import Policy
from walkcart.bench.routed.timeline import Timeline
from walkcart.fanout.delegatedgroup import Outcome
from walkcart.fanout.delegationclient import DelegationClient
from walkcart.fanout.delegationserver import DelegationServer
from walkcart.fanout.delegationtools import DelegationTools
from walkcart.fanout.gatheringinstances import GatheringInstances, find_gathering_places
from walkcart.fanout.handover import Handover
from walkcart.fanout.ids import IdSource
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.fanout.merginghandover import MergingHandover
from walkcart.fanout.origins import RequestOrigins
from walkcart.fanout.quarantines import Quarantines
from walkcart.fanout.routed import RoutedGathering
from walkcart.fanout.routedquestion import RoutedAnswer, RoutedQuestion
from walkcart.fanout.routedtools import RoutedTools
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.routes import RoutingDocument
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort
from walkcart.kernel.spans import OUTPUT_NONE, Tracer
from walkcart.leaves.attempts import Attempt
from walkcart.leaves.directory import LeafDirectory, LeafEntry
from walkcart.leaves.exchange import LinkTools
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.pooltools import PoolTools
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.membership.links import PeerLinks
from walkcart.routing.distance import Distance, Location, measure_distance
from walkcart.routing.eligibility import ALL_REGIONS, Regions
from walkcart.routing.peerchoice import PeerStats
from walkcart.routing.quarantine import Quarantine
from walkcart.routing.repeats import RepeatBudget, RepeatLimits
from walkcart.standins.memory import MemoryNetwork
from walkcart.store.updates import Origin

#: One-way latency in seconds by distance, as the users state for smaller deployments.
ONE_WAY_LATENCIES = {
    Distance.SAME_DATA_CENTRE: 0.0002,
    Distance.SAME_REGION: 0.0005,
    Distance.OTHER_REGION: 0.008,
}
#: Limits on repeats over all instances, as the users state for smaller deployments.
REPEAT_LIMITS = RepeatLimits(0.2, 10.0, 54.0)
NO_REPEATS = RepeatLimits(0.0, 10.0, 0.0)


@dataclass(frozen=True, slots=True)
class TrialEnvironment:
    """What the instances of a trial share.

    Args:
        network: the network between the instances.
        timeline: schedules the events of the leaves.
        leafs: the emulated leaves by id.
        records: the records of the instances by name.
        document: the routing document in force at all instances.
        work_of: returns the mean work time of an attempt in seconds.
        policy: the policy of all instances.
    """

    network: MemoryNetwork
    timeline: Timeline
    leafs: dict[str, EmulatedLeaf]
    records: dict[str, InstanceRecord]
    document: RoutingDocument
    work_of: Callable[[Attempt], float]
    policy: Policy


class TrialPool(EmulatedPool):
    """The pool of walkcart with the changes that a policy makes.

    Args:
        tools: the tools of walkcart's pool.
        emulation: the tools of the emulated links.
        policy: says which mechanisms are switched off.
        random: chooses leaves if the policy chooses at random.
    """

    def __init__(
        self,
        tools: PoolTools,
        emulation: EmulationTools,
        policy: Policy,
        random: Random,
    ) -> None:
        super().__init__(tools, emulation)
        self._policy = policy
        self._random = random

    def choose(
        self,
        service: str,
        kind: str,
        without: frozenset[str],
        objective: float,
        now: float,
        regions: Regions = ALL_REGIONS,
    ) -> Leaf | None:
        """Return the leaf for the next request."""
        if self._policy.choose:
            return super().choose(service, kind, without, objective, now, regions)
        leaves = self.leaves_of(service, regions)
        left = [item for item in leaves if item.id not in without]
        return self._random.choice(left) if left else None

    def has_room(self, leaf: Leaf, attempt: Attempt) -> bool:
        """Return whether a leaf may be sent an attempt now."""
        return not self._policy.room or self.room.has_room(leaf, attempt)

    def _note_failure(self, leaf: Leaf, now: float, lost: bool = False) -> None:
        super()._note_failure(leaf, now, lost)
        if not self._policy.eject:
            leaf.ejection.record_success()

    def _account(self, leaf, attempt, kind, outcome) -> None:
        super()._account(leaf, attempt, kind, outcome)
        if not self._policy.good_share:
            leaf.replies = type(leaf.replies)()


class TrialInstance:
    """One instance of a trial; `start` runs its services.

    Args:
        record: the record of this instance, with its name and place.
        environment: what the instances share.
        random: draws all random decisions of the instance.
    """

    def __init__(
        self, record: InstanceRecord, environment: TrialEnvironment, random: Random
    ) -> None:
        self.record = record
        self.place = Location(record.region, record.data_centre)
        clock = TrioClock()
        self.events = EventLog(record.name, clock, StringIO())
        self.metrics = Metrics(None, record.name)
        self.keeper = RouteKeeper(clock, self.events, self.metrics)
        self.keeper.apply(environment.document, Origin())
        self.origins = RequestOrigins(self.keeper, b"team")
        self.directory = LeafDirectory(clock, self.events, lambda: float("-inf"))
        registration = FixedRegistration(record, environment.records)
        tracer = Tracer(record.name, OUTPUT_NONE, 0.0)
        link_tools = LinkTools(
            environment.network.at(record.data_centre),
            clock,
            self.events,
            self.metrics,
            tracer,
            lambda leaf, status: None,
        )
        pool_tools = PoolTools(
            self.directory,
            self.keeper,
            link_tools,
            registration.count,
            self.place,
            random,
        )
        emulation = EmulationTools(
            environment.leafs,
            environment.timeline,
            self._find_latency,
            environment.work_of,
        )
        self.pool = TrialPool(pool_tools, emulation, environment.policy, random)
        self._environment = environment
        self._registration = registration
        self._random = random
        self._clock = clock
        self.tracer = tracer

    def _find_latency(self, leaf: EmulatedLeaf) -> float:
        return ONE_WAY_LATENCIES[measure_distance(leaf.place, self.place)]

    def update_directory(self) -> None:
        """Update the directory to the leaves that exist now."""
        self.directory.set_entries(
            LeafEntry(
                leaf.id,
                leaf.service,
                leaf.id,
                leaf.place.data_centre,
                leaf.place.region,
                leaf.shape.slots,
                leaving=False,
            )
            for leaf in self._environment.leafs.values()
            if not leaf.faults.gone
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the services in `nursery` and open the links to the other instances."""
        environment, record = self._environment, self.record
        site = environment.network.at(record.data_centre)
        host, _, port = record.peer_address.partition(":")
        transport = site.transport()
        listener = await transport.listen(HostPort(host, int(port)))
        links = PeerLinks(
            listener, transport, self._registration, self.events, self.metrics
        )
        life = self._random.getrandbits(32)
        tools = DelegationTools(
            links,
            self._registration,
            PeerStats(),
            IdSource("", life),
            self._clock,
            self._random,
            self.events,
            self._make_gathering_instances(),
        )
        delegates = DelegationClient(tools)
        limits = REPEAT_LIMITS if environment.policy.repeat else NO_REPEATS
        quarantines = Quarantines(
            Quarantine(),
            self._clock,
            record.name,
            self.events,
            self.metrics,
        )
        self.gathering = RoutedTools(
            self.pool,
            RepeatBudget(limits, self._clock.monotonic()),
            self._registration.count,
            IdSource(record.name, life),
            self._clock,
            self.metrics,
            self.events,
            self.place,
            self._random,
            quarantines,
            delegates if environment.policy.delegate else None,
        )
        carrier = DelegationServer(
            links,
            self._clock,
            self._gather,
            self._find_high_latency,
            self.events,
            quarantines,
            self.origins,
        )
        for service in (links, self.pool, delegates, carrier):
            await nursery.start(service.run)
        delegates.open_links()

    def _make_gathering_instances(self) -> GatheringInstances:
        gathering_instances = GatheringInstances(
            self._registration,
            self._clock,
            lambda: find_gathering_places(self.keeper.table, self.directory),
        )
        self.directory.on_change(gathering_instances.invalidate_places)
        self.pool.set_gathering(gathering_instances)
        return gathering_instances

    async def _gather(
        self, question: RoutedQuestion, top: int, handover: Handover
    ) -> Outcome:
        question = replace(question, rank=self.keeper.table.find_rank(question.kind))
        merging = MergingHandover(handover, merge_parts)
        gathering = RoutedGathering(self.gathering, question, handover=merging)
        return (await gathering.run()).map(merge_parts)

    def _find_high_latency(self, kind: str) -> float:
        times = self.pool.times_of(kind, Distance.SAME_DATA_CENTRE)
        return times.high(self._clock.monotonic())


def merge_parts(answer: RoutedAnswer) -> MergedAnswer:
    """Merge an answer; each part's proof is the name of its service."""
    proofs = tuple(service.encode() for service, _ in answer.replies)
    proofs += tuple(proof for part in answer.merged for proof in part.proofs)
    return MergedAnswer(b"", proofs, answer.missing, answer.sent, answer.repeats)
