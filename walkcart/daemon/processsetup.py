"""Prepares the process before any library is loaded.

Loading them takes a while, in which signals may arrive. This module uses only modules
that the interpreter has loaded already.
"""

from __future__ import annotations

import os
import signal
from types import FrameType

#: Signals that ask for a stop.
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
#: Signals that would end a process by default, but ask nothing of this one. For SIGHUP
#: that holds until the event loop runs; settings that change meanwhile are noticed by
#: the state of their file.
IGNORED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)
STDIN, STDOUT, STDERR = range(3)


class ProcessSetup:
    """What is known of the process from before its libraries were loaded."""

    def __init__(self) -> None:
        #: File descriptor for log lines.
        self.log_descriptor = STDOUT
        #: The first signal that asked for a stop before the event loop ran.
        self.stop_signal: int | None = None

    def record_stop(self, number: int, frame: FrameType | None) -> None:
        """Record a signal that asks for a stop; a handler for `signal.signal`."""
        if self.stop_signal is None:
            self.stop_signal = number


def prepare_process() -> ProcessSetup:
    """Set the handlers of signals, and make sure that standard streams are open."""
    setup = ProcessSetup()
    for number in IGNORED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    for number in STOP_SIGNALS:
        signal.signal(number, setup.record_stop)
    closed = open_missing_streams()
    if STDOUT in closed and STDERR not in closed:
        setup.log_descriptor = STDERR
    return setup


def ignore_stop_signals() -> None:
    """Ignore signals that ask for a stop, since the process ends anyway.

    The interpreter removes other handlers before it exits, and a further signal would
    then replace the exit code.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def open_missing_streams() -> list[int]:
    """Open closed standard streams, to nowhere; return their descriptors.

    Otherwise the next sockets that are opened would get these descriptors, and log
    lines would be written to them.
    """
    closed = [number for number in (STDIN, STDOUT, STDERR) if not _is_open(number)]
    for _ in closed:
        # The lowest closed descriptor is the one that is opened.
        os.open(os.devnull, os.O_RDWR)
    return closed


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True
