"""Which other instance gathers the next question for this one.

It is the first of those that are wanted for it, unless another is expected to be much
faster, among those that answered of late or that nothing bad is known of. Expected is
its average time, times the questions of this instance that it has already, and the time
for which they keep its processor: its average shows little of that, since most answers
wait for the slowest leaf.

Examples:
    >>> accounts, work = PeerStats(), {"a": 0.01, "b": 0.01}
    >>> accounts.record_answer("a", 1.0, 0.05)
    >>> accounts.record_answer("b", 1.0, 0.2)
    >>> accounts.choose(["b", "a"], 1.1, work)
    'a'
    >>> accounts.record_timeout("a", 1.2)
    >>> accounts.choose(["b", "a"], 1.3, work)
    'b'
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from walkcart.routing.latency import DecayedLatency

#: Expected seconds of an instance that nothing is known of.
FIRST_TIME = 0.1
#: Seconds to wait for the word that a question was taken: so many round trips, within
#: these bounds. The lower one covers a busy event loop; the upper one is half of the
#: shortest objective of the users' requests, or a share of the time that a question has
#: if that is longer: busy machines of an eighth of a core need 70 to 160 ms.
TAKEN_ROUND_TRIPS = 2.5
LEAST_PATIENCE = 0.03
LONGEST_PATIENCE = 0.06
PATIENCE_SHARE = 0.25
#: However much time a question has: an instance gives up what isn't renewed for 0.4 s,
#: and renewals begin with that word.
MOST_PATIENCE = 0.3
#: Factor by which the expected round trip grows with each word that didn't come.
LOST_FACTOR = 1.5
#: Seconds for which an instance that stayed silent gets nothing; doubles each time.
FIRST_SILENCE = 0.5
LONGEST_SILENCE = 4.0
#: Seconds between two greetings of one that stayed silent: a fifth of what callers of
#: the shortest objective wait for, so that one that is back is asked soon.
GREETING_PAUSE = 0.2
#: How much each question in progress adds to the expected time, as a share of it.
PER_QUESTION = 0.1
#: Another instance than the first of those for a group gets it only if that one is
#: expected to take this many times as long: the same one keeps getting the same
#: services, learns three times as soon which of their leafs are slow, and has
#: connections to them.
SWITCH_FACTOR = 1.25
#: Weight of a new round trip.
ROUND_TRIP_GAIN = 0.2
FIRST_ROUND_TRIP = 0.02


@dataclass(slots=True)
class _Account:
    """How one instance did."""

    time: DecayedLatency
    in_progress: int = 0
    heard_at: float = float("-inf")
    silent_until: float = float("-inf")
    silence: float = FIRST_SILENCE
    unheard: bool = False
    greeted_at: float = float("-inf")
    round_trip: float = FIRST_ROUND_TRIP


class PeerStats:
    """Keeps how the other instances did."""

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}

    def choose(
        self, names: Sequence[str], now: float, work: Mapping[str, float]
    ) -> str | None:
        """Return the instance for the next question, or None when none may get it.

        Args:
            names: of the instances; those that are wanted more go first.
            now: the present, in seconds.
            work: seconds for which the question keeps the processor of each.
        """
        usable = [
            name
            for name in names
            if self._account(name).silent_until <= now
            and not self._account(name).unheard
        ]
        if not usable:
            return None
        times = {name: self._expect(name, now, work[name]) for name in usable}
        least = min(times.values())
        return next(name for name in usable if times[name] <= SWITCH_FACTOR * least)

    def find_peers_to_greet(self, names: Sequence[str], now: float) -> list[str]:
        """Return those to be greeted now: they stayed silent, and may be back.

        No question waits for the answer to a greeting. The load it answers: a lost data
        centre, and instances that have a question only each few seconds, longer than a
        silent instance is left out; each question would wait for one of them in vain.

        Args:
            names: of the instances that may be wanted.
            now: the present, in seconds.
        """
        found = []
        for name in names:
            account = self._account(name)
            due = max(account.silent_until, account.greeted_at + GREETING_PAUSE)
            if account.unheard and due <= now:
                account.greeted_at = now
                found.append(name)
        return found

    def record_sent(self, name: str, now: float) -> None:
        """Note that a question was sent."""
        self._account(name).in_progress += 1

    def record_ended(self, name: str) -> None:
        """Note that a question is no longer waited for."""
        self._account(name).in_progress -= 1

    def record_accepted(self, name: str, now: float, elapsed: float) -> None:
        """Note the word that a question was taken, so many seconds after it went."""
        account = self._account(name)
        account.heard_at = now
        account.unheard = False
        account.round_trip += ROUND_TRIP_GAIN * (elapsed - account.round_trip)

    def record_answer(self, name: str, now: float, elapsed: float) -> None:
        """Note an answer, so many seconds after the question."""
        account = self._account(name)
        account.heard_at = now
        account.unheard = False
        account.time.observe(now, elapsed)
        account.silence = FIRST_SILENCE

    def record_timeout(self, name: str, now: float) -> None:
        """Note that an instance didn't answer in time.

        It gets nothing until it was heard of, and for some time in any case.
        """
        account = self._account(name)
        account.unheard = True
        limit = MOST_PATIENCE / TAKEN_ROUND_TRIPS
        account.round_trip = min(limit, account.round_trip * LOST_FACTOR)
        account.silent_until = now + account.silence
        account.silence = min(LONGEST_SILENCE, account.silence * 2)

    def record_greeting(self, name: str) -> None:
        """Note that an instance made itself known: it likely has just started."""
        account = self._account(name)
        account.silent_until = float("-inf")
        account.silence = FIRST_SILENCE
        account.unheard = False

    def last_heard_at(self, name: str) -> float:
        """Return when an instance was heard of last."""
        return self._account(name).heard_at

    def round_trip(self, name: str) -> float:
        """Return the seconds to an instance and back."""
        return self._account(name).round_trip

    def acceptance_timeout(self, name: str, time: float) -> float:
        """Return the seconds to wait for the word that a question was taken.

        Args:
            name: of the instance that was asked.
            time: that the question has, in seconds.
        """
        account = self._account(name)
        longest = min(MOST_PATIENCE, max(LONGEST_PATIENCE, PATIENCE_SHARE * time))
        if account.heard_at == float("-inf"):
            # How far away it is isn't known.
            return longest
        wanted = TAKEN_ROUND_TRIPS * account.round_trip
        return min(longest, max(LEAST_PATIENCE, wanted))

    def _expect(self, name: str, now: float, work: float) -> float:
        account = self._account(name)
        time = account.time.estimate(now, FIRST_TIME)
        time *= 1.0 + PER_QUESTION * account.in_progress
        return time + work * (1 + account.in_progress)

    def _account(self, name: str) -> _Account:
        if name not in self._accounts:
            self._accounts[name] = _Account(DecayedLatency())
        return self._accounts[name]
