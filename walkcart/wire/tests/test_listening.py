"""Listening on addresses that can't be had at once."""

import errno
import io
from datetime import timedelta

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.wire.listening import (
    ListenTools,
    Place,
    is_listening,
    listen_soon,
    retry_listen,
)

ERRORS = [
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EMFILE,
    errno.EACCES,
    errno.EPERM,
    errno.EINVAL,
    errno.EAFNOSUPPORT,
    errno.ENETUNREACH,
    None,
]


class Listening:
    """Fails some times with an error, and then succeeds."""

    def __init__(self, number, failures):
        self.error = OSError("unknown") if number is None else OSError(number, "no")
        self.failures = failures

    async def __call__(self):
        if self.failures:
            self.failures -= 1
            raise self.error
        return Accepting()


class Accepting(trio.abc.Listener):
    async def accept(self):
        return "a connection"

    async def aclose(self):
        pass


@pytest.mark.parametrize("number", ERRORS)
@pytest.mark.parametrize("required", [True, False])
def test_any_error_of_listening_is_waited_out(number, required):
    log = io.StringIO()

    async def run():
        clock = TrioClock()
        tools = ListenTools(clock, EventLog("one", clock, log))
        place = Place("callers", "10.0.0.1:80", required)
        await retry_listen(Listening(number, 3), place, tools)
        listener = await listen_soon(Listening(number, 3), place, tools)
        before = is_listening(listener)
        with trio.fail_after(timedelta(seconds=60).total_seconds()):
            return before, await listener.accept(), is_listening(listener)

    assert run_mocked(run) == (False, "a connection", True)
    assert log.getvalue().count('"address_busy"') == 2
