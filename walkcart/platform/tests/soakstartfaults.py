"""Faults of a soak test while its processes start and end.

Each function undoes what it did, also when it is cancelled.
"""

from __future__ import annotations

import resource
import signal
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import trio

from walkcart.platform.tests.processworld import POLL_INTERVAL
from walkcart.platform.tests.soaked import Soaked

#: Ends in one series, and bounds of the seconds between them.
SERIES_ENDS = 6
SERIES_INTERVALS = (0.05, 1.0)
#: Most signals to read the settings again that come just before an end.
MAX_RELOADS = 4
#: Limits of the descriptors of a daemon that starts.
START_DESCRIPTORS = (6, 8, 10, 12, 16, 20)
#: A text of the settings file, and the one that makes its address invalid.
INVALID_ADDRESS = ('front = "', 'front = "no ')
#: Bounds of the seconds until a daemon that starts or stops is paused.
PAUSE_DELAYS = (0.0, 0.8)


def _check_code(soaked: Soaked, name: str, number: int, code: int, had: bool) -> None:
    """Record a stop that failed; `had` tells whether the daemon had begun to serve."""
    # A signal may end a daemon whose interpreter still starts.
    early = not had and code in (-number, -signal.SIGHUP)
    if number == signal.SIGTERM and code not in (0, -signal.SIGKILL) and not early:
        soaked.daemons.broken.append(f"{name} ended after SIGTERM with {code}")


async def end_by_turns(soaked: Soaked, name: str, duration: float) -> None:
    """End and start a daemon in series, with signals to read its settings again."""
    daemons = soaked.daemons
    for _ in range(SERIES_ENDS):
        with daemons.disturb(name):
            await trio.sleep(soaked.random.uniform(*SERIES_INTERVALS))
            if name not in daemons.running:
                return
            had = daemons.has_started(name)
            if had:
                for _ in range(soaked.random.randint(0, MAX_RELOADS)):
                    daemons.signal(name, signal.SIGHUP)
            number = soaked.random.choice((signal.SIGKILL, signal.SIGTERM))
            code = await daemons.end(name, number)
            _check_code(soaked, name, number, code, had)
            daemons.start(name)


async def stop_again(soaked: Soaked, name: str, duration: float) -> None:
    """Stop a daemon with further signals that ask for a stop until it has ended."""
    daemons = soaked.daemons
    process = daemons.running.get(name)
    if process is None:
        return

    async def repeat() -> None:
        while process.poll() is None:
            process.send_signal(
                soaked.random.choice((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
            )
            await trio.sleep(POLL_INTERVAL * soaked.random.random())

    had = daemons.has_started(name)
    async with trio.open_nursery() as nursery:
        if had:
            nursery.start_soon(repeat)
        code = await daemons.end(name, signal.SIGTERM)
        nursery.cancel_scope.cancel()
    _check_code(soaked, name, signal.SIGTERM, code, had)
    daemons.start(name)


@contextmanager
def _replace_settings(soaked: Soaked, name: str, text: str) -> Iterator[None]:
    machine = soaked.daemons.machines[name]
    whole = machine.settings
    machine.settings = text
    try:
        yield
    finally:
        machine.settings = whole
        machine.settings_path.write_text(whole, encoding="utf-8")


async def start_before_settings(soaked: Soaked, name: str, duration: float) -> None:
    """Start a daemon with settings that become valid later."""
    daemons = soaked.daemons
    if name not in daemons.running:
        return
    whole = daemons.machines[name].settings
    texts = ("", whole[: len(whole) // 3], whole.replace(*INVALID_ADDRESS))
    with daemons.disturb(name):
        await daemons.end(name, signal.SIGKILL)
        with _replace_settings(soaked, name, soaked.random.choice(texts)):
            daemons.start(name)
            await trio.sleep(duration)


async def start_without_descriptors(soaked: Soaked, name: str, duration: float) -> None:
    """Start a daemon with nearly no descriptors, and give it more later."""
    daemons = soaked.daemons
    if name not in daemons.running:
        return
    with daemons.disturb(name), suppress(ProcessLookupError):
        await daemons.end(name, signal.SIGKILL)
        daemons.start(name)
        process = daemons.running[name]
        limits = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        scarce = (soaked.random.choice(START_DESCRIPTORS), limits[1])
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, scarce)
        try:
            await trio.sleep(duration)
        finally:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)


async def pause_start_and_stop(soaked: Soaked, name: str, duration: float) -> None:
    """Pause a daemon while it starts, and again while it stops."""
    daemons = soaked.daemons
    if name not in daemons.running:
        return
    with daemons.disturb(name):
        await daemons.end(name, signal.SIGKILL)
        daemons.start(name)
        process = daemons.running[name]
        try:
            await trio.sleep(soaked.random.uniform(*PAUSE_DELAYS))
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(duration)
            process.send_signal(signal.SIGCONT)
            await trio.sleep(duration)
            if daemons.running.get(name) is process and daemons.has_started(name):
                process.send_signal(signal.SIGTERM)
                await trio.sleep(soaked.random.uniform(*PAUSE_DELAYS))
                process.send_signal(signal.SIGSTOP)
                await trio.sleep(duration)
            if daemons.running.get(name) is process and daemons.has_started(name):
                code = await daemons.end(name, signal.SIGTERM)
                _check_code(soaked, name, signal.SIGTERM, code, True)
                daemons.start(name)
        finally:
            process.send_signal(signal.SIGCONT)
