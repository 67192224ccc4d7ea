"""A busy instance sends nothing for an instance that no longer wants it.

Requests reached leaves 0.56 s after their caller had left: the processor of the
instance that gathered was busy while it sent them, and the tasks that send ran before
the end of the question was noticed.
"""

from contextlib import suppress

import trio

from walkcart.leaves.access import LeafAccess
from walkcart.membership.links import PeerLinks
from walkcart.platform.tests import platformworld
from walkcart.platform.tests.test_delegation import count_arrived, with_two_regions
from walkcart.wire.delegations import DelegatedCancel, DelegatedRenewal
from walkcart.wire.http import ExchangeFailed, HttpConnection

#: Seconds for which the processor of the gathering instance is busy: longer than a
#: question goes on without a renewal.
BUSY_TIME = 0.6


def keep_busy(monkeypatch, act=lambda: None):
    """Keep the processor busy after the first request of a question was sent.

    Args:
        monkeypatch: fixture of the test.
        act: called when it becomes busy.
    """
    admit = LeafAccess.admit
    sent = []

    def admit_and_work(access, leaf, attempt):
        refusal = admit(access, leaf, attempt)
        if not sent:
            sent.append(attempt)
            act()
            trio.lowlevel.current_clock().jump(BUSY_TIME)
        return refusal

    monkeypatch.setattr(LeafAccess, "admit", admit_and_work)


def test_requests_after_a_busy_time_are_not_sent_without_a_renewal(monkeypatch):
    send = PeerLinks.send

    def lose_renewals(links, name, message):
        if isinstance(message, (DelegatedRenewal, DelegatedCancel)):
            return True
        return send(links, name, message)

    async def scenario(world):
        await world.ask("/all/x", "asker", deadline_ms=4000)
        before = count_arrived(world)
        monkeypatch.setattr(PeerLinks, "send", lose_renewals)
        keep_busy(monkeypatch)
        with trio.move_on_after(0.1):
            await world.ask("/all/x", "asker", deadline_ms=4000)
        await trio.sleep(2)
        return before, count_arrived(world)

    before, after = with_two_regions(scenario, timeoutMs=4000)
    assert before == [1, 1, 1, 1]
    assert after == before


def test_requests_after_a_busy_time_are_sent_once_renewals_are_read(monkeypatch):
    """The asking instance still wants the answer; its renewals wait to be read."""

    async def scenario(world):
        await world.ask("/all/x", "asker", deadline_ms=4000)
        keep_busy(monkeypatch)
        return (await world.ask("/all/x", "asker", deadline_ms=4000)).status

    assert with_two_regions(scenario, timeoutMs=4000) == 200


def test_requests_after_a_busy_time_are_not_sent_for_a_caller_that_left(monkeypatch):
    """The instance that the caller asked is busy itself when the caller leaves."""
    connections = []

    class RecordedConnection(HttpConnection):
        def __init__(self, stream, host, body_limit):
            super().__init__(stream, host, body_limit)
            connections.append(stream)

    async def scenario(world):
        await world.ask("/all/x", "helper", deadline_ms=4000)
        before = count_arrived(world)
        monkeypatch.setattr(platformworld, "HttpConnection", RecordedConnection)
        keep_busy(monkeypatch, lambda: connections[-1].reset())
        with suppress(ExchangeFailed):
            await world.ask("/all/x", "helper", deadline_ms=4000)
        await trio.sleep(2)
        return before, count_arrived(world)

    before, after = with_two_regions(scenario, timeoutMs=4000)
    assert before == [1, 1, 1, 1]
    assert sum(after) <= sum(before) + 1
