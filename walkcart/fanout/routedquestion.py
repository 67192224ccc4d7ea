"""A routed request as the fan-out takes it, and how it ended."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.fanout.lentrepeats import LentRepeats
from walkcart.fanout.mergedanswer import MergedAnswer, MissingPart
from walkcart.intent.teams import Grant
from walkcart.leaves.attempts import Replied
from walkcart.routing.eligibility import ALL_REGIONS, Regions
from walkcart.wire.http import HttpRequest
from walkcart.wire.verdicts import MayHaveRun, NotRun


@dataclass(frozen=True, slots=True)
class RoutedQuestion:
    """A caller's request that goes to one leaf of each of some services.

    Args:
        id: of the request, as the caller gave it.
        kind: names requests that take alike, for their usual time.
        request: what each leaf gets.
        services: a single one, or the shards.
        deadline: on the kernel's monotonic clock, in seconds.
        objective_at: when an answer begins to lose value, on that clock; infinite
            when it doesn't.
        least_coverage: share of the services that an answer must cover.
        idempotent: whether it may run more than once at a service.
        most_attempts: leafs that may run it, for each service.
        success_only: whether only successes count, as over many shards.
        first_only: whether no service gets an attempt beside, or after, one that may
            have run, until whoever asked is known to leave the others to this instance.
        settle_at: when late parts are asked for in another region, all together; on
            that clock, infinite when each is asked for by itself.
        granted: whether the budgets of repeats already hold the first attempts.
        traceparent: of the trace.
        fingerprint: of the request (`walkcart.wire.fingerprint`).
        careful: whether one leaf is to answer before others are asked.
        regions: that it may be served in, by the configuration of who admitted it.
        team: name of the team that asks; empty where requests need no key.
        rank: 0 is the most urgent: its team's, else its route's.
        grant: by what it was let in; None where that isn't looked at.
        fair_coverage: share of the services by which repeats are judged, where that is
            more than an answer must cover.
        lent: repeats that whoever asked lends.
    """

    id: str
    kind: str
    request: HttpRequest
    services: tuple[str, ...]
    deadline: float
    objective_at: float = float("inf")
    least_coverage: float = 1.0
    idempotent: bool = True
    most_attempts: int = 1
    success_only: bool = False
    first_only: bool = False
    settle_at: float = float("inf")
    granted: bool = False
    traceparent: str | None = None
    fingerprint: bytes = b""
    careful: bool = False
    regions: Regions = ALL_REGIONS
    team: str = ""
    rank: int = 0
    grant: Grant | None = None
    fair_coverage: float = 0.0
    lent: LentRepeats | None = None


@dataclass(frozen=True, slots=True)
class RoutedAnswer:
    """Replies of as many services as came in time.

    Args:
        replies: by service.
        merged: parts that other instances gathered.
        asked: number of services.
        missing: the others.
        sent: requests that went to leafs.
        repeats: those among them that were not the first to their service.
    """

    replies: tuple[tuple[str, Replied], ...]
    merged: tuple[MergedAnswer, ...]
    asked: int
    missing: tuple[MissingPart, ...]
    sent: int
    repeats: int


@dataclass(frozen=True, slots=True)
class RoutedFailure:
    """Too few services replied.

    Args:
        verdict: whether the request may have run, and why there is no answer.
        reply: of a leaf that answered with a failure, to pass on; None without one.
        sent: requests that went to leafs.
        missing: services without a reply.
    """

    verdict: NotRun | MayHaveRun
    reply: Replied | None = None
    sent: int = 0
    missing: tuple[MissingPart, ...] = ()
