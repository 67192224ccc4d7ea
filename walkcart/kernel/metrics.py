"""Metrics from a fixed catalogue, sent to statsd and kept for the metrics page.

See Also:
    `walkcart.kernel.exposition`, which renders the page.
    ``docs/METRICS.md``, which a test compares with `CATALOGUE`.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass

from statsd import StatsClient

from walkcart.kernel.settings import HostPort


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric of the catalogue.

    Args:
        kind: ``counter``, ``gauge`` or ``timer``, as in statsd.
        unit: unit of its values.
        help: what it measures.
    """

    kind: str
    unit: str
    help: str


CATALOGUE = {
    "query.answered": Metric("counter", "replies", "Replies with an answer."),
    "query.partial": Metric("counter", "replies", "Answers that miss a shard."),
    "query.refused": Metric("counter", "replies", "Requests refused, not run."),
    "query.unauthenticated": Metric(
        "counter", "requests", "Refused for want of a key that a team has."
    ),
    "query.configuration_old": Metric(
        "counter",
        "requests",
        "Refused for an unknown key while this instance's configuration may be old.",
    ),
    "query.rate_limited": Metric(
        "counter", "requests", "Refused above their team's limit."
    ),
    "query.limit_unknown": Metric(
        "counter", "requests", "Refused while nobody could say what a limit allows."
    ),
    "query.quarantined": Metric(
        "counter", "requests", "Refused since leafs end when they run them."
    ),
    "quarantine.entries": Metric(
        "gauge", "requests", "Remembered since leafs ended under them."
    ),
    "quota.asked": Metric("counter", "asks", "Of accountants of rate limits."),
    "quota.wait": Metric("timer", "ms", "From a request to its team's grant."),
    "quota.shares": Metric("gauge", "shares", "Of rate limits, accounted here."),
    "query.uncertain": Metric("counter", "replies", "Replies 'may have run'."),
    "query.time": Metric("timer", "ms", "From the request's last byte to the reply."),
    "leaf.time": Metric("timer", "ms", "From a request's send to the leaf's reply."),
    "leaf.sent": Metric("counter", "requests", "Requests sent to leaves."),
    "leaf.hedged": Metric("counter", "requests", "Hedges among them."),
    "leaf.regrouped": Metric(
        "counter", "requests", "Late shards asked for together in another region."
    ),
    "leaf.retried": Metric("counter", "requests", "Retries among them."),
    "leaf.ended": Metric("counter", "leafs", "Ended while they had a request."),
    "leaf.failed": Metric("counter", "requests", "Attempts without a usable reply."),
    "leaf.barred": Metric(
        "counter", "requests", "Stopped just before they left: not allowed any more."
    ),
    "leaf.repeat_denied": Metric("counter", "requests", "Repeats past the budget."),
    "leaf.repeat_lent": Metric(
        "counter", "requests", "Repeats of the budget of who asked."
    ),
    "leaf.asked_again": Metric(
        "counter", "requests", "To a leaf that lost its answer to the same question."
    ),
    "leaf.reconnected": Metric(
        "counter",
        "requests",
        "Sent over another connection than the one that carried their refusal.",
    ),
    "leaf.late": Metric("counter", "replies", "Replies that nobody waited for."),
    "leaf.crowded": Metric("counter", "requests", "Waited here for room at a leaf."),
    "leaf.wait": Metric("timer", "ms", "What those waited until they were sent."),
    "room.limit": Metric("gauge", "requests", "Worked on at once; 0 without a limit."),
    "room.refused": Metric("counter", "requests", "Refused: no room here in time."),
    "stop.refused": Metric(
        "counter", "requests", "Refused: they can't end before this instance does."
    ),
    "room.wait": Metric("timer", "ms", "Of requests that waited for room here."),
    "leaf.connections": Metric("gauge", "connections", "Open to leaves."),
    "peer.sent": Metric("counter", "messages", "Messages to peers."),
    "peer.received": Metric("counter", "messages", "Messages from peers."),
    "peer.bytes": Metric("counter", "bytes", "Sent to and received from peers."),
    "peer.dropped": Metric("counter", "messages", "Not sent: outbox full, link lost."),
    "peer.wait": Metric("timer", "ms", "An envelope's oldest message in the outbox."),
    "peer.renewed": Metric("counter", "links", "Made anew: the peer seemed silent."),
    "store.calls": Metric("counter", "calls", "Calls to the key-value service."),
    "store.failed": Metric("counter", "calls", "Those without a usable reply."),
    "claim.granted": Metric("counter", "claims", "Keys claimed."),
    "claim.refused": Metric("counter", "claims", "Keys not claimed."),
    "claim.writes": Metric("counter", "writes", "Bucket writes to the store."),
    "intent.revision": Metric("gauge", "revision", "Configuration in force."),
    "intent.delay": Metric(
        "timer", "ms", "From a version's first reading here or at a feeder to force."
    ),
    "intent.evacuated": Metric(
        "gauge", "data centres", "Whose leafs get nothing, by operators' word."
    ),
    "intent.age": Metric(
        "gauge",
        "s",
        "Since the copies of configuration and leafs were surely complete.",
    ),
    "intent.stale": Metric("gauge", "0 or 1", "Neither store nor peers are reached."),
    "member.live": Metric("gauge", "instances", "Peers held to be live."),
    "invariant.broken": Metric("counter", "times", "A promise doesn't hold: page."),
}


#: Upper bounds of the histograms' buckets, in ms: two for each doubling in the range of
#: the users' latency objectives, from 84 to 860 ms.
BUCKET_BOUNDS = (1, 2, 5, 10, 20, 35, 50, 70, 85, 100, 135, 170, 235, 350, 500, 700)
BUCKET_BOUNDS += (1000, 2000, 5000, 10000)


@dataclass(frozen=True, slots=True)
class Histogram:
    """The distribution of a timer's durations.

    Args:
        counts: number of durations in the bucket of each of `BUCKET_BOUNDS`, and last
            the number of those above all bounds.
        total: sum of the durations, in ms.
    """

    counts: tuple[int, ...]
    total: float


class Metrics:
    """Counters, timers and gauges, sent to statsd over UDP and kept for `read`.

    Args:
        address: address of the statsd server; if None, nothing is sent.
        instance: name of the instance, part of the prefix of all names.
    """

    def __init__(self, address: HostPort | None, instance: str) -> None:
        self._client = (
            StatsClient(
                address.host,
                address.port,
                prefix=f"walkcart.{instance}",
                ipv6=":" in address.host,
            )
            if address
            else None
        )
        self._values: dict[str, float] = dict.fromkeys(CATALOGUE, 0.0)
        self._buckets = {
            name: [0] * (len(BUCKET_BOUNDS) + 1)
            for name, metric in CATALOGUE.items()
            if metric.kind == "timer"
        }
        self._totals = dict.fromkeys(self._buckets, 0.0)

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self._values[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def time(self, name: str, milliseconds: float) -> None:
        """Record a duration of a timer; `read` returns the last one."""
        self._values[name] = milliseconds
        self._buckets[name][bisect_left(BUCKET_BOUNDS, milliseconds)] += 1
        self._totals[name] += milliseconds
        if self._client:
            self._client.timing(name, milliseconds)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._values[name] = value
        if self._client:
            self._client.gauge(name, value)

    def read(self, name: str) -> float:
        """Return a counter's sum, a gauge's value or a timer's last value."""
        return self._values[name]

    def read_histogram(self, name: str) -> Histogram:
        """Return the distribution of a timer's durations."""
        return Histogram(tuple(self._buckets[name]), self._totals[name])

    def all(self) -> dict[str, float]:
        """Return the value of each metric, as `read` does, by name."""
        return dict(self._values)
