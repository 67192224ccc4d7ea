"""Leafs whose bytes don't end cost their own requests only, and little memory."""

import time
from dataclasses import replace

import trio

from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processworld import open_processes
from walkcart.platform.tests.rawleafs import (
    HEAD,
    Endless,
    answer_endlessly,
    make_stamped_head,
    start_raw_leaf,
)

#: Bytes of memory that one request may take: eight times its largest reply.
MAX_GROWTH_ONE = 32 << 20
#: Seconds after which a request that met such a leaf must be over.
MAX_SECONDS = 4.0
#: Milliseconds for which its caller would wait.
DEADLINE_MS = 6000
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
STRAY = HEAD + b"x-request-id: other\r\ncontent-length: 4\r\n\r\nbody"
REPLIES = {
    "head-line": Endless(b"HTTP/1.1 200 ", b"x"),
    "headers": Endless(HEAD, b"x-a: b\r\n"),
    "informational": Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunks": Endless(CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "tiny-chunks": Endless(CHUNKED, b"2\r\nab\r\n"),
    "no-length": Endless(HEAD + b"\r\n", b"x" * 1024),
    "chunk-size": Endless(CHUNKED, b"0"),
    "chunk-extension": Endless(CHUNKED + b"5;", b"x"),
    "trailers": Endless(CHUNKED + b"0\r\n", b"a: b\r\n"),
    "strays": Endless(b"", STRAY),
    "garbage": Endless(b"", b"\0"),
}


async def ask_timed(world, machine, path):
    """Return the status of the reply, or None, and the seconds that it took."""
    start = time.monotonic()
    reply = await world.ask(machine, path, deadline_ms=DEADLINE_MS)
    return reply and reply.status, time.monotonic() - start


async def open_world(folder, run, sound_too):
    """Run `run` with an instance whose services ``KIND`` have one faulty leaf each."""
    async with open_processes(folder) as world:
        await world.start_leaf("i-sound", "sound", records=b"r" * 16)
        routes = [make_route("sound", "/sound/", backend="sound")]
        for kind, reply in REPLIES.items():
            await start_raw_leaf(world, f"i-{kind}", kind, answer_endlessly(reply))
            if sound_too:
                await world.start_leaf(f"i-{kind}-sound", kind, records=b"r" * 16)
            route = make_route(kind, f"/{kind}/", backend=kind, timeoutMs=DEADLINE_MS)
            routes.append(route)
        world.configure(*routes)
        machine = world.add_machine()
        world.start(machine)
        await world.wait_ready(machine)
        await run(world, machine)
        assert machine.ends == []


def test_endless_replies_end_their_requests_soon_and_harm_no_others(tmp_path):
    async def run(world, machine):
        start = machine.find_memory_peak()
        for kind in REPLIES:
            status, seconds = await ask_timed(world, machine, f"/{kind}/x")
            assert status == 502, kind
            assert seconds < MAX_SECONDS, kind
            assert (await ask_timed(world, machine, "/sound/x"))[0] == 200, kind
        assert machine.find_memory_peak() - start < MAX_GROWTH_ONE

    trio.run(open_world, tmp_path, run, False)


def test_a_request_that_met_an_endless_reply_is_retried_at_another_leaf(tmp_path):
    async def run(world, machine):
        for kind in REPLIES:
            statuses = [
                (await ask_timed(world, machine, f"/{kind}/x"))[0] for _ in range(3)
            ]
            assert statuses == [200, 200, 200], kind

    trio.run(open_world, tmp_path, run, True)


def test_an_idle_connection_with_bytes_that_nobody_asked_for_is_closed(tmp_path):
    closed = trio.Event()

    async def answer(stream, request):
        body = b"content-length: 16\r\n\r\n" + b"r" * 16
        await stream.send_all(make_stamped_head(request) + body)
        # The reply is read to its end before more comes.
        await trio.sleep(0.5)
        try:
            for piece in REPLIES["garbage"].pieces():
                await stream.send_all(piece)
        except trio.BrokenResourceError:
            closed.set()
        return False

    async def run():
        async with open_processes(tmp_path) as world:
            await start_raw_leaf(world, "i-one", "one", answer)
            world.configure(make_route("one", "/one/", backend="one"))
            machine = world.add_machine()
            world.start(machine)
            await world.wait_ready(machine)
            reply = await world.ask(machine, "/one/x")
            with trio.move_on_after(15):
                await closed.wait()
            return reply and reply.body, closed.is_set(), machine.ends

    assert trio.run(run) == (b"r" * 16, True, [])


def test_replies_that_drip_end_at_the_deadline_and_harm_no_others(tmp_path):
    kinds = ("head-line", "headers", "chunks", "no-length", "trailers")

    async def run():
        async with open_processes(tmp_path) as world:
            await world.start_leaf("i-sound", "sound", records=b"r" * 16)
            for kind in kinds:
                answer = answer_endlessly(replace(REPLIES[kind], slow=True))
                await start_raw_leaf(world, f"i-{kind}", kind, answer)
            routes = [make_route(kind, f"/{kind}/", backend=kind) for kind in kinds]
            world.configure(make_route("sound", "/sound/", backend="sound"), *routes)
            machine = world.add_machine()
            world.start(machine)
            await world.wait_ready(machine)
            found = {}

            async def ask(kind):
                reply = await world.ask(machine, f"/{kind}/x", deadline_ms=1000)
                found[kind] = reply and reply.status

            async with trio.open_nursery() as nursery:
                for kind in kinds:
                    for _ in range(10):
                        nursery.start_soon(ask, kind)
                sound = (await ask_timed(world, machine, "/sound/x"))[0]
            return found, sound, machine.ends

    found, sound, ends = trio.run(run)
    # Each was answered, by a verdict of the instance.
    assert set(found) == set(kinds)
    assert set(found.values()) <= {502, 503, 504}
    assert (sound, ends) == (200, [])
