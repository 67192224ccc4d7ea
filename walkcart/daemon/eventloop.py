"""Runs a daemon's event loop, and waits where there is no room for it yet.

See Also:
    `walkcart.daemon.signalwatch`, for signals while the event loop runs.
"""

from __future__ import annotations

import errno
import signal
import time
from collections.abc import Awaitable, Callable

import trio

from walkcart.daemon.processlog import ProcessLog
from walkcart.daemon.processsetup import ProcessSetup, ignore_stop_signals
from walkcart.kernel.clock import BootClock
from walkcart.kernel.events import Events

EXIT_OK = 0
EXIT_FAILED = 1
#: Errors of a lack of descriptors or memory, which other programs may give back.
SCARCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})
#: Seconds between two tries, and number of tries between two log lines.
RETRY_INTERVAL = 0.25
TRIES_PER_LINE = 20


def run_event_loop(
    main: Callable[[], Awaitable[int]], setup: ProcessSetup, log: ProcessLog
) -> int:
    """Run `main` in an event loop; return its exit code.

    An event loop needs a few descriptors, which are waited for. Further signals that
    ask for a stop are ignored from the end of `main` on, as the interpreter's own end
    takes a while and would otherwise be cut short by them.
    """
    loop = _EventLoop(main)
    tries = 0
    try:
        while setup.stop_signal is None or not tries:
            try:
                return trio.run(loop.run, clock=BootClock())
            except OSError as error:
                if loop.started or error.errno not in SCARCE_ERRORS:
                    raise
                if tries % TRIES_PER_LINE == 0:
                    detail = f"can't start: {error}"
                    log.events.emit(
                        Events.LIBRARY_WARNING, library="trio", detail=detail
                    )
            tries += 1
            time.sleep(RETRY_INTERVAL)
        reason = signal.Signals(setup.stop_signal).name if setup.stop_signal else ""
        log.log_end(reason, EXIT_OK, serving=False)
        return EXIT_OK
    except BaseException as error:
        log.log_error(error, EXIT_FAILED)
        raise
    finally:
        ignore_stop_signals()


class _EventLoop:
    """What runs in the event loop, and whether it has begun."""

    def __init__(self, main: Callable[[], Awaitable[int]]) -> None:
        self._main = main
        self.started = False

    async def run(self) -> int:
        self.started = True
        return await self._main()
