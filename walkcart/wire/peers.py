"""Datagram-like transport of envelopes between instances.

An instance listens on one nng pair socket, on which any number of peers send, and opens
one pair socket to each peer. The answering side sends answers over its own socket, so
no socket waits for a reply.

nng's push sockets aren't used: they corrupt the memory of the process when a peer
closes a connection just as it comes up.
"""

from __future__ import annotations

import errno
import mmap
from collections.abc import Callable
from contextlib import suppress
from resource import RLIM_INFINITY, RLIMIT_AS, RLIMIT_STACK, getrlimit
from typing import Protocol

import pynng
import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.pieces import MAX_PIECE_BYTES

#: Number of envelopes that nng buffers for a slow or unreachable peer. They wait in the
#: instance's own outbox instead, from which they can be withdrawn.
NNG_BUFFER = 0
#: Largest message that a sender accepts from its peer, in bytes: none is expected.
MAX_ANSWER_BYTES = 1024
#: Largest message that a listener accepts, in bytes. nng reserves it for each
#: connection that states this length, and adds a header of its own.
MAX_RECEIVED_BYTES = MAX_PIECE_BYTES + 64
#: Maximum number of connections to a listener: two from each of 620 instances, as one
#: that is replaced stays open for a while, and some to spare.
MAX_CONNECTIONS = 1280
#: Seconds between two reports that there are more connections than allowed.
FULL_REPORT_INTERVAL = 5.0
#: Bounds of the time between two tries of nng to connect again, in milliseconds.
NNG_RECONNECT_MIN_MS = 50
NNG_RECONNECT_MAX_MS = 1000
#: Parameters of nng that bound its threads, by their numbers in nng's header, and their
#: values: those of a machine with one core, since an instance has about one. By default
#: they grow with the cores, and each thread takes address space.
NNG_THREAD_BOUNDS = {
    5: 2,  # NNG_INIT_MAX_TASK_THREADS
    6: 1,  # NNG_INIT_MAX_EXPIRE_THREADS
    7: 1,  # NNG_INIT_MAX_POLLER_THREADS
}
#: Threads of nng with these bounds, and the size of a stack where it has no limit.
NNG_THREADS = 9
UNLIMITED_STACK_BYTES = 8 << 20
#: Errors of nng for which the system has numbers of its own. An invalid address is one
#: that the machine doesn't have: addresses are parsed before.
NNG_ERRORS = {
    pynng.AddressInUse: errno.EADDRINUSE,
    pynng.AddressInvalid: errno.EADDRNOTAVAIL,
    pynng.NoMemory: errno.ENOMEM,
    pynng.OutOfFiles: errno.EMFILE,
    pynng.PermissionDenied: errno.EACCES,
}


def bound_threads() -> None:
    """Bound nng's threads; has an effect only before the first socket."""
    for parameter, bound in NNG_THREAD_BOUNDS.items():
        pynng.lib.nng_init_set_parameter(parameter, bound)


def check_address_space() -> None:
    """Check that the stacks of nng's threads fit into a limited address space.

    nng aborts the process if it can make some of its threads only.

    Raises:
        OSError: they don't fit.
    """
    limit, _ = getrlimit(RLIMIT_AS)
    if limit == RLIM_INFINITY:
        return
    stack, _ = getrlimit(RLIMIT_STACK)
    size = UNLIMITED_STACK_BYTES if stack == RLIM_INFINITY else stack
    mmap.mmap(-1, NNG_THREADS * max(size, mmap.PAGESIZE)).close()


def make_os_error(error: pynng.NNGException) -> OSError:
    """Return an error of nng as an error of the system."""
    number = NNG_ERRORS.get(type(error))
    return OSError(str(error)) if number is None else OSError(number, str(error))


def run_soon(
    token: trio.lowlevel.TrioToken, change: Callable[..., None], *arguments: object
) -> None:
    """Pass a change of the connections from nng's thread to the event loop."""
    try:
        token.run_sync_soon(change, *arguments)
    except trio.RunFinishedError:
        # The event loop has ended; no task needs the change.
        return


class PeerSender(Protocol):
    """Sends to one peer."""

    @property
    def is_connected(self) -> bool:
        """Whether a connection to the peer is up, as far as is known."""
        ...

    async def wait_connected(self) -> None:
        """Wait until a connection to the peer is up."""
        ...

    async def send(self, data: bytes) -> None:
        """Send one envelope; wait while the peer can't receive more.

        Raises:
            OSError: the sender is closed or failed.
        """
        ...

    async def close(self) -> None:
        """Close the sender; unsent data is dropped."""
        ...


class PeerListener(Protocol):
    """Receives from all peers."""

    address: HostPort

    async def receive(self) -> bytes:
        """Wait for one envelope.

        Raises:
            OSError: the listener is closed or failed.
        """
        ...

    async def close(self) -> None:
        """Close the listener."""
        ...


class PeerTransport(Protocol):
    """Makes senders and listeners."""

    async def listen(self, address: HostPort) -> PeerListener:
        """Listen at `address`; port 0 selects a free port."""
        ...

    async def dial(self, address: HostPort) -> PeerSender:
        """Make a sender, which connects in the background."""
        ...


class NngSender:
    """A sender on an nng pair socket, which has one peer."""

    def __init__(self, address: HostPort) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._pipes = 0
        self._connected = trio.Event()
        self._socket = pynng.Pair1(
            send_buffer_size=NNG_BUFFER, recv_max_size=MAX_ANSWER_BYTES
        )
        self._socket.add_post_pipe_connect_cb(
            lambda pipe: run_soon(self._token, self._update_pipes, 1)
        )
        self._socket.add_post_pipe_remove_cb(
            lambda pipe: run_soon(self._token, self._update_pipes, -1)
        )
        self._socket.reconnect_time_min = NNG_RECONNECT_MIN_MS
        self._socket.reconnect_time_max = NNG_RECONNECT_MAX_MS
        self._socket.dial(f"tcp://{address}", block=False)

    @property
    def is_connected(self) -> bool:
        """Whether a connection is up."""
        return self._pipes > 0

    async def wait_connected(self) -> None:
        """Wait until a connection is up."""
        while not self.is_connected:
            await self._connected.wait()

    def _update_pipes(self, change: int) -> None:
        self._pipes += change
        if self.is_connected:
            self._connected.set()
        else:
            self._connected = trio.Event()

    async def send(self, data: bytes) -> None:
        """Send one envelope."""
        try:
            await self._socket.asend(data)
        except pynng.NNGException as error:
            raise OSError(str(error)) from error

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class NngListener:
    """A listener on an nng pair socket, which receives from any number of peers.

    Of more than `MAX_CONNECTIONS` connections the oldest are closed: instances connect
    again when they have a message, and programs that hold connections open can't keep
    them away.

    Args:
        address: where to listen.
        on_full: called when connections are closed for their number.
    """

    def __init__(self, address: HostPort, on_full: Callable[[], None]) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._on_full = on_full
        self._reported_at = float("-inf")
        #: The open connections by their id, the oldest first.
        self._pipes: dict[int, pynng.Pipe] = {}
        self._socket = pynng.Pair1(polyamorous=True, recv_max_size=MAX_RECEIVED_BYTES)
        # Of a connection that ends as it comes up, nng tells the end before it tells
        # that it is up; but it always tells first that it comes up.
        self._socket.add_pre_pipe_connect_cb(
            lambda pipe: run_soon(self._token, self._add_pipe, pipe.id, pipe)
        )
        self._socket.add_post_pipe_remove_cb(
            lambda pipe: run_soon(self._token, self._remove_pipe, pipe.id)
        )
        try:
            self._socket.listen(f"tcp://{address}")
        except pynng.NNGException:
            self._socket.close()
            raise
        self.address = address
        if address.port == 0:
            port = self._socket.listeners[0].local_address.port
            # nng returns the port in network byte order.
            swapped = int.from_bytes(port.to_bytes(2, "little"), "big")
            self.address = HostPort(address.host, swapped)

    def _add_pipe(self, id: int, pipe: pynng.Pipe) -> None:
        self._pipes[id] = pipe
        if len(self._pipes) <= MAX_CONNECTIONS:
            return
        self._close_oldest()
        now = trio.current_time()
        if now - self._reported_at >= FULL_REPORT_INTERVAL:
            self._reported_at = now
            self._on_full()

    def _close_oldest(self) -> None:
        pipe = self._pipes.pop(next(iter(self._pipes)))
        # It may have closed just now, and its removal is still to be processed. An
        # error here would end the event loop.
        with suppress(pynng.NNGException):
            pipe.close()

    def _remove_pipe(self, id: int) -> None:
        self._pipes.pop(id, None)

    async def receive(self) -> bytes:
        """Wait for one envelope."""
        try:
            return await self._socket.arecv()
        except pynng.NNGException as error:
            raise OSError(str(error)) from error

    async def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class NngTransport:
    """Peer transport by nng over TCP, with pynng.

    Args:
        on_full: called when a listener closes connections for their number.
    """

    def __init__(self, on_full: Callable[[], None] = lambda: None) -> None:
        self._on_full = on_full
        bound_threads()
        self._may_start_threads = False

    async def listen(self, address: HostPort) -> PeerListener:
        """Listen with a pair socket.

        Raises:
            OSError: the address isn't available, or there is no room for threads.
        """
        if not self._may_start_threads:
            check_address_space()
            self._may_start_threads = True
        try:
            return NngListener(address, self._on_full)
        except pynng.NNGException as error:
            raise make_os_error(error) from error

    async def dial(self, address: HostPort) -> PeerSender:
        """Dial with a pair socket.

        Raises:
            OSError: the address is invalid.
        """
        try:
            return NngSender(address)
        except pynng.NNGException as error:
            raise OSError(str(error)) from error
