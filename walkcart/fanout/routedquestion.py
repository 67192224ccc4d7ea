"""Input and outcome of the fan-out of one routed request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
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
    """A caller's request that goes to one leaf of each of its services.

    Args:
        id: the caller's id of the request.
        kind: name under which the times of similar requests are learned.
        request: the HTTP request that each leaf gets.
        services: names of the services: a single one, or the shards.
        deadline: time on the kernel's monotonic clock, in seconds.
        objective_at: time on that clock from which an answer loses value; infinite
            without an objective.
        least_coverage: share of the services that an answer must cover.
        idempotent: whether the request may run more than once at a service.
        most_attempts: maximum number of leaves of each service that may run it.
        success_only: whether only success statuses count as a part of the answer, as
            for requests over many shards.
        await_confirmation: whether a service whose first attempt may have run gets no
            other one until the asking instance confirms that it leaves the repeats to
            this instance.
        settle_at: time on that clock at which all late parts are requested together
            in another region; infinite where each is requested by itself.
        granted: whether the repeat budgets already account for the first attempts.
        traceparent: W3C trace context of the caller's trace.
        fingerprint: fingerprint of the request (`walkcart.wire.fingerprint`).
        careful: whether one leaf must answer before the others are asked.
        regions: regions that may serve the request, by the configuration of the
            instance that admitted it.
        team: name of the team that asks; empty where requests need no key.
        rank: priority of the team, else of the route; 0 is the most urgent.
        grant: the permission that admitted the request and must stay in force; None
            where this isn't checked.
        fair_coverage: share of the services that decides which repeats are vital,
            where it is more than `least_coverage`.
        lent: repeats that the asking instance lends.
        is_wanted: returns whether the asking instance still wants the answer; None
            where a caller asks, whose presence `RoutedGathering` checks.
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
    await_confirmation: bool = False
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
    is_wanted: Callable[[], Awaitable[bool]] | None = None


@dataclass(frozen=True, slots=True)
class RoutedAnswer:
    """The replies that arrived in time.

    Args:
        replies: service names with their replies.
        merged: merged parts that other instances gathered.
        asked: number of services that were asked.
        missing: services without a part.
        sent: number of requests that went to leaves.
        repeats: number of those that were not the first to their service.
    """

    replies: tuple[tuple[str, Replied], ...]
    merged: tuple[MergedAnswer, ...]
    asked: int
    missing: tuple[MissingPart, ...]
    sent: int
    repeats: int


@dataclass(frozen=True, slots=True)
class RoutedFailure:
    """The failure of a question to which too few services replied.

    Args:
        verdict: whether the request may have run, and why there is no answer.
        reply: a leaf's failure reply to pass on to the caller; None without one.
        sent: number of requests that went to leaves.
        missing: services without a reply.
    """

    verdict: NotRun | MayHaveRun
    reply: Replied | None = None
    sent: int = 0
    missing: tuple[MissingPart, ...] = ()
