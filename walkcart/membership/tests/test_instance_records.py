"""Records of other instances, with contents that can't be used."""

from __future__ import annotations

from io import StringIO
from math import inf, isfinite, nan

import msgspec
import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.membership.instancekeys import KeyReader
from walkcart.membership.instancerecord import (
    INSTANCE_PREFIX,
    InstanceRecord,
    bound_cores,
)
from walkcart.routing.accountants import Site, rank_candidates
from walkcart.routing.shares import rank_by_weight
from walkcart.store.items import Item, Page


class OnePage:
    """A store that returns the same page at each read."""

    def __init__(self, items):
        self.items = tuple(items)

    async def list_items(self, prefix, after, fresh):
        await trio.lowlevel.checkpoint()
        return Page(self.items, 9, True)


def read_records(**stored):
    """Return the records that are read from keys, and the log."""
    log = StringIO()

    async def run():
        items = [Item(INSTANCE_PREFIX + key, stored[key], 3) for key in stored]
        events = EventLog("own", TrioClock(), log)
        return (await KeyReader(OnePage(items), "own", events).read()).others

    return run_mocked(run), log.getvalue()


def make_record(name, **fields):
    record = {"name": name, "started": "", "data_centre": "a", "region": "r"}
    return msgspec.json.encode(record | fields)


@pytest.mark.parametrize("cores", [0, -1, 1e300, 1e-300, 10**30, 2.5])
def test_work_can_be_divided_by_the_cores_of_any_instance(cores):
    others, _ = read_records(two=make_record("two", cores=cores))
    found = others["two"].cores
    assert isfinite(1 / found)
    assert isfinite(rank_by_weight("key", "two", found))
    assert rank_candidates(0, {"two": Site("r", found)}) == ["two"]


@pytest.mark.parametrize("cores", [0.0, -1.0, inf, -inf, nan, 1e300])
def test_own_cores_are_bounded_like_those_of_others(cores):
    own = InstanceRecord("own", "", "a", "r", "", bound_cores(cores))
    read = msgspec.json.decode(msgspec.json.encode(own), type=InstanceRecord)
    assert read.cores == bound_cores(read.cores) > 0


def test_record_under_the_key_of_another_instance_is_skipped():
    good = make_record("three", peer_address="127.0.0.1:3")
    others, log = read_records(two=make_record("three"), three=good)
    assert list(others) == ["three"]
    assert others["three"].peer_address == "127.0.0.1:3"
    assert log.count("peer_bad_message") == 1
