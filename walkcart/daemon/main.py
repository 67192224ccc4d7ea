"""The program ``walkcartd``."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from functools import partial
from random import Random
from typing import TextIO, cast

import trio

from walkcart.daemon.assembly import Instance, assemble_instance
from walkcart.daemon.environment import Environment
from walkcart.daemon.eventloop import EXIT_FAILED, EXIT_OK, run_event_loop
from walkcart.daemon.processlog import ProcessLog
from walkcart.daemon.processsetup import (
    STDERR,
    ProcessSetup,
    prepare_process,
)
from walkcart.daemon.signalwatch import RECEIVED_SIGNALS, SignalWatch
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.logsink import LogSink
from walkcart.kernel.settings import (
    LoadedSettings,
    Settings,
    describe_settings,
    load_settings,
)
from walkcart.wire.network import TcpNetwork
from walkcart.wire.peers import NngTransport

EXIT_USAGE = 2
CHECK_FLAG = "--check-settings"
HELP_FLAGS = ("--help", "-h")


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the daemon and exit the process."""
    setup = prepare_process()
    given = list(sys.argv[1:] if arguments is None else arguments)
    sys.exit(run_daemon(given, os.environ, setup))


def run_daemon(arguments: list[str], environment, setup: ProcessSetup) -> int:
    """Run the daemon.

    Returns:
        0 after a graceful stop, 1 if the daemon can't run or stopped before all work in
        progress was done, 2 for invalid settings.
    """
    if any(flag in arguments for flag in HELP_FLAGS):
        _print_help()
        return EXIT_OK
    check = CHECK_FLAG in arguments
    loaded = load_settings(
        [text for text in arguments if text != CHECK_FLAG], environment
    )
    for fault in loaded.faults:
        print(f"walkcartd: {fault}", file=sys.stderr)
    if loaded.faults:
        return EXIT_USAGE
    if check:
        _print_settings(loaded)
        return EXIT_OK
    sink = LogSink(STDERR)
    log = ProcessLog(cast(TextIO, sink), loaded.settings.instance)
    log.log_start(None)
    run = partial(_run_instance, loaded.settings, setup, log)
    try:
        return run_event_loop(run, setup, log)
    finally:
        sink.flush()


def _print_settings(loaded: LoadedSettings) -> None:
    for name, value, source in describe_settings(loaded):
        print(f"{name:20} {value:24} {source}")


def _print_help() -> None:
    from dataclasses import fields

    from walkcart.kernel.settings import ENVIRONMENT_PREFIX, format_flag

    print("usage: walkcartd [--check-settings] [--FLAG VALUE ...]\n")
    for item in fields(Settings):
        variable = ENVIRONMENT_PREFIX + item.name.upper()
        print(f"{format_flag(item.name)}, {variable}")
        print(f"    {item.metadata['help']} Default: {item.metadata['default']!r}.")


async def _run_instance(
    settings: Settings, setup: ProcessSetup, log: ProcessLog
) -> int:
    watch = SignalWatch(setup.stop_signal)
    with trio.open_signal_receiver(*RECEIVED_SIGNALS) as received:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run, received)
            code = await _start_and_serve(settings, watch, log)
            nursery.cancel_scope.cancel()
    return code


async def _start_and_serve(
    settings: Settings, watch: SignalWatch, log: ProcessLog
) -> int:
    environment = Environment(
        TcpNetwork(), NngTransport(), TrioClock(), Random(), log.stream
    )
    instance = None
    with watch.start_scope:
        instance = await assemble_instance(settings, environment)
    if instance is None:
        log.log_end(watch.stop_reason, EXIT_OK, serving=False)
        return EXIT_OK
    code = await run_until_signal(instance, watch)
    log.log_end(watch.stop_reason, code, serving=True)
    return code


async def run_until_signal(instance: Instance, watch: SignalWatch) -> int:
    """Run an instance until a signal, then stop it; a second signal aborts the stop.

    Returns:
        The exit code: 0 if all work in progress was done, else 1.
    """
    ended = True
    async with trio.open_nursery() as nursery:
        await nursery.start(instance.kernel.run)
        await watch.stopped.wait()
        async with trio.open_nursery() as stopping:
            stopping.start_soon(_cancel_on_signal, watch, stopping.cancel_scope)
            ended = await instance.stop.stop()
            stopping.cancel_scope.cancel()
        nursery.cancel_scope.cancel()
    return EXIT_OK if ended else EXIT_FAILED


async def _cancel_on_signal(watch: SignalWatch, scope: trio.CancelScope) -> None:
    await watch.stopped_again.wait()
    scope.cancel()


if __name__ == "__main__":
    main()
