"""The program ``walkcartd`` on the users' platform.

The settings come from a file that the platform puts on the machine.
"""

from __future__ import annotations

from walkcart.daemon.deferred import skip_unused_modules
from walkcart.daemon.processsetup import (
    ProcessSetup,
    prepare_process,
)

if __name__ == "__main__":
    _setup = prepare_process()
    skip_unused_modules()

import os
import sys
from functools import partial
from pathlib import Path
from random import Random
from typing import TextIO, cast

import trio

from walkcart.daemon.eventloop import EXIT_FAILED, EXIT_OK, run_event_loop
from walkcart.daemon.processlog import ProcessLog
from walkcart.daemon.signalwatch import RECEIVED_SIGNALS, SignalWatch
from walkcart.daemon.tenant import (
    Tenant,
    TenantEnvironment,
    assemble_tenant,
)
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.dependencylog import forward_library_logs
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.logsink import LogSink
from walkcart.kernel.numbers import read_number
from walkcart.platform.settings import (
    DEFAULT_FILE,
    FILE_VARIABLE,
    BadSettings,
    PlatformSettings,
    read_settings,
)
from walkcart.store.calls import StoreCalls
from walkcart.wire.network import TcpNetwork
from walkcart.wire.peers import MAX_CONNECTIONS, NngTransport

#: Environment variable with the port of the metrics page. The deploy file sets it, and
#: its `metrics` entry states the same port to the platform.
METRICS_VARIABLE = "WALKCART_METRICS_PORT"
MAX_PORT = 65535
#: Seconds between two checks of whether the settings file has changed, which can happen
#: without a signal: half of the time within which a change must be in force.
FILE_CHECK_INTERVAL = 1.0
#: Seconds between two reads of an unusable settings file at the start, and between
#: two log lines about it.
AWAIT_INTERVAL = 0.25
AWAIT_LOG_INTERVAL = 5.0
#: Least time between two reads of the settings file while the instance runs, in
#: seconds, however many signals ask for it.
MIN_RELOAD_INTERVAL = 0.1


def main(setup: ProcessSetup) -> None:
    """Run the daemon and exit the process."""
    sink = LogSink(setup.log_descriptor)
    log = ProcessLog(cast(TextIO, sink))
    path = find_settings_path(log)
    program = _Program(setup, path, log, cast(TextIO, sink))
    try:
        code = run_event_loop(program.run, setup, log)
    finally:
        sink.flush()
    sys.exit(code)


def find_settings_path(log: ProcessLog) -> Path:
    """Return the path of the settings file, after logging the process's start."""
    text = os.environ.get(FILE_VARIABLE, "")
    log.log_start(text or DEFAULT_FILE)
    if not text:
        log.events.emit(
            Events.SETTING_INVALID,
            setting=FILE_VARIABLE,
            value=text,
            expected=f"the path of the settings file; {DEFAULT_FILE} is used",
        )
    return Path(text or DEFAULT_FILE)


class _Program:
    """One run of the daemon.

    Args:
        setup: what is known from before the libraries were loaded.
        path: path of the settings file.
        log: log of the process's start and end.
        stream: stream for log lines.
    """

    def __init__(
        self, setup: ProcessSetup, path: Path, log: ProcessLog, stream: TextIO
    ) -> None:
        self._setup = setup
        self._path = path
        self._log = log
        self._stream = stream

    async def run(self) -> int:
        """Run until a signal asks for a stop; return the exit code."""
        with trio.open_signal_receiver(*RECEIVED_SIGNALS) as received:
            watch = SignalWatch(self._setup.stop_signal)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run, received)
                code = await self._start_and_serve(watch)
                nursery.cancel_scope.cancel()
        return code

    async def _start_and_serve(self, watch: SignalWatch) -> int:
        tenant, state = None, None
        with watch.start_scope:
            settings, state = await wait_for_settings(
                self._path, watch, self._log.events
            )
            self._log.set_instance(settings.instance)
            tenant = await self._assemble(settings)
        if tenant is None:
            self._log.log_end(watch.stop_reason, EXIT_OK, serving=False)
            return EXIT_OK
        code = await _serve(tenant, self._path, state, watch)
        self._log.log_end(watch.stop_reason, code, serving=True)
        return code

    async def _assemble(self, settings: PlatformSettings) -> Tenant:
        _log_invalid(self._log.events, settings)
        environment = TenantEnvironment(
            TcpNetwork(),
            NngTransport(on_full=partial(_log_full_peers, self._log.events)),
            TrioClock(),
            Random(),
            self._stream,
            find_metrics_port(self._log.events),
        )
        return await assemble_tenant(settings, environment)


def _log_full_peers(events: EventLog) -> None:
    events.emit(Events.CONNECTIONS_FULL, purpose="peers", connections=MAX_CONNECTIONS)


def find_metrics_port(events: EventLog) -> int:
    """Return the port of the metrics page; 0, for none, if it's missing or invalid."""
    text = os.environ.get(METRICS_VARIABLE, "0")
    port = read_number(text)
    if port is not None and port <= MAX_PORT:
        return port
    events.emit(
        Events.SETTING_INVALID,
        setting=METRICS_VARIABLE,
        value=text,
        expected=f"a port number up to {MAX_PORT}; no metrics page is served",
    )
    return 0


async def _serve(
    tenant: Tenant, path: Path, state: FileState, watch: SignalWatch
) -> int:
    """Serve until a signal asks for a stop; return the exit code."""
    with forward_library_logs(tenant.kernel.find("events", EventLog)):
        async with trio.open_nursery() as nursery:
            await nursery.start(tenant.kernel.run)
            nursery.start_soon(_follow_settings, tenant, path, state, watch)
            await watch.stopped.wait()
            ended = await tenant.stop.stop()
            nursery.cancel_scope.cancel()
    return EXIT_OK if ended else EXIT_FAILED


#: Modification time and size of a file, or None if it can't be read.
FileState = tuple[int, int] | None


async def wait_for_settings(
    path: Path, watch: SignalWatch, events: EventLog
) -> tuple[PlatformSettings, FileState]:
    """Read the settings file; wait until it's there, complete and valid."""
    logged = float("-inf")
    while True:
        state = _read_file_state(path)
        try:
            return read_settings(path), state
        except BadSettings as error:
            if trio.current_time() >= logged + AWAIT_LOG_INTERVAL:
                logged = trio.current_time()
                events.emit(Events.SETTINGS_AWAITED, detail=str(error))
        await watch.wait_reload(AWAIT_INTERVAL)


async def _follow_settings(
    tenant: Tenant, path: Path, seen: FileState, watch: SignalWatch
) -> None:
    """Reload the settings on request, and when the file differs from its state `seen`.

    A file that can't be read is tried again, as its state may not change any more.
    """
    failure: str | None = None
    while True:
        requested = await watch.wait_reload(FILE_CHECK_INTERVAL)
        state = _read_file_state(path)
        if requested or failure or state != seen:
            failure = reload_settings(tenant, path, None if requested else failure)
            seen = state
        await trio.sleep(MIN_RELOAD_INTERVAL)


def _read_file_state(path: Path) -> FileState:
    """Return the state of a file."""
    try:
        status = path.stat()
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size)


def reload_settings(
    tenant: Tenant, path: Path, logged: str | None = None
) -> str | None:
    """Apply the settings that can change at run time: the address of the store.

    Invalid settings are logged, and those in force stay.

    Args:
        tenant: the running instance.
        path: path of the settings file.
        logged: a failure that was logged already.

    Returns:
        Why the settings are invalid; None if they were applied.
    """
    events = tenant.kernel.find("events", EventLog)
    try:
        settings = read_settings(path)
    except BadSettings as error:
        if str(error) != logged:
            events.emit(Events.SETTINGS_BAD, detail=str(error))
        return str(error)
    _log_invalid(events, settings)
    tenant.kernel.find("calls", StoreCalls).set_address(settings.store)
    events.emit(Events.SETTINGS_RELOADED, store=str(settings.store))
    return None


def _log_invalid(events: EventLog, settings: PlatformSettings) -> None:
    """Log the optional settings whose defaults replace invalid values."""
    for fault in settings.invalid:
        events.emit(
            Events.SETTING_INVALID,
            setting=fault.name,
            value=fault.value,
            expected=fault.expected,
        )


if __name__ == "__main__":
    main(_setup)
