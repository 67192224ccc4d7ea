"""The connections of a link: how they are opened, checked and reused.

See Also:
    `walkcart.leaves.link.LeafLink`, which sends attempts over them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from walkcart.kernel.events import Events
from walkcart.kernel.settings import parse_host_port
from walkcart.leaves.attempts import Attempt
from walkcart.leaves.exchange import LinkTools
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.protocol import MAX_REPLY_BYTES
from walkcart.wire.http import ExchangeFailed, HttpConnection

#: Time to connect and request the status, and for a status check or a cancel later.
CONNECT_TIMEOUT = timedelta(seconds=1)
#: A connection that was idle for longer is checked before a non-repeatable request.
MAX_UNCHECKED_IDLE = timedelta(seconds=1)
#: Number of refused requests that a connection remembers. A request is sent again at
#: most a few times, within fractions of a second.
MAX_REFUSED = 16


@dataclass(slots=True, eq=False)
class LinkConnection:
    """A connection to a leaf.

    Args:
        http: sends requests and reads replies.
        last_used: time of the last exchange, in seconds.
        refused: keys of the requests that the leaf refused over this connection. A late
            copy of such a refusal can't be told from the reply to the same request when
            that is sent again.
    """

    http: HttpConnection
    last_used: float
    refused: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_REFUSED))


class LinkConnector:
    """Opens connections to one leaf, and checks whether they can be used.

    Args:
        leaf: state of the leaf.
        tools: dependencies of every link.
    """

    def __init__(self, leaf: Leaf, tools: LinkTools) -> None:
        self._leaf = leaf
        self._tools = tools

    async def open(self, stream: trio.abc.Stream | None) -> LinkConnection | None:
        """Connect and request the status; None if the leaf can't be reached.

        Args:
            stream: a stream that is connected already; None to connect.
        """
        address = parse_host_port(self._leaf.address)
        try:
            with trio.fail_after(CONNECT_TIMEOUT.total_seconds()):
                if stream is None:
                    stream = await self._tools.network.connect(address)
                http = HttpConnection(
                    stream, self._leaf.address, MAX_REPLY_BYTES, self._tools.budget
                )
                try:
                    await self._check(http)
                except BaseException:
                    await http.close()
                    raise
                return LinkConnection(http, self._tools.clock.monotonic())
        except (OSError, ExchangeFailed, trio.TooSlowError) as error:
            self._tools.events.emit(
                Events.LEAF_UNREACHABLE, leaf=self._leaf.address, detail=str(error)
            )
            return None

    async def _check(self, http: HttpConnection) -> None:
        """Request the status, which shows that the leaf serves this connection.

        Where the protocol has no such request, unread input or an end is the only sign.
        """
        protocol = self._tools.protocol
        request = protocol.make_status_request()
        if request is None:
            if not http.is_quiet():
                raise OSError(
                    "the leaf closed the new connection or sent unrequested data"
                )
            return
        reply = await http.exchange(request)
        self._tools.on_status(self._leaf, protocol.read_status(dict(reply.headers)))
        if not http.prepare_next():
            raise OSError("the leaf closes the connection after its status reply")

    async def still_serves(self, connection: LinkConnection) -> bool:
        """Return whether the leaf still serves a connection."""
        with trio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
            try:
                await self._check(connection.http)
            except (OSError, ExchangeFailed):
                return False
            return True
        return False

    async def may_carry(
        self, connection: LinkConnection, attempt: Attempt, idle_timeout: float
    ) -> bool:
        """Return whether an attempt may be sent over a connection.

        Args:
            connection: the connection.
            attempt: the attempt; nothing of it was sent yet.
            idle_timeout: seconds that the leaf keeps an idle connection.
        """
        protocol = self._tools.protocol
        if protocol.make_request_key(attempt) in connection.refused:
            # A late copy of the refusal would be taken for this attempt's reply.
            self._tools.metrics.count("leaf.reconnected")
            return False
        idle = self._tools.clock.monotonic() - connection.last_used
        if not connection.http.is_quiet() or idle >= idle_timeout:
            return False
        if attempt.repeatable or idle <= MAX_UNCHECKED_IDLE.total_seconds():
            return True
        # The leaf may have dropped the connection silently. Where its status can't be
        # requested, a new connection costs less than a request that may have run.
        can_ask = protocol.make_status_request() is not None
        return can_ask and await self.still_serves(connection)

    async def send_cancel(self, connection: LinkConnection, attempt_id: str) -> bool:
        """Have the leaf cancel an attempt; return whether the connection stays usable.

        Only for protocols that have such a request.
        """
        request = self._tools.protocol.make_cancel_request(attempt_id)
        assert request is not None
        with trio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
            try:
                await connection.http.exchange(request)
            except ExchangeFailed:
                return False
            return connection.http.prepare_next()
        return False
