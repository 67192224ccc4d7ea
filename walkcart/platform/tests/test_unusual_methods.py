"""Requests with any method are served or refused, and never hang an instance."""

import pytest
import trio

from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processworld import open_processes
from walkcart.platform.tests.rawleafs import (
    answer_with,
    make_stamped_head,
    start_raw_leaf,
)


async def ask_with_method(folder, method):
    """Return the replies to a request with `method` and to two ordinary ones."""
    async with open_processes(folder) as world:
        for shard in ("shard-0", "shard-1"):
            await world.start_leaf(f"i-{shard}", shard, records=b"r" * 16)
        await world.start_leaf("i-single", "single", records=b"body")
        world.configure(
            make_route("all", "/all/", fanoutServices=["shard-0", "shard-1"], topK=5),
            make_route("one", "/one/", backend="single"),
        )
        machine = world.add_machine()
        world.start(machine)
        await world.wait_ready(machine)
        many = await world.ask(machine, "/all/x", method, deadline_ms=1000)
        single = await world.ask(machine, "/one/x", method, deadline_ms=1000)
        after = await world.ask(machine, "/all/x", deadline_ms=1000)
        ready = await world.is_ready(machine)
        return many, single, after, ready, machine.ends


def test_a_connect_request_is_served_and_doesnt_hang_the_instance(tmp_path):
    many, single, after, ready, ends = trio.run(ask_with_method, tmp_path, "CONNECT")
    assert (after and after.status, ready, ends) == (200, True, [])
    assert (many and many.status, many and many.body) == (200, b"r" * 32)
    assert (single and single.status, single and single.body) == (200, b"body")
    assert single.header(b"x-response-stamp").startswith("stamp-i-single")


@pytest.mark.parametrize("method", ["HEAD", "OPTIONS", "TRACE", "DELETE", "x-y!"])
def test_other_methods_reach_the_leaf_unchanged(tmp_path, method):
    _, single, after, ready, ends = trio.run(ask_with_method, tmp_path, method)
    assert (single and single.status, after and after.status) == (200, 200)
    assert (ready, ends) == (True, [])


@pytest.mark.parametrize("tail", [b"\r\n", b"content-length: 4\r\n\r\nbodyextra"])
def test_a_leaf_that_takes_connect_for_a_tunnel_harms_no_other_request(tmp_path, tail):
    async def run():
        async with open_processes(tmp_path) as world:
            await start_raw_leaf(
                world,
                "i-tunnel",
                "single",
                answer_with(lambda request: make_stamped_head(request) + tail),
            )
            await world.start_leaf("i-sound", "other", records=b"sound")
            world.configure(
                make_route("one", "/one/", backend="single"),
                make_route("other", "/other/", backend="other"),
            )
            machine = world.add_machine()
            world.start(machine)
            await world.wait_ready(machine)
            await world.ask(machine, "/one/x", "CONNECT", deadline_ms=500)
            reply = await world.ask(machine, "/other/x")
            return reply and reply.body, machine.ends

    assert trio.run(run) == (b"sound", [])


def test_an_upgrade_request_gets_an_ordinary_reply(tmp_path):
    async def run():
        async with open_processes(tmp_path) as world:
            await world.start_leaf("i-single", "single", records=b"body")
            world.configure(make_route("one", "/one/", backend="single"))
            machine = world.add_machine()
            world.start(machine)
            await world.wait_ready(machine)
            upgrade = ((b"connection", b"upgrade"), (b"upgrade", b"websocket"))
            reply = await world.ask(machine, "/one/x", headers=upgrade)
            return reply and reply.body, machine.ends

    assert trio.run(run) == (b"body", [])
