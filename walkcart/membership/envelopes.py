"""Packs messages for a peer into envelopes.

See Also:
    `walkcart.wire.pieces`, for envelopes that are sent in pieces.
"""

from __future__ import annotations

from collections.abc import Iterator

import trio

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.membership.messageages import ClockReadings
from walkcart.membership.peerdirectory import PeerDirectory
from walkcart.wire.codec import BadMessage, encode_envelope
from walkcart.wire.messages import Envelope, Message


class EnvelopePacker:
    """Packs messages of this instance.

    Args:
        view: the known instances, and this one.
        clock_readings: what is known of the peers' clocks.
        events: log of messages that can't be sent.
        metrics: counts messages.
    """

    def __init__(
        self,
        view: PeerDirectory,
        clock_readings: ClockReadings,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._clock_readings = clock_readings
        self._events = events
        self._metrics = metrics

    def pack(self, name: str, messages: tuple[Message, ...]) -> Iterator[bytes]:
        """Yield envelopes with the messages: one, unless they don't go together.

        A message that can't be sent at all costs none of the others.

        Args:
            name: name of the receiving instance.
            messages: the messages, in the order in which they are sent.
        """
        if not messages:
            return
        try:
            data = self._encode(name, messages)
        except BadMessage as error:
            if len(messages) > 1:
                middle = len(messages) // 2
                yield from self.pack(name, messages[:middle])
                yield from self.pack(name, messages[middle:])
                return
            self._metrics.count("peer.dropped")
            detail = f"{type(messages[0]).__name__} isn't sent: {error}"[:200]
            self._events.emit(Events.PEER_BAD_MESSAGE, peer=name, detail=detail)
            return
        self._metrics.count("peer.sent", len(messages))
        self._metrics.count("peer.bytes", len(data))
        yield data

    def _encode(self, name: str, messages: tuple[Message, ...]) -> bytes:
        record = self._view.find(name)
        own = self._view.own
        stamp = self._clock_readings.make_stamp(name, trio.current_time())
        envelope = Envelope(
            own.name,
            own.incarnation,
            "" if stamp.to_life else own.peer_address,
            record.incarnation if record else 0,
            messages,
            stamp.life,
            stamp.sent_at,
            stamp.to_life,
            stamp.least_reading,
        )
        return encode_envelope(envelope)
