"""A stream that corrupts what is sent on it."""

from __future__ import annotations

from collections.abc import Callable

import trio

#: Given the bytes of one send, returns the bytes to send instead, and whether the
#: connection is closed after them.
Corrupt = Callable[[bytes], tuple[bytes, bool]]


class FaultyStream(trio.abc.Stream):
    """A stream whose sends are corrupted.

    Args:
        stream: the underlying stream.
        corrupt: applied to the bytes of each send.
    """

    def __init__(self, stream: trio.abc.Stream, corrupt: Corrupt) -> None:
        self._stream = stream
        self._corrupt = corrupt

    async def send_all(self, data: bytes) -> None:
        """Send the corrupted form of `data`."""
        sent, close = self._corrupt(bytes(data))
        if sent:
            await self._stream.send_all(sent)
        if close:
            await trio.aclose_forcefully(self._stream)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the stream accepts more."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes."""
        return await self._stream.receive_some(max_bytes)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()
