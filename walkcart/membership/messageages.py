"""Upper bounds on the age of messages, without relying on synchronized wall clocks.

Each instance puts the reading of its monotonic clock on its envelopes. The receiver of
an envelope knows from then on a lower bound of the sender's clock, which advances with
time. It puts this bound on its own envelopes to that instance. So the receiver of an
envelope has an upper bound on its age: the present reading of its own clock, minus the
lower bound of it that the sender knew when it packed the envelope. The bound exceeds
the true age by at most the one-way delay between the two instances.

A process that has just started has a new clock and a new identifier. The age is unknown
for envelopes packed for its predecessor, or by an instance that has not received an
envelope from the new process yet.

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

from walkcart.wire.figures import MAX_FIGURE

#: Upper bound on the relative drift between the monotonic clocks of two machines: ten
#: times the usual drift of quartz oscillators.
MAX_CLOCK_DRIFT = 2e-4
#: Peers whose clock readings are kept; beyond this, the oldest is dropped.
MAX_PEERS = 4096


@dataclass(frozen=True, slots=True)
class Stamp:
    """The clock readings on an envelope.

    Args:
        life: identifies the process of the sender.
        sent_at: the sender's monotonic clock when it packed the envelope, in seconds.
        to_life: identifies the receiver's process as known to the sender; empty if
            unknown.
        least_reading: a lower bound on the receiver's clock at that time, in seconds.
    """

    life: str
    sent_at: float
    to_life: str = ""
    least_reading: float = 0.0


@dataclass(frozen=True, slots=True)
class _OffsetBound:
    """A lower bound on the offset of a peer's clock to this one, as of time `at`."""

    life: str
    min_offset: float
    at: float

    def find_min_offset(self, now: float) -> float:
        """Return the lower bound as of `now`, reduced by the possible drift."""
        return self.min_offset - MAX_CLOCK_DRIFT * (now - self.at)


class ClockReadings:
    """Keeps a lower bound on the clock of each peer.

    Args:
        life: identifies this process.
    """

    def __init__(self, life: str) -> None:
        self.life = life
        self._offset_bounds: dict[str, _OffsetBound] = {}

    def record_stamp(self, peer: str, stamp: Stamp, now: float) -> None:
        """Record the clock readings on an envelope from a peer.

        Args:
            peer: the name of the peer.
            stamp: the clock readings.
            now: the monotonic clock of this instance, in seconds.
        """
        min_offset = stamp.sent_at - now
        held = self._offset_bounds.get(peer)
        if held is not None and held.life == stamp.life:
            min_offset = max(min_offset, held.find_min_offset(now))
        while peer not in self._offset_bounds and len(self._offset_bounds) >= MAX_PEERS:
            del self._offset_bounds[next(iter(self._offset_bounds))]
        self._offset_bounds[peer] = _OffsetBound(stamp.life, min_offset, now)

    def has_received_from(self, peer: str) -> bool:
        """Return whether an envelope of any process of the peer has arrived."""
        return peer in self._offset_bounds

    def make_stamp(self, peer: str, now: float) -> Stamp:
        """Return the clock readings for an envelope to a peer that is packed now."""
        held = self._offset_bounds.get(peer)
        if held is None:
            return Stamp(self.life, now)
        # The peer rejects a whole envelope whose figures are out of bounds.
        least = max(-MAX_FIGURE, min(MAX_FIGURE, now + held.find_min_offset(now)))
        return Stamp(self.life, now, held.life, least)

    def find_age(self, stamp: Stamp, now: float) -> float:
        """Return an envelope's maximum age in seconds; infinite if unknown."""
        if stamp.to_life != self.life:
            return float("inf")
        return max(0.0, now - stamp.least_reading)
