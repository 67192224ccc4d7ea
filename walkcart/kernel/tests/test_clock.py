"""Suspensions of the machine, which stop its monotonic clock but not its boot clock."""

import time
from datetime import UTC, datetime, timedelta

import trio

from walkcart.kernel.clock import MAX_WAIT, BootClock, TrioClock, read_boot_time
from walkcart.membership.messageages import ClockReadings, Stamp


class Machine:
    """A machine whose suspensions the test simulates, in seconds."""

    def __init__(self):
        self.suspended = 0.0

    def read(self):
        return time.monotonic() + self.suspended


def test_deadlines_that_passed_during_a_suspension_are_noticed_soon():
    machine = Machine()

    async def run():
        done = trio.Event()

        async def wait_long():
            await trio.sleep(3600)
            done.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_long)
            await trio.sleep(0.01)
            machine.suspended += 3600
            before = time.monotonic()
            await done.wait()
            return time.monotonic() - before

    assert trio.run(run, clock=BootClock(machine.read)) < 100 * MAX_WAIT


def test_time_of_day_includes_suspended_time():
    machine = Machine()

    async def run():
        epoch = datetime(2026, 1, 1, tzinfo=UTC)
        clock = TrioClock(epoch)
        machine.suspended += 100
        return clock.now() - epoch

    assert trio.run(run, clock=BootClock(machine.read)) >= timedelta(seconds=100)


def test_boot_clock_does_not_step_back():
    first = read_boot_time()
    assert read_boot_time() >= first


def test_age_of_a_message_includes_suspended_time():
    """Guards against taking a message as new after a suspension of its receiver.

    The receiver is suspended for 5 s while the envelope waits in its socket.
    """
    there = ClockReadings("there")
    boot, steady = ClockReadings("here"), ClockReadings("here")
    there.record_stamp("here", Stamp("here", sent_at=100.0), now=50.0)
    stamp = there.make_stamp("here", now=51.0)
    assert boot.find_age(stamp, now=106.0) >= 4.9
    # By a clock that stopped meanwhile the same envelope looks new.
    assert steady.find_age(stamp, now=101.0) < 0.1
