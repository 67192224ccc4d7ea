"""A machine may be suspended: its steady clock stands still, its boot clock doesn't."""

import time
from datetime import UTC, datetime, timedelta

import trio

from walkcart.kernel.clock import MAX_WAIT, BootClock, TrioClock, read_boot_time
from walkcart.membership.messageages import ClockReadings, Stamp


class Machine:
    """A machine whose suspensions the test brings about, in seconds."""

    def __init__(self):
        self.suspended = 0.0

    def read(self):
        return time.monotonic() + self.suspended


def test_what_became_due_while_suspended_is_seen_soon_after():
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


def test_the_time_of_day_counts_what_was_suspended():
    machine = Machine()

    async def run():
        epoch = datetime(2026, 1, 1, tzinfo=UTC)
        clock = TrioClock(epoch)
        machine.suspended += 100
        return clock.now() - epoch

    assert trio.run(run, clock=BootClock(machine.read)) >= timedelta(seconds=100)


def test_the_boot_clock_goes_on():
    first = read_boot_time()
    assert read_boot_time() >= first


def test_messages_that_waited_while_suspended_are_as_old_as_they_are():
    """The receiver was suspended for 5 s, with the envelope in its socket."""
    there = ClockReadings("there")
    boot, steady = ClockReadings("here"), ClockReadings("here")
    there.record_stamp("here", Stamp("here", sent_at=100.0), now=50.0)
    stamp = there.make_stamp("here", now=51.0)
    assert boot.find_age(stamp, now=106.0) >= 4.9
    # By a clock that stood still meanwhile the same envelope looks new.
    assert steady.find_age(stamp, now=101.0) < 0.1
