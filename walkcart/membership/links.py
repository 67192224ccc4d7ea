"""Links to peers: one task for each, batched envelopes, dispatch by type."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from datetime import timedelta

import trio

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort
from walkcart.kernel.taskerrors import log_task_error
from walkcart.membership.messageages import ClockReadings, Stamp
from walkcart.membership.outbox import Outbox
from walkcart.membership.peerdirectory import PeerDirectory, read_address
from walkcart.wire.codec import BadMessage, decode_envelope, encode_envelope
from walkcart.wire.messages import Envelope, Message
from walkcart.wire.peers import PeerListener, PeerTransport

#: Random bytes that name a process life.
LIFE_BYTES = 4
#: Senders outside the book whose addresses are kept.
STRANGER_LIMIT = 256
SEND_TIME = timedelta(seconds=2)
#: A connection may have gone silent for good without an end. Between two new ones to a
#: peer that seems silent; also how long the old one is kept for what it still carries.
RENEWAL_INTERVAL = timedelta(seconds=2)

#: Called with the sender's name and the message; must not wait.
MessageHandler = Callable[[str, Message], None]
#: The same, with the most seconds that the message was on its way; infinite if unknown.
AgedMessageHandler = Callable[[str, Message, float], None]


class PeerLinks:
    """Sends to and receives from the other instances.

    Args:
        listener: where this instance is reached.
        transport: makes senders.
        view: the instances and their addresses.
        events: where bad messages are logged.
        metrics: where messages are counted.
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
        self._work_handlers: dict[type[Message], AgedMessageHandler] = {}
        self._readings = ClockReadings(secrets.token_hex(LIFE_BYTES))
        self._links: dict[tuple[str, HostPort], Outbox] = {}
        #: Addresses that senders gave or the book held last, for answers to those that
        #: aren't in it yet, or any more: the store may turn one away for longer than
        #: its entry lasts.
        self._heard: dict[str, str] = {}
        self._nursery: trio.Nursery | None = None
        self.last_received = trio.current_time()

    def on(self, kind: type[Message], handler: MessageHandler) -> None:
        """Give messages of `kind` to `handler`."""
        self._handlers[kind] = handler

    def on_with_age(self, kind: type[Message], handler: AgedMessageHandler) -> None:
        """Give messages of `kind`, which start work, to `handler`, with their age."""
        self._work_handlers[kind] = handler

    def has_received_from(self, name: str) -> bool:
        """Return whether a life of the instance called `name` was heard of."""
        return self._readings.has_received_from(name)

    def has_link(self, name: str) -> bool:
        """Return whether there is a link to an instance, or one is being made."""
        return self._find_link(name) is not None

    def is_connected(self, name: str) -> bool:
        """Return whether a message to an instance would leave at once."""
        link = self._find_link(name)
        return link is not None and link.is_connected

    def _find_link(self, name: str) -> Outbox | None:
        """Return the present link to an instance, or None.

        Found by its address: looked for among 200 links for each instance that may be
        asked it would cost a question some milliseconds.
        """
        address = self._find_address(name)
        return self._links.get((name, address)) if address else None

    def _find_address(self, name: str) -> HostPort | None:
        record = self._view.find(name)
        if record is not None:
            self._heard[name] = record.peer_address
        return read_address(self._heard.get(name, ""))

    def is_queued(self, name: str, message: Message) -> bool:
        """Return whether a message to an instance wasn't sent yet."""
        return any(
            link.is_queued(message)
            for key, link in self._links.items()
            if key[0] == name
        )

    def withdraw(self, name: str, message: Message) -> bool:
        """Take back a message that wasn't sent yet; return whether that was so."""
        return any(
            link.withdraw(message)
            for key, link in self._links.items()
            if key[0] == name
        )

    def send(self, name: str, message: Message) -> bool:
        """Queue `message` for the instance called `name`.

        Returns:
            False when it was not queued and so will surely not be sent.
        """
        address = self._find_address(name)
        if self._nursery is None or address is None:
            return False
        link = self._links.get((name, address))
        if link is None:
            link = Outbox(trio.current_time())
            try:
                self._nursery.start_soon(self._run_link, name, address, link)
            except RuntimeError:
                # The links have just ended, with the instance.
                return False
            self._links[(name, address)] = link
        if not link.put(message):
            self._metrics.count("peer.dropped")
            return False
        return True

    def reconnect(self, name: str) -> None:
        """Make new connections to a peer that seems silent, with the next message.

        The old ones still send what was queued.
        """
        latest = trio.current_time() - RENEWAL_INTERVAL.total_seconds()
        for key, link in list(self._links.items()):
            if key[0] == name and link.opened_at <= latest:
                del self._links[key]
                link.end()
                self._metrics.count("peer.renewed")

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Receive until cancelled."""
        try:
            async with trio.open_nursery() as self._nursery:
                task_status.started()
                while True:
                    self._take_in_safely(await self._listener.receive())
        finally:
            self._nursery = None
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await self._listener.close()

    def _take_in_safely(self, data: bytes) -> None:
        """Take in an envelope, whose faults must not end the instance."""
        try:
            self._take_in(data)
        except Exception as error:
            log_task_error(self._events, "peer envelope", error)

    def _take_in(self, data: bytes) -> None:
        self._metrics.count("peer.bytes", len(data))
        try:
            envelope = decode_envelope(data)
        except BadMessage as error:
            self._events.emit(Events.PEER_BAD_MESSAGE, detail=str(error)[:200])
            return
        if envelope.to_incarnation not in (0, self._view.own.incarnation):
            # Meant for an earlier process at this address.
            return
        now = self.last_received = trio.current_time()
        if envelope.address and self._view.find(envelope.sender) is None:
            self._note_stranger(envelope)
        stamp = Stamp(
            envelope.life, envelope.sent_at, envelope.to_life, envelope.least_reading
        )
        if stamp.life:
            self._readings.record_stamp(envelope.sender, stamp, now)
        age = self._readings.find_age(stamp, now)
        self._metrics.count("peer.received", len(envelope.messages))
        for message in envelope.messages:
            self._handle(envelope.sender, message, age)

    def _handle(self, sender: str, message: Message, age: float) -> None:
        """Give a message to its handler, whose faults must not end the instance."""
        try:
            if (work := self._work_handlers.get(type(message))) is not None:
                work(sender, message, age)
            elif (handler := self._handlers.get(type(message))) is not None:
                handler(sender, message)
        except Exception as error:
            task = f"{type(message).__name__} of {sender}"
            log_task_error(self._events, task, error)

    def _note_stranger(self, envelope: Envelope) -> None:
        """Keep the address of a sender that the book doesn't know yet."""
        while len(self._heard) >= STRANGER_LIMIT:
            del self._heard[next(iter(self._heard))]
        self._heard[envelope.sender] = envelope.address

    async def _run_link(self, name: str, address: HostPort, link: Outbox) -> None:
        """Send what is queued for one peer until it is idle or unreachable."""
        try:
            sender = await self._transport.dial(address)
        except OSError as error:
            self._links.pop((name, address), None)
            self._events.emit(
                Events.PEER_BAD_MESSAGE, peer=name, detail=f"not dialled: {error}"
            )
            return
        link.sender = sender
        try:
            while await link.wait():
                self._metrics.time("peer.wait", link.waited * 1000)
                messages: tuple[Message, ...] = ()
                with trio.move_on_after(SEND_TIME.total_seconds()) as scope:
                    # Until then messages can be taken back, and surely weren't sent.
                    await sender.wait_connected()
                    messages = link.take()
                    if messages:
                        await sender.send(self._pack(name, messages))
                if scope.cancelled_caught:
                    lost = len(messages) + len(link)
                    self._metrics.count("peer.dropped", lost)
                    detail = f"not taken in {SEND_TIME.total_seconds()} s: {lost} lost"
                    self._events.emit(Events.PEER_SLOW, peer=name, detail=detail)
                    break
            if link.ended:
                await trio.sleep(RENEWAL_INTERVAL.total_seconds())
        except OSError:
            # The next message dials again; the detector tells whether it lives.
            self._metrics.count("peer.dropped")
        except Exception as error:
            log_task_error(self._events, f"link to {name}", error)
        finally:
            if self._links.get((name, address)) is link:
                del self._links[(name, address)]
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await sender.close()

    def _pack(self, name: str, messages: tuple[Message, ...]) -> bytes:
        record = self._view.find(name)
        own = self._view.own
        stamp = self._readings.make_stamp(name, trio.current_time())
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
        data = encode_envelope(envelope)
        self._metrics.count("peer.sent", len(messages))
        self._metrics.count("peer.bytes", len(data))
        return data
