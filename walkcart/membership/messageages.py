"""How old a message is, without trusting anybody's time of day.

Each instance states on its envelopes what its steady clock shows. Whoever gets one
knows from then on that the sender's clock shows at least that, and goes on with time.
It states this least reading on its own envelopes to that sender. So the receiver of an
envelope can tell the most that it can have been on its way: what its own clock shows
now, less what the sender knew it to show at least when the envelope was packed. The
bound is above the truth by one way between the two at the most.

A process that has just started has a clock and a name of its own: what was packed for
the one before it, or by somebody who hasn't heard of this one yet, has no known age.

Examples:
    >>> here, there = ClockReadings("here"), ClockReadings("there")
    >>> there.record_stamp("a", Stamp("here", 100.0), now=5.0)
    >>> stamp = there.make_stamp("a", now=6.0)
    >>> round(here.find_age(stamp, now=101.01), 2)
    0.01
    >>> here.find_age(Stamp("there", 6.0), now=101.01)
    inf

References:
    Cristian: Probabilistic clock synchronization, 1989, for bounds from messages.
"""

from __future__ import annotations

from dataclasses import dataclass

#: Steady clocks of two machines run apart by less than this share of the time: ten
#: times what is usual for the crystals that drive them.
DRIFT = 2e-4
#: Peers whose readings are kept; the oldest is forgotten past it.
MOST_PEERS = 4096


@dataclass(frozen=True, slots=True)
class Stamp:
    """What an envelope says about clocks.

    Args:
        life: names the sender's process life.
        sent_at: what the sender's steady clock showed when it was packed, in seconds.
        to_life: names the receiver's life as the sender knows it; empty if it doesn't.
        least_reading: what that life's clock showed then at least, in seconds.
    """

    life: str
    sent_at: float
    to_life: str = ""
    least_reading: float = 0.0


@dataclass(frozen=True, slots=True)
class _Reading:
    """The least that a peer's clock is ahead of this one's, as of a time here."""

    life: str
    ahead: float
    at: float

    def find_ahead(self, now: float) -> float:
        """Return the least it is ahead by now; the clocks run apart."""
        return self.ahead - DRIFT * (now - self.at)


class ClockReadings:
    """Keeps the least that each peer's clock shows.

    Args:
        life: names this process life.
    """

    def __init__(self, life: str) -> None:
        self.life = life
        self._readings: dict[str, _Reading] = {}

    def record_stamp(self, peer: str, stamp: Stamp, now: float) -> None:
        """Take in what an envelope of a peer said.

        Args:
            peer: its name.
            stamp: of the envelope.
            now: what this instance's steady clock shows, in seconds.
        """
        ahead = stamp.sent_at - now
        held = self._readings.get(peer)
        if held is not None and held.life == stamp.life:
            ahead = max(ahead, held.find_ahead(now))
        while peer not in self._readings and len(self._readings) >= MOST_PEERS:
            del self._readings[next(iter(self._readings))]
        self._readings[peer] = _Reading(stamp.life, ahead, now)

    def has_received_from(self, peer: str) -> bool:
        """Return whether a life of the peer was heard of."""
        return peer in self._readings

    def make_stamp(self, peer: str, now: float) -> Stamp:
        """Return what an envelope to a peer that is packed now says."""
        held = self._readings.get(peer)
        if held is None:
            return Stamp(self.life, now)
        return Stamp(self.life, now, held.life, now + held.find_ahead(now))

    def find_age(self, stamp: Stamp, now: float) -> float:
        """Return the most seconds since an envelope was packed; infinite if unknown."""
        if stamp.to_life != self.life:
            return float("inf")
        return max(0.0, now - stamp.least_reading)
