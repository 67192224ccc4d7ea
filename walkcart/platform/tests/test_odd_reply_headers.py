"""Odd values in the headers of a leaf's reply cost at most that reply."""

import pytest
import trio

from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processworld import open_processes
from walkcart.platform.tests.rawleafs import (
    answer_with,
    make_stamped_head,
    start_raw_leaf,
)

SHARDS = ("shard-0", "shard-1")


async def ask_around(folder, header):
    """Have all leafs send `header` once; return what comes before and after.

    Returns:
        The statuses of the replies with the header, the bodies of the later ones, and
        the log.
    """
    odd = b""
    stamps = 0

    def make(request):
        nonlocal stamps
        stamps += 1
        head = make_stamped_head(request, b"stamp-%d" % stamps)
        return head + odd + b"content-length: 16\r\n\r\n" + b"r" * 16

    async with open_processes(folder) as world:
        for service in ("single", *SHARDS):
            await start_raw_leaf(world, f"i-{service}", service, answer_with(make))
        world.configure(
            make_route("one", "/one/", backend="single"),
            make_route("put", "/put/", backend="single", routeType="non_idempotent"),
            make_route("all", "/all/", fanoutServices=list(SHARDS), topK=5),
        )
        machine = world.add_machine()
        world.start(machine)
        await world.wait_ready(machine)
        odd = header + b"\r\n"
        paths = ("/one/x", "/put/x", "/all/x")
        statuses = [(await world.ask(machine, path)).status for path in paths]
        odd = b""
        later = [(await world.ask(machine, path)).body for path in paths]
        assert machine.ends == []
        return statuses, later, machine.read_log()


@pytest.mark.parametrize("value", [b"0", b"999999999999999999", b"1e9", b"-1", b""])
def test_an_odd_idle_timeout_doesnt_put_a_leaf_out_of_use(tmp_path, value):
    header = b"keep-alive: timeout=" + value
    statuses, later, log = trio.run(ask_around, tmp_path, header)
    assert statuses == [200] * 3
    assert later == [b"r" * 16, b"r" * 16, b"r" * 32]
    assert "task_failed" not in log


@pytest.mark.parametrize(
    "header",
    [
        b"x-warmup-ms: 999999999999999999",
        b"x-warmup-ms: 1e400",
        b"x-server-load: 999999999999999999,999999999999999999,1,999999999999999999",
        b"x-server-load: nan,-1,,",
        b"x-any: \x80\xff",
        b"connection: \xff,,",
    ],
)
def test_an_odd_value_doesnt_cost_the_reply(tmp_path, header):
    statuses, later, log = trio.run(ask_around, tmp_path, header)
    assert statuses == [200] * 3
    assert later == [b"r" * 16, b"r" * 16, b"r" * 32]
    assert "task_failed" not in log


@pytest.mark.parametrize("value", [b"1e308", b"inf", b"nan", b"-1", b"1e400", b"\xff"])
def test_an_odd_time_to_retry_is_a_refusal_like_any_other(tmp_path, value):
    header = b"x-not-executed: 1\r\nretry-after: " + value
    statuses, later, log = trio.run(ask_around, tmp_path, header)
    assert statuses == [503] * 3
    assert later == [b"r" * 16, b"r" * 16, b"r" * 32]
    assert "task_failed" not in log


def test_a_stamp_for_one_connection_only_is_none(tmp_path):
    header = b"connection: x-response-stamp"
    statuses, later, log = trio.run(ask_around, tmp_path, header)
    assert 200 not in statuses
    assert later == [b"r" * 16, b"r" * 16, b"r" * 32]
    assert "request_failed" not in log
