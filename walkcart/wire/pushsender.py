"""The sending end of nng's push and pull protocol, on a TCP stream of the event loop.

nng's own push sockets corrupt the memory of the process when a peer closes a connection
just as it comes up: the process ends by a signal, or hangs. Its pull sockets, on which
instances receive, stand any end of a connection.

References:
    SP over TCP, "sp-tcp-mapping-01": 8 bytes of greeting from both ends, then each
    message after its length.
"""

from __future__ import annotations

import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.network import TcpNetwork

#: Bounds of the time between two tries to connect, in seconds.
MIN_RETRY_DELAY = 0.05
MAX_RETRY_DELAY = 1.0
#: Time for connecting and for the greeting, in seconds.
CONNECT_TIMEOUT = 10.0
#: The greeting of each end: zero, "SP", version, protocol, reserved.
_PUSH_GREETING = b"\x00SP\x00\x00\x50\x00\x00"
_PULL_GREETING = b"\x00SP\x00\x00\x51\x00\x00"
_LENGTH_BYTES = 8
_RECEIVE_SIZE = 4096


class PushSender:
    """Keeps a connection to one peer, and sends envelopes over it.

    Args:
        address: address of the peer.
    """

    def __init__(self, address: HostPort) -> None:
        self._address = address
        self._stream: trio.abc.Stream | None = None
        self._connected = trio.Event()
        self._scope = trio.CancelScope()
        self._sending = trio.Lock()
        trio.lowlevel.spawn_system_task(self._keep_connected)

    @property
    def is_connected(self) -> bool:
        """Whether a connection is up."""
        return self._stream is not None

    async def wait_connected(self) -> None:
        """Wait until a connection is up."""
        while not self.is_connected:
            await self._connected.wait()

    async def _keep_connected(self) -> None:
        """Connect, and connect again after the connection has ended."""
        delay = MIN_RETRY_DELAY
        with self._scope:
            while True:
                connected_at = trio.current_time()
                await self._connect_once()
                if trio.current_time() - connected_at > MAX_RETRY_DELAY:
                    delay = MIN_RETRY_DELAY
                await trio.sleep(delay)
                delay = min(MAX_RETRY_DELAY, delay * 2)

    async def _connect_once(self) -> None:
        """Connect, and wait until the connection has ended."""
        try:
            with trio.fail_after(CONNECT_TIMEOUT):
                stream = await TcpNetwork().connect(self._address)
        except (OSError, trio.TooSlowError):
            # The failure detector and the links report peers that can't be reached.
            return
        try:
            with trio.move_on_after(CONNECT_TIMEOUT):
                if await _greet(stream):
                    self._stream = stream
                    self._connected.set()
            # A peer sends nothing more; reading notices the end.
            while self.is_connected and await stream.receive_some(_RECEIVE_SIZE):
                pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            if self._stream is not None:
                self._stream = None
                self._connected = trio.Event()
            await trio.aclose_forcefully(stream)

    async def send(self, data: bytes) -> None:
        """Send one envelope; wait while the peer can't receive more.

        Raises:
            OSError: the sender is closed, or the connection ended.
        """
        if self._scope.cancel_called:
            raise OSError(f"the sender to {self._address} is closed")
        async with self._sending:
            await self.wait_connected()
            stream = self._stream
            assert stream is not None
            is_complete = False
            try:
                await stream.send_all(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
                is_complete = True
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise OSError(str(error) or "the connection was closed") from error
            finally:
                if not is_complete:
                    # The peer would take the next envelope for the rest of this one.
                    with trio.CancelScope(shield=True):
                        await trio.aclose_forcefully(stream)

    async def close(self) -> None:
        """Close the connection; unsent data is dropped."""
        self._scope.cancel()
        await trio.lowlevel.checkpoint()


async def _greet(stream: trio.abc.Stream) -> bool:
    """Exchange greetings; return whether the peer receives what is pushed."""
    await stream.send_all(_PUSH_GREETING)
    received = b""
    while len(received) < len(_PULL_GREETING):
        data = await stream.receive_some(len(_PULL_GREETING) - len(received))
        if not data:
            return False
        received += data
    return received == _PULL_GREETING
