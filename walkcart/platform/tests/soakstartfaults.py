"""Faults of a soak test while its processes start and end.

Each function undoes what it did, also when it is cancelled.
"""

from __future__ import annotations

import resource
import signal
from collections.abc import Callable
from contextlib import suppress

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
#: Changes that make a settings file empty, cut short or invalid.
CHANGES: tuple[Callable[[str], str], ...] = (
    lambda text: "",
    lambda text: text[: len(text) // 3],
    lambda text: text.replace('front = "', 'front = "no '),
)
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


async def start_before_settings(soaked: Soaked, name: str, duration: float) -> None:
    """Start a daemon with settings that become valid later."""
    daemons = soaked.daemons
    if name not in daemons.running:
        return
    change = soaked.random.choice(CHANGES)
    with daemons.disturb(name):
        await daemons.end(name, signal.SIGKILL)
        with daemons.replace_settings(name, change):
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
        hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)[1]
        scarce = (soaked.random.choice(START_DESCRIPTORS), hard)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, scarce)
        try:
            await trio.sleep(duration)
        finally:
            daemons.restore_descriptors(name, process)


async def pause_start_and_stop(soaked: Soaked, name: str, duration: float) -> None:
    """Pause a daemon while it starts, and again while it stops."""
    daemons = soaked.daemons
    if name not in daemons.running:
        return
    with daemons.disturb(name):
        await daemons.end(name, signal.SIGKILL)
        daemons.start(name)
        process = daemons.running[name]
        stopping = False
        try:
            await trio.sleep(soaked.random.uniform(*PAUSE_DELAYS))
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(duration)
            process.send_signal(signal.SIGCONT)
            await trio.sleep(duration)
            if daemons.running.get(name) is process and daemons.has_started(name):
                process.send_signal(signal.SIGTERM)
                stopping = True
                await trio.sleep(soaked.random.uniform(*PAUSE_DELAYS))
                process.send_signal(signal.SIGSTOP)
                await trio.sleep(duration)
            if daemons.running.get(name) is process and daemons.has_started(name):
                code = await daemons.end(name, signal.SIGTERM)
                _check_code(soaked, name, signal.SIGTERM, code, True)
                daemons.start(name)
        finally:
            process.send_signal(signal.SIGCONT)
            if stopping and daemons.running.get(name) is process:
                # The end of the series cancels the wait for its end.
                daemons.kill(name)
                daemons.start(name)
