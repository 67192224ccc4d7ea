"""Pages of the instance list that can't be read, whole or in part."""

from __future__ import annotations

from datetime import timedelta
from io import StringIO
from random import Random

import msgspec
import pytest
import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.settings import HostPort
from walkcart.membership.listing import InstanceList
from walkcart.standins.serving import StandinServer
from walkcart.wire.http import HttpReply
from walkcart.wire.network import TcpNetwork

LEAF = {"name": "leaf", "role": "leaf", "address": "127.0.0.1:9"}
DEEP = b'{"notes": ' + b"[" * 1500 + b"]" * 1500 + b"}"


class IgnoredStates:
    """Stands for the view and the marks, which aren't looked at."""

    def __getattr__(self, name):
        return lambda *arguments: ()


def read_list(body):
    """Return the names of the leaves that are read from a body, and the log."""
    log = StringIO()

    async def reply(request):
        await trio.lowlevel.checkpoint()
        return HttpReply(200, (), body)

    async def run():
        async with trio.open_nursery() as nursery:
            network = TcpNetwork()
            address = await nursery.start(
                StandinServer(reply).run, network, HostPort("127.0.0.1", 0)
            )
            events = EventLog("one", TrioClock(), log)
            ignored = IgnoredStates()
            listing = InstanceList(
                address, network, ignored, ignored, events, Random(1), timedelta(1)
            )
            await nursery.start(listing.run)
            nursery.cancel_scope.cancel()
            return [leaf.name for leaf in listing.leaves()]

    return trio.run(run), log.getvalue()


def make_page(*rows):
    data = b",".join(
        row if isinstance(row, bytes) else msgspec.json.encode(row) for row in rows
    )
    return b'{"revision": 1, "full": true, "instances": [' + data + b"]}"


@pytest.mark.parametrize(
    "row",
    [
        b"7",
        b"{}",
        msgspec.json.encode(LEAF | {"incarnation": 2**64}),
        msgspec.json.encode(LEAF | {"labels": {"shard": 1}}),
    ],
    ids=["number", "empty", "long", "labels"],
)
def test_row_that_cannot_be_read_costs_itself(row):
    leaves, log = read_list(make_page(row, LEAF))
    assert leaves == ["leaf"]
    assert log.count("instance_list_failed") == 1


@pytest.mark.parametrize("body", [DEEP, make_page(DEEP, LEAF), b"", b"["])
def test_page_that_cannot_be_read_is_logged(body):
    leaves, log = read_list(body)
    assert leaves == []
    assert log.count("instance_list_failed") == 1


@settings(max_examples=20, deadline=None)
@given(st.binary())
@example(make_page(LEAF | {"address": "nowhere", "state": ""}))
@example(make_page(LEAF | {"address": "[::1%\xe9]:1", "peer_address": ":"}))
def test_any_page_is_read_or_logged(body):
    read_list(body)
