"""Links to peers: one task per peer, batched envelopes, dispatch by message type."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterator
from datetime import timedelta

import trio

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort
from walkcart.kernel.taskerrors import log_task_error
from walkcart.membership.messageages import ClockReadings, Stamp
from walkcart.membership.outbox import Outbox
from walkcart.membership.peerdirectory import PeerDirectory, parse_address
from walkcart.wire.codec import BadMessage, decode_envelope, encode_envelope
from walkcart.wire.messages import Envelope, Message
from walkcart.wire.peers import PeerListener, PeerSender, PeerTransport
from walkcart.wire.pieces import PieceJoiner, split_message

#: Random bytes that identify a process.
LIFE_ID_BYTES = 4
#: Limit of stored addresses of senders, for replies to those outside the directory.
MAX_UNKNOWN_SENDERS = 256
#: Limit of links to instances outside the directory: any program can name addresses.
MAX_UNKNOWN_LINKS = 64
#: Seconds from a failure of the listener until the next try.
RECEIVE_RETRY_DELAY = 0.5
#: Time for connecting to a peer and sending one envelope, or one piece of a long one.
#: After it the link is closed, and all its queued messages are lost.
SEND_TIMEOUT = timedelta(seconds=2)
#: Shortest time between two new connections to a peer that doesn't answer, since a
#: connection may be dead without having been closed. The old connection is kept open
#: for the same time, so that it can still deliver what was sent.
RENEWAL_INTERVAL = timedelta(seconds=2)

#: Called with the sender's name and the message; must not block.
MessageHandler = Callable[[str, Message], None]
#: The same, with an upper bound on the age of the message in seconds; infinite if
#: unknown.
AgedMessageHandler = Callable[[str, Message, float], None]


class PeerLinks:
    """Sends messages to the other instances and receives theirs.

    Args:
        listener: receives the envelopes sent to this instance.
        transport: opens connections to peers.
        view: the known instances and their addresses.
        events: log of invalid messages and failed connections.
        metrics: counts messages.
    """

    def __init__(
        self,
        listener: PeerListener,
        transport: PeerTransport,
        view: PeerDirectory,
        events: EventLog,
        metrics: Metrics,
    ) -> None:
        self._listener = listener
        self._transport = transport
        self._view = view
        self._events = events
        self._metrics = metrics
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._aged_handlers: dict[type[Message], AgedMessageHandler] = {}
        self._clock_readings = ClockReadings(secrets.token_hex(LIFE_ID_BYTES))
        self._links: dict[tuple[str, HostPort], Outbox] = {}
        self._joiner = PieceJoiner()
        #: The last known address of each instance, from its envelopes or the directory,
        #: for replies to those that aren't in the directory yet or any more: the store
        #: may reject an instance for longer than its entry lasts.
        self._last_addresses: dict[str, str] = {}
        self._nursery: trio.Nursery | None = None
        #: Whether links to unknown instances were refused since there was one to spare.
        self._is_refusing_links = False
        #: When the last envelope meant for this process came, in seconds; at first the
        #: time of the start.
        self.last_received = trio.current_time()

    def on(self, kind: type[Message], handler: MessageHandler) -> None:
        """Pass messages of type `kind` to `handler`."""
        self._handlers[kind] = handler

    def on_with_age(self, kind: type[Message], handler: AgedMessageHandler) -> None:
        """Pass messages of type `kind` to `handler` with their age.

        Meant for messages that start work, which is useless if they are too old.
        """
        self._aged_handlers[kind] = handler

    def has_received_from(self, name: str) -> bool:
        """Return whether any process of the instance `name` has sent an envelope."""
        return self._clock_readings.has_received_from(name)

    def has_link(self, name: str) -> bool:
        """Return whether a link to an instance is open or being opened."""
        return self._find_link(name) is not None

    def is_connected(self, name: str) -> bool:
        """Return whether a message to an instance would be sent without delay."""
        link = self._find_link(name)
        return link is not None and link.is_connected

    def _find_link(self, name: str) -> Outbox | None:
        """Return the current link to an instance, or None.

        The lookup is by address: a search through 200 links for each instance that may
        be asked would cost a question some milliseconds.
        """
        address = self._find_address(name)
        return self._links.get((name, address)) if address else None

    def _find_address(self, name: str) -> HostPort | None:
        record = self._view.find(name)
        if record is not None:
            self._last_addresses[name] = record.peer_address
        return parse_address(self._last_addresses.get(name, ""))

    def is_queued(self, name: str, message: Message) -> bool:
        """Return whether a message to an instance is queued and not sent yet."""
        return any(
            link.is_queued(message)
            for key, link in self._links.items()
            if key[0] == name
        )

    def withdraw(self, name: str, message: Message) -> bool:
        """Remove a message that is not sent yet; return False if it was sent."""
        return any(
            link.withdraw(message)
            for key, link in self._links.items()
            if key[0] == name
        )

    def send(self, name: str, message: Message) -> bool:
        """Queue `message` for the instance called `name`.

        Returns:
            False if it was not queued, so that it will certainly not be sent.
        """
        address = self._find_address(name)
        if self._nursery is None or address is None:
            return False
        link = self._links.get((name, address))
        if link is None:
            if not self._may_open_link(name):
                self._metrics.count("peer.dropped")
                return False
            link = Outbox(trio.current_time())
            try:
                self._nursery.start_soon(self._run_link, name, address, link)
            except RuntimeError:
                # The nursery has just closed, because the instance stops.
                return False
            self._links[(name, address)] = link
        if not link.put(message):
            self._metrics.count("peer.dropped")
            return False
        return True

    def _may_open_link(self, name: str) -> bool:
        """Return whether a link may be opened; those to unknown instances are few."""
        if self._view.find(name) is not None:
            return True
        unknown = sum(self._view.find(known) is None for known, _ in self._links)
        is_refused = unknown >= MAX_UNKNOWN_LINKS
        if is_refused and not self._is_refusing_links:
            self._events.emit(Events.PEER_LINKS_FULL, peer=name, links=unknown)
        self._is_refusing_links = is_refused
        return not is_refused

    def reconnect(self, name: str) -> None:
        """Open a new connection to a silent peer with the next message.

        The old connection still sends what was queued.
        """
        latest = trio.current_time() - RENEWAL_INTERVAL.total_seconds()
        for key, link in list(self._links.items()):
            if key[0] == name and link.opened_at <= latest:
                del self._links[key]
                link.end()
                self._metrics.count("peer.renewed")

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Receive envelopes until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                task_status.started()
                while True:
                    await self._receive_next()
        finally:
            self._nursery = None
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await self._listener.close()

    async def _receive_next(self) -> None:
        """Receive one envelope; wait a moment if the listener fails."""
        try:
            data = await self._listener.receive()
        except OSError as error:
            self._events.emit(Events.PEER_RECEIVE_FAILED, detail=str(error)[:200])
            await trio.sleep(RECEIVE_RETRY_DELAY)
            return
        self._receive_safely(data)

    def _receive_safely(self, data: bytes) -> None:
        """Receive an envelope; an error in it must not end the instance."""
        try:
            self._receive(data)
        except Exception as error:
            log_task_error(self._events, "peer envelope", error)

    def _receive(self, data: bytes) -> None:
        self._metrics.count("peer.bytes", len(data))
        try:
            message = self._joiner.add(data)
            if message is None:
                return
            envelope = decode_envelope(message)
        except BadMessage as error:
            self._events.emit(Events.PEER_BAD_MESSAGE, detail=str(error)[:200])
            return
        if envelope.to_incarnation not in (0, self._view.own.incarnation):
            # Sent to an earlier process at this address.
            return
        now = self.last_received = trio.current_time()
        if envelope.address and self._view.find(envelope.sender) is None:
            self._record_unknown_sender(envelope)
        stamp = Stamp(
            envelope.life, envelope.sent_at, envelope.to_life, envelope.least_reading
        )
        if stamp.life:
            self._clock_readings.record_stamp(envelope.sender, stamp, now)
        age = self._clock_readings.find_age(stamp, now)
        self._metrics.count("peer.received", len(envelope.messages))
        for message in envelope.messages:
            self._handle(envelope.sender, message, age)

    def _handle(self, sender: str, message: Message, age: float) -> None:
        """Call the handler of a message; its errors must not end the instance."""
        try:
            if (aged_handler := self._aged_handlers.get(type(message))) is not None:
                aged_handler(sender, message, age)
            elif (handler := self._handlers.get(type(message))) is not None:
                handler(sender, message)
        except BadMessage as error:
            detail = f"{type(message).__name__}: {error}"[:200]
            self._events.emit(Events.PEER_BAD_MESSAGE, peer=sender, detail=detail)
        except Exception as error:
            task = f"{type(message).__name__} of {sender}"
            log_task_error(self._events, task, error)

    def _record_unknown_sender(self, envelope: Envelope) -> None:
        """Keep the address of a sender that is not in the directory."""
        while len(self._last_addresses) >= MAX_UNKNOWN_SENDERS:
            del self._last_addresses[next(iter(self._last_addresses))]
        self._last_addresses[envelope.sender] = envelope.address

    async def _run_link(self, name: str, address: HostPort, link: Outbox) -> None:
        """Send the queued messages of one peer until it is idle or unreachable."""
        try:
            sender = await self._transport.dial(address)
        except OSError as error:
            self._links.pop((name, address), None)
            self._events.emit(
                Events.PEER_BAD_MESSAGE, peer=name, detail=f"cannot connect: {error}"
            )
            return
        link.sender = sender
        try:
            while await link.wait():
                self._metrics.time("peer.wait", link.queue_time * 1000)
                messages: tuple[Message, ...] = ()
                with trio.move_on_after(SEND_TIMEOUT.total_seconds()) as scope:
                    # Until it is connected, messages can be withdrawn and certainly
                    # weren't sent.
                    await sender.wait_connected()
                    messages = link.take_batch()
                    for data in self._pack_envelopes(name, messages):
                        await _send_pieces(sender, data, scope)
                if scope.cancelled_caught:
                    lost = len(messages) + len(link)
                    self._metrics.count("peer.dropped", lost)
                    detail = (
                        "not taken by the peer within "
                        f"{SEND_TIMEOUT.total_seconds()} s: {lost} messages lost"
                    )
                    self._events.emit(Events.PEER_SLOW, peer=name, detail=detail)
                    break
            if link.ended:
                await trio.sleep(RENEWAL_INTERVAL.total_seconds())
        except OSError:
            # The next message reconnects; the failure detector checks the peer.
            self._metrics.count("peer.dropped")
        except Exception as error:
            log_task_error(self._events, f"link to {name}", error)
        finally:
            if self._links.get((name, address)) is link:
                del self._links[(name, address)]
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await sender.close()

    def _pack_envelopes(
        self, name: str, messages: tuple[Message, ...]
    ) -> Iterator[bytes]:
        """Yield envelopes with the messages: one, unless they don't go together.

        A message that can't be sent at all costs none of the others.
        """
        if not messages:
            return
        try:
            data = self._pack_envelope(name, messages)
        except BadMessage as error:
            if len(messages) > 1:
                middle = len(messages) // 2
                yield from self._pack_envelopes(name, messages[:middle])
                yield from self._pack_envelopes(name, messages[middle:])
                return
            self._metrics.count("peer.dropped")
            detail = f"{type(messages[0]).__name__} isn't sent: {error}"[:200]
            self._events.emit(Events.PEER_BAD_MESSAGE, peer=name, detail=detail)
            return
        self._metrics.count("peer.sent", len(messages))
        self._metrics.count("peer.bytes", len(data))
        yield data

    def _pack_envelope(self, name: str, messages: tuple[Message, ...]) -> bytes:
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


async def _send_pieces(
    sender: PeerSender, data: bytes, scope: trio.CancelScope
) -> None:
    """Send an envelope; each of its pieces has the time that a short one has."""
    for piece in split_message(data):
        await sender.send(piece)
        scope.deadline = trio.current_time() + SEND_TIMEOUT.total_seconds()
