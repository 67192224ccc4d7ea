"""Faults of a soak test's daemons that begin, or end, a process.

Each function undoes what it did, also when it is cancelled.
"""

from __future__ import annotations

import resource
import signal
from collections.abc import Callable
from subprocess import Popen

import trio

from walkcart.daemon.tests.test_platform_program import has_signal
from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import HOST
from walkcart.platform.tests.soaked import Soaked
from walkcart.platform.tests.soakprocessfaults import check_stop
from walkcart.platform.tests.test_bad_store_replies import BAD_REPLIES
from walkcart.wire.network import TcpNetwork

#: Times that the store changes what it answers with while a daemon starts.
REPLIES = 3
#: Limits of the descriptors and of the address space of a daemon that is flooded.
FLOODED_DESCRIPTORS = (40, 64, 200)
FLOODED_MEMORY = (300 << 20, 400 << 20, 1 << 30)
#: Connections of a flood, more than a flooded daemon has descriptors, and restarts
#: during one.
FLOOD, FLOODED_STARTS = 250, 2
#: Size of the body that each fourth one sends, in bytes.
FLOOD_BODY = 1 << 20
#: Signals of a storm, and the seconds between two of them.
STORM, STORM_INTERVAL = 60, 0.01
#: Signals that ask a running daemon for nothing, or to read its settings again.
HARMLESS_SIGNALS = (signal.SIGHUP, signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2)
#: Signals that a daemon gets while it stops, and the longest pause, in seconds.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGSTOP)
MAX_STOP_PAUSE = 1.0


def _empty(text: str) -> str:
    return ""


def _cut_short(text: str) -> str:
    return text[: len(text) // 2]


def _unparsable(text: str) -> str:
    return text + "[listen\n"


def _nested_deep(text: str) -> str:
    return "a = " + "[" * 5000 + "]" * 5000 + "\n" + text


def _without_store(text: str) -> str:
    return text.partition("[platform]")[0]


#: Changes to a settings file that a start waits for the end of.
CHANGES: tuple[Callable[[str], str], ...] = (
    _empty,
    _cut_short,
    _unparsable,
    _nested_deep,
    _without_store,
)


async def start_with_bad_settings(soaked: Soaked, name: str, duration: float) -> None:
    """Start a daemon with settings that can't be used, and correct them later."""
    daemons = soaked.daemons
    if name not in daemons.running:
        return
    change = soaked.random.choice(CHANGES)
    with daemons.disturb(name):
        await daemons.end(name, signal.SIGKILL)
        with daemons.replace_settings(name, change):
            daemons.start(name)
            await daemons.wait_begun(name)
            await trio.sleep(duration)


async def start_with_bad_store(soaked: Soaked, name: str, duration: float) -> None:
    """Start a daemon while each reply of the store that it gets is malformed."""
    daemons, proxy = soaked.daemons, soaked.environment.store_proxies[name]
    if name not in daemons.running:
        return
    await daemons.end(name, signal.SIGKILL)
    try:
        proxy.set_reply(b"")
        daemons.start(name)
        await daemons.wait_begun(name)
        for reply in soaked.random.sample(sorted(BAD_REPLIES.values()), REPLIES):
            proxy.set_reply(reply)
            await trio.sleep(duration / REPLIES)
    finally:
        proxy.set_reply(None)


async def send_signals(soaked: Soaked, name: str, duration: float) -> None:
    """Send signals in series to a daemon: while it starts, runs and stops."""
    daemons = soaked.daemons
    if (process := daemons.running.get(name)) is None:
        return
    with trio.move_on_after(duration):
        # Until then SIGHUP ends a process, as it does any.
        while process.poll() is None and not _ignores_signals(process):
            await trio.sleep(STORM_INTERVAL)
    if process.poll() is not None or not _ignores_signals(process):
        return
    for _ in range(STORM):
        process.send_signal(soaked.random.choice(HARMLESS_SIGNALS))
        await trio.sleep(STORM_INTERVAL)
    if daemons.running.get(name) is not process:
        return
    early = not daemons.has_started(name)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_disturb_stop, soaked, process)
        code = await daemons.end(name, signal.SIGTERM)
        nursery.cancel_scope.cancel()
    check_stop(daemons, name, code, early)
    daemons.start(name)


def _ignores_signals(process: Popen[bytes]) -> bool:
    """Return whether SIGHUP doesn't end a process, now or any more."""
    try:
        return any(
            has_signal(process.pid, mask, signal.SIGHUP)
            for mask in ("SigIgn", "SigCgt")
        )
    except (FileNotFoundError, ProcessLookupError):
        return False


async def _disturb_stop(soaked: Soaked, process: Popen[bytes]) -> None:
    """Send signals to a process that stops, and pause it."""
    while True:
        await trio.sleep(soaked.random.uniform(0.0, 0.3))
        number = soaked.random.choice(STOP_SIGNALS)
        process.send_signal(number)
        if number == signal.SIGSTOP:
            try:
                await trio.sleep(soaked.random.uniform(0.0, MAX_STOP_PAUSE))
            finally:
                process.send_signal(signal.SIGCONT)
            # One pause: several would take all of the time that a stop has.
            return


async def flood_starts(soaked: Soaked, name: str, duration: float) -> None:
    """Restart a daemon with few descriptors and little memory during a flood."""
    daemons, machine = soaked.daemons, soaked.daemons.machines[name]
    machine.limits = {
        resource.RLIMIT_NOFILE: soaked.random.choice(FLOODED_DESCRIPTORS),
        resource.RLIMIT_AS: soaked.random.choice(FLOODED_MEMORY),
    }
    try:
        with daemons.disturb(name):
            async with trio.open_nursery() as nursery:
                for number in range(FLOOD):
                    nursery.start_soon(_flood, machine.callers, number % 4 == 0)
                for _ in range(FLOODED_STARTS):
                    await _restart(soaked, name)
                    await daemons.wait_begun(name)
                    await trio.sleep(duration / FLOODED_STARTS)
                nursery.cancel_scope.cancel()
    finally:
        daemons.restore_limits(name)
        # A process keeps its limits, and the end of the series may cancel this one.
        daemons.kill(name)
    daemons.start(name)


async def _restart(soaked: Soaked, name: str) -> None:
    if name in soaked.daemons.running:
        await soaked.daemons.end(name, signal.SIGKILL)
        soaked.daemons.start(name)


async def _flood(address: HostPort, has_body: bool) -> None:
    """Connect again and again; send nothing, or a request with a long body."""
    head = f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: flood\r\n"
    head += f"Content-Length: {FLOOD_BODY}\r\n\r\n"
    while True:
        try:
            async with await TcpNetwork().connect(address) as stream:
                if has_body:
                    await stream.send_all(head.encode() + b"x" * (FLOOD_BODY - 1))
                await stream.receive_some(1)
        except (OSError, trio.BrokenResourceError):
            pass
        await trio.sleep(0.1)
