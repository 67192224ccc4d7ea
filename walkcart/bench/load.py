"""Open-loop load: slow answers don't reduce the rate of questions."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random

import trio
from hdrh.histogram import HdrHistogram

from walkcart.bench.caller import Caller, RequestResult, find_violations
from walkcart.kernel.settings import HostPort
from walkcart.standins.balancer import BalancerStandin

#: Microseconds per second.
MICROSECONDS = 1_000_000
#: Largest latency that the histogram records, in microseconds.
MAX_LATENCY = 60 * MICROSECONDS


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """The questions that a load consists of.

    Args:
        service: the service that gets the questions.
        rate: questions per second.
        seconds: duration of the load.
        warm_up: seconds at the start that aren't measured.
        partners: the partners that take turns; repeated ones have more weight.
        headers: the headers of each question.
    """

    service: str
    rate: float
    seconds: float
    warm_up: float
    partners: tuple[str, ...]
    headers: tuple[tuple[bytes, bytes], ...] = ()


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY, 3)


@dataclass(slots=True)
class Tally:
    """The results of the questions after the warm-up."""

    latencies: HdrHistogram = field(default_factory=make_histogram)
    outcomes: Counter[str] = field(default_factory=Counter)
    by_partner: Counter[str] = field(default_factory=Counter)
    violations: Counter[str] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    shards_asked: int = 0
    shards_answered: int = 0
    leaf_requests: int = 0
    timeline: list[tuple[float, float, str]] = field(default_factory=list)

    def quantile(self, share: float) -> float:
        """Return a quantile of the answers' latency, in milliseconds."""
        return self.latencies.get_value_at_percentile(share * 100) / 1000

    @property
    def extra_load(self) -> float:
        """Leaf requests per shard asked, minus one."""
        return self.leaf_requests / self.shards_asked - 1 if self.shards_asked else 0.0

    @property
    def coverage(self) -> float:
        """Fraction of the asked shards that answered, over all answers."""
        return self.shards_answered / self.shards_asked if self.shards_asked else 0.0

    def add(self, asked: RequestResult, partner: str, query: object, at: float) -> None:
        """Add the result of the question sent `at` seconds after the start."""
        name = classify_outcome(asked)
        self.outcomes[name] += 1
        self.timeline.append((at, asked.elapsed, name))
        for violation in find_violations(asked, partner, query):
            self.violations[violation] += 1
        if asked.status != 200:
            title = asked.content.get("title", "") if asked.content else "no reply"
            self.reasons[title] += 1
            return
        self.by_partner[partner] += 1
        self.latencies.record_value(max(1, int(asked.elapsed * MICROSECONDS)))
        coverage = asked.content["coverage"]
        self.shards_asked += coverage["asked"]
        self.shards_answered += len(coverage["answered"])
        self.leaf_requests += int(asked.headers[b"walkcart-leaf-requests"])


def classify_outcome(asked: RequestResult) -> str:
    """Return the outcome: complete, partial, refused, uncertain or lost."""
    if asked.status == 200:
        return "complete" if asked.content["coverage"]["complete"] else "partial"
    if asked.status == 0:
        return "lost"
    return "refused" if asked.verdict == "not_run" else "uncertain"


class LoadGenerator:
    """Sends the questions of a plan through a balancer.

    Args:
        plan: the questions and their rate.
        balancer: chooses the instance for each question.
        callers: the callers by partner.
        random: draws the arrival times.
    """

    def __init__(
        self,
        plan: LoadPlan,
        balancer: BalancerStandin,
        callers: dict[str, Caller],
        random: Random,
    ) -> None:
        self._plan = plan
        self._balancer = balancer
        self._callers = callers
        self._random = random
        self.tally = Tally()

    async def run(self) -> Tally:
        """Send all questions and wait for their outcomes."""
        start = trio.current_time()
        at = 0.0
        number = 0
        async with trio.open_nursery() as nursery:
            while at < self._plan.seconds:
                await trio.sleep_until(start + at)
                partner = self._plan.partners[number % len(self._plan.partners)]
                measured = at >= self._plan.warm_up
                nursery.start_soon(self._send_question, partner, number, at, measured)
                number += 1
                at += self._random.expovariate(self._plan.rate)
        return self.tally

    async def _send_question(
        self, partner: str, number: int, at: float, measured: bool
    ) -> None:
        address: HostPort | None = self._balancer.choose()
        query = {"question": number}
        if address is None:
            asked = RequestResult(0, 0.0, sent=False)
        else:
            asked = await self._callers[partner].query(
                address, self._plan.service, query, self._plan.headers
            )
        if measured:
            self.tally.add(asked, partner, query, at)
