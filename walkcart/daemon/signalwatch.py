"""The signals that a running process gets."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator

import trio

from walkcart.daemon.processsetup import STOP_SIGNALS

#: Signals that are received while the event loop runs.
RECEIVED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class SignalWatch:
    """Tells whether the process was asked to stop or to read its settings again.

    Args:
        stop_signal: a signal that asked for a stop before; None if there was none.
    """

    def __init__(self, stop_signal: int | None = None) -> None:
        #: The first signal that asked for a stop.
        self.stop_signal: int | None = None
        self.stopped = trio.Event()
        #: Set by a further signal that asks for a stop.
        self.stopped_again = trio.Event()
        #: Scope of the start, which a stop cancels.
        self.start_scope = trio.CancelScope()
        self._reload = trio.Event()
        if stop_signal is not None:
            self._request_stop(stop_signal)

    @property
    def stop_reason(self) -> str:
        """The name of the signal that asked for a stop."""
        return signal.Signals(self.stop_signal).name if self.stop_signal else ""

    async def run(self, received: AsyncIterator[int]) -> None:
        """Receive signals until cancelled."""
        async for number in received:
            if number == signal.SIGHUP:
                self._reload.set()
            else:
                self._request_stop(number)

    def _request_stop(self, number: int) -> None:
        if self.stop_signal is not None:
            self.stopped_again.set()
            return
        self.stop_signal = number
        self.stopped.set()
        self.start_scope.cancel()

    async def wait_reload(self, seconds: float) -> bool:
        """Wait up to `seconds` for a request to read the settings again.

        Returns:
            Whether there was one.
        """
        with trio.move_on_after(seconds):
            await self._reload.wait()
        requested = self._reload.is_set()
        self._reload = trio.Event()
        return requested
