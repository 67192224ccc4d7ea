"""The program ``walkcartd`` on the users' platform.

The settings come from a file that the platform puts on the machine.
"""

from __future__ import annotations

import signal

from walkcart.daemon.deferred import skip_unused_modules

if __name__ == "__main__":
    # By default this signal would end the process while it loads its modules. Settings
    # that change meanwhile are noticed by the state of their file.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    skip_unused_modules()

import os
import sys
from functools import partial
from pathlib import Path
from random import Random
from typing import TextIO, cast

import trio

from walkcart.daemon.tenant import (
    Tenant,
    TenantEnvironment,
    assemble_tenant,
)
from walkcart.kernel.clock import BootClock, TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.librarylog import forward_library_logs
from walkcart.kernel.logsink import LogSink
from walkcart.kernel.numbers import read_number
from walkcart.platform.settings import (
    FILE_VARIABLE,
    BadSettings,
    PlatformSettings,
    read_settings,
)
from walkcart.store.calls import StoreCalls
from walkcart.wire.network import TcpNetwork
from walkcart.wire.peers import NngTransport

#: Environment variable with the port of the metrics page. The deploy file sets it, and
#: its `metrics` entry states the same port to the platform.
METRICS_VARIABLE = "WALKCART_METRICS_PORT"
MAX_PORT = 65535
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
#: Seconds between two checks of whether the settings file has changed, which can happen
#: without a signal: half of the time within which a change must be in force.
FILE_CHECK_INTERVAL = 1.0


def main() -> None:
    """Run the daemon and exit the process."""
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        print(f"walkcartd: {FILE_VARIABLE} isn't set", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    file_state = _read_file_state(Path(path))
    try:
        settings = read_settings(Path(path))
    except BadSettings as error:
        print(f"walkcartd: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    port = read_number(os.environ.get(METRICS_VARIABLE, "0"))
    if port is None or port > MAX_PORT:
        print(f"walkcartd: {METRICS_VARIABLE} must be a port number", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    run = partial(_run, settings, Path(path), file_state, port)
    sys.exit(trio.run(run, clock=BootClock()))


#: Modification time and size of a file, or None if it can't be read.
FileState = tuple[int, int] | None


async def _run(
    settings: PlatformSettings, path: Path, file_state: FileState, port: int
) -> int:
    log = cast(TextIO, LogSink(sys.stdout.fileno()))
    environment = TenantEnvironment(
        TcpNetwork(), NngTransport(), TrioClock(), Random(), log, port
    )
    try:
        tenant = await assemble_tenant(settings, environment)
    except OSError as error:
        print(f"walkcartd: can't listen on an address: {error}", file=sys.stderr)
        return EXIT_FAILED
    _log_invalid(tenant.kernel.find("events", EventLog), settings)
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    events = tenant.kernel.find("events", EventLog)
    with (
        forward_library_logs(events),
        trio.open_signal_receiver(*signals) as received,
    ):
        async with trio.open_nursery() as nursery:
            await nursery.start(tenant.kernel.run)
            nursery.start_soon(_watch_file, tenant, path, file_state)
            await _wait_for_stop(received, tenant, path)
            ended = await tenant.stop.stop()
            nursery.cancel_scope.cancel()
    return EXIT_OK if ended else EXIT_FAILED


async def _wait_for_stop(received, tenant: Tenant, path: Path) -> None:
    async for number in received:
        if number != signal.SIGHUP:
            return
        reload_settings(tenant, path)


async def _watch_file(tenant: Tenant, path: Path, seen: FileState) -> None:
    """Reload the settings whenever the file differs from its state `seen`."""
    while True:
        await trio.sleep(FILE_CHECK_INTERVAL)
        state = _read_file_state(path)
        if state != seen:
            seen = state
            reload_settings(tenant, path)


def _read_file_state(path: Path) -> FileState:
    """Return the state of a file."""
    try:
        status = path.stat()
    except OSError:
        return None
    return (status.st_mtime_ns, status.st_size)


def reload_settings(tenant: Tenant, path: Path) -> None:
    """Apply the settings that can change at run time: the address of the store.

    Invalid settings are logged, and those in force stay.
    """
    events = tenant.kernel.find("events", EventLog)
    try:
        settings = read_settings(path)
    except BadSettings as error:
        events.emit(Events.SETTINGS_BAD, detail=str(error))
        return
    _log_invalid(events, settings)
    tenant.kernel.find("calls", StoreCalls).set_address(settings.store)
    events.emit(Events.SETTINGS_RELOADED, store=str(settings.store))


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
    main()
