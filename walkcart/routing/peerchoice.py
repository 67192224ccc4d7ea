"""Chooses the peer instance that gathers the next question for this one.

The first peer in order of preference is chosen, unless another one is expected to be
much faster. Peers that recently failed to answer are left out. The expected time of a
peer is its average time, which grows with the questions of this instance that it
already has, plus the processor time of those questions. The average shows little of
that processor time, since most answers wait for the slowest leaf.

Examples:
    >>> stats, work = PeerStats(), {"a": 0.01, "b": 0.01}
    >>> stats.record_answer("a", 1.0, 0.05)
    >>> stats.record_answer("b", 1.0, 0.2)
    >>> stats.choose(["b", "a"], 1.1, work)
    'a'
    >>> stats.record_timeout("a", 1.2)
    >>> stats.choose(["b", "a"], 1.3, work)
    'b'
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from walkcart.routing.latency import DecayedLatency

#: Expected time of a peer without observations, in seconds.
FIRST_TIME = 0.1
#: Timeout for the message that a question was accepted, in round trips to the peer. It
#: stays within the bounds below, in seconds. The lower bound covers a busy event loop.
#: The upper one is half of the shortest objective of the users' requests, or a share of
#: the time that the question has if that is longer: busy machines of an eighth of a
#: core need 70 to 160 ms.
TIMEOUT_ROUND_TRIPS = 2.5
MIN_TIMEOUT = 0.03
BASE_MAX_TIMEOUT = 0.06
TIMEOUT_SHARE = 0.25
#: Upper bound however much time a question has, in seconds: a peer gives up a question
#: that isn't renewed for 0.4 s, and renewals begin when it was accepted.
MAX_TIMEOUT = 0.3
#: Factor by which the expected round trip grows with each timeout.
TIMEOUT_FACTOR = 1.5
#: First backoff after a timeout and its upper bound, in seconds; it doubles each time.
FIRST_BACKOFF = 0.5
MAX_BACKOFF = 4.0
#: Seconds between two greetings to a silent peer: a fifth of what callers with the
#: shortest objective wait for, so that a peer that is back is used soon.
GREETING_INTERVAL = 0.2
#: Share of the expected time that each question in progress adds to it.
TIME_PER_QUESTION = 0.1
#: A group goes to another peer than its first one only if the first one is expected to
#: take this many times as long. A peer that keeps getting the same services learns
#: three times as soon which of their leaves are slow, and has connections to them.
SWITCH_FACTOR = 1.25
#: Weight of a new round trip, and the round trip before any observation, in seconds.
ROUND_TRIP_WEIGHT = 0.2
FIRST_ROUND_TRIP = 0.02


@dataclass(slots=True)
class _Peer:
    """The observations of one peer.

    Args:
        time: average time from a question to its answer.
        in_progress: number of questions that this instance waits for.
        heard_at: when it was last heard from, in seconds.
        backoff_until: when its backoff ends, in seconds.
        silence: its next backoff, in seconds.
        unheard: whether it wasn't heard from since its last timeout.
        greeted_at: when it was last sent a greeting, in seconds.
        round_trip: expected round trip to it, in seconds.
    """

    time: DecayedLatency
    in_progress: int = 0
    heard_at: float = float("-inf")
    backoff_until: float = float("-inf")
    silence: float = FIRST_BACKOFF
    unheard: bool = False
    greeted_at: float = float("-inf")
    round_trip: float = FIRST_ROUND_TRIP


class PeerStats:
    """Records the response times and timeouts of the peers, and chooses by them."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    def choose(
        self, names: Sequence[str], now: float, work: Mapping[str, float]
    ) -> str | None:
        """Return the peer for the next question, or None when none may get it.

        Args:
            names: names of the peers, in order of preference.
            now: current time, in seconds.
            work: processor time of the question at each peer, in seconds.
        """
        usable = [
            name
            for name in names
            if self._peer(name).backoff_until <= now and not self._peer(name).unheard
        ]
        if not usable:
            return None
        times = {name: self._estimate_time(name, now, work[name]) for name in usable}
        fastest = min(times.values())
        return next(name for name in usable if times[name] <= SWITCH_FACTOR * fastest)

    def find_peers_to_greet(self, names: Sequence[str], now: float) -> list[str]:
        """Return the silent peers to which a greeting is due, since they may be back.

        No question waits for the answer to a greeting. Without greetings, an instance
        with a question only every few seconds would send each of them to a silent peer
        after the loss of a data centre, and lose time: the backoff is over by then.

        Args:
            names: names of the peers that may be used.
            now: current time, in seconds.
        """
        found = []
        for name in names:
            peer = self._peer(name)
            due = max(peer.backoff_until, peer.greeted_at + GREETING_INTERVAL)
            if peer.unheard and due <= now:
                peer.greeted_at = now
                found.append(name)
        return found

    def record_sent(self, name: str, now: float) -> None:
        """Record that a question was sent to a peer."""
        self._peer(name).in_progress += 1

    def record_ended(self, name: str) -> None:
        """Record that this instance no longer waits for a question."""
        self._peer(name).in_progress -= 1

    def record_accepted(self, name: str, now: float, elapsed: float) -> None:
        """Record that a question was accepted, `elapsed` seconds after it was sent."""
        peer = self._peer(name)
        peer.heard_at = now
        peer.unheard = False
        peer.round_trip += ROUND_TRIP_WEIGHT * (elapsed - peer.round_trip)

    def record_answer(self, name: str, now: float, elapsed: float) -> None:
        """Record an answer, `elapsed` seconds after the question was sent."""
        peer = self._peer(name)
        peer.heard_at = now
        peer.unheard = False
        peer.time.observe(now, elapsed)
        peer.silence = FIRST_BACKOFF

    def record_timeout(self, name: str, now: float) -> None:
        """Record that a peer didn't answer in time.

        It gets no question until it is heard from, and none during its backoff.
        """
        peer = self._peer(name)
        peer.unheard = True
        limit = MAX_TIMEOUT / TIMEOUT_ROUND_TRIPS
        peer.round_trip = min(limit, peer.round_trip * TIMEOUT_FACTOR)
        peer.backoff_until = now + peer.silence
        peer.silence = min(MAX_BACKOFF, peer.silence * 2)

    def record_greeting(self, name: str) -> None:
        """Record a greeting from a peer, which has likely just started."""
        peer = self._peer(name)
        peer.backoff_until = float("-inf")
        peer.silence = FIRST_BACKOFF
        peer.unheard = False

    def last_heard_at(self, name: str) -> float:
        """Return when a peer was last heard from, in seconds; -inf if never."""
        return self._peer(name).heard_at

    def round_trip(self, name: str) -> float:
        """Return the expected round trip to a peer, in seconds."""
        return self._peer(name).round_trip

    def acceptance_timeout(self, name: str, time: float) -> float:
        """Return the timeout for the acceptance of a question, in seconds.

        Args:
            name: name of the peer that was asked.
            time: time that the question has, in seconds.
        """
        peer = self._peer(name)
        max_timeout = min(MAX_TIMEOUT, max(BASE_MAX_TIMEOUT, TIMEOUT_SHARE * time))
        if peer.heard_at == float("-inf"):
            # Its round trip isn't known yet.
            return max_timeout
        wanted = TIMEOUT_ROUND_TRIPS * peer.round_trip
        return min(max_timeout, max(MIN_TIMEOUT, wanted))

    def _estimate_time(self, name: str, now: float, work: float) -> float:
        peer = self._peer(name)
        time = peer.time.estimate(now, FIRST_TIME)
        time *= 1.0 + TIME_PER_QUESTION * peer.in_progress
        return time + work * (1 + peer.in_progress)

    def _peer(self, name: str) -> _Peer:
        if name not in self._peers:
            self._peers[name] = _Peer(DecayedLatency())
        return self._peers[name]
