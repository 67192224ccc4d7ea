"""Leafs and a store that stop in the middle of a reply, and real processes.

No caller gets a success that isn't a whole reply of a leaf.
"""

import re
import socket
import struct

import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import make_route
from walkcart.platform.tests.processworld import open_processes
from walkcart.platform.tests.rawleafs import (
    make_stamped_head,
    start_raw_leaf,
)
from walkcart.platform.tests.test_bad_store_replies import FaultyStore
from walkcart.platform.tests.test_bad_stored_values import Fleet

BODY = b"r" * 32
RECORD = 16
#: Framings of a reply: its head after the stamp, and what follows it.
FRAMINGS = {
    "length": (b"content-length: 32\r\n", BODY),
    "chunks": (
        b"transfer-encoding: chunked\r\n",
        b"10\r\n%b\r\n10\r\n%b\r\n0\r\n\r\n" % (BODY[:16], BODY[16:]),
    ),
    "close": (b"", BODY),
    "interim": (b"content-length: 32\r\n", BODY),
}
LONGEST_ID = b"request-9999"
#: Callers that ask at the same time.
CALLERS = 8
#: Rounds of requests for the cuts that no leaf has made.
MAX_ROUNDS = 5
#: Seconds after which some replies begin.
LATE = 0.15
#: Repeats that any service may have in ten seconds, which is less than the test takes.
MIN_SERVED = 54
#: Lets `close` reset the connection.
LINGER = struct.pack("ii", 1, 0)
TARGET = re.compile(rb"^\w+ /\w+/(\w+)/(\w+)/(\d+)")


def make_reply(request, framing, stamp):
    """Return the head and the rest of a reply."""
    header, rest = FRAMINGS[framing]
    head = make_stamped_head(request, stamp) + header + b"\r\n"
    if framing == "interim":
        head = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" + head
    return head, rest


def answer_cut(sent, once=False):
    """Return an answer that stops at the byte that the target of a request names.

    Args:
        sent: set of the framings, ends and places of the replies that were cut.
        once: whether a request that comes again gets a whole reply. Some of the first
            ones are then late, so that the second one overtakes them.
    """

    async def answer(stream, request):
        found = TARGET.match(request)
        cut = found and (found[1].decode(), found[2].decode(), int(found[3]))
        if cut is None or (once and cut in sent):
            await stream.send_all(b"".join(make_reply(request, "length", b"sound")))
            return True
        framing, end, place = cut
        sent.add(cut)
        if once and place % 8 == 0:
            await trio.sleep(LATE)
        head, rest = make_reply(request, framing, b"cut")
        # Without a length, a close in the body is the end of the body.
        is_end = framing == "close" and end == "close"
        whole = len(head) if is_end else len(head + rest)
        data = (head + rest)[: min(place, whole - 1)]
        await stream.send_all(data)
        if end == "reset":
            # What was sent must arrive first.
            await trio.sleep(0.02)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
        await stream.aclose()
        return False

    return answer


def list_cuts():
    """Return framings, ends and places of cuts, at least each byte of a reply."""
    request = b"GET / HTTP/1.1\r\nx-request-id: %b\r\n\r\n" % LONGEST_ID
    return [
        (framing, end, place)
        for framing in FRAMINGS
        for end in ("close", "reset")
        for place in range(len(b"".join(make_reply(request, framing, b"cut"))))
    ]


async def ask_all(world, machines, prefix, sent, check):
    """Ask with every cut, several at a time, and check each reply.

    A request that reached no leaf is asked again, since a failing leaf gets fewer.
    """

    async def ask(cuts):
        for number, (framing, end, place) in cuts:
            path = f"{prefix}{framing}/{end}/{place}"
            machine = machines[number % len(machines)]
            check(path, await world.ask(machine, path))

    for _ in range(MAX_ROUNDS):
        left = [cut for cut in list_cuts() if cut not in sent]
        cuts = iter(enumerate(left))
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(ask, cuts)


async def open_world(folder, run, *routes):
    async with open_processes(folder) as world:
        world.configure(*routes)
        machines = [world.add_machine(name) for name in ("one", "two")]
        for machine in machines:
            world.start(machine)
        for machine in machines:
            await world.wait_ready(machine)
        await run(world, machines)
        for machine in machines:
            assert machine.ends == []


def is_success(reply):
    return reply is not None and 200 <= reply.status < 300


def test_no_success_comes_from_a_leaf_that_stops_within_its_reply(tmp_path):
    # Guards against a 200 with an empty or short body, framed as whole.
    sent = set()

    def check(path, reply):
        assert not is_success(reply), path

    async def run(world, machines):
        await start_raw_leaf(world, "i-cut", "single", answer_cut(sent))
        await ask_all(world, machines, "/one/", sent, check)
        # The same leaf, with whole replies, and connections that are used again.
        for _ in range(5):
            reply = await world.ask(machines[0], "/one/whole")
            assert (reply.status, reply.body) == (200, BODY)

    route = make_route("one", "/one/", backend="single", maxAttempts=1)
    trio.run(open_world, tmp_path, run, route)
    assert sent == set(list_cuts())


def test_a_cut_reply_is_replaced_by_a_whole_one(tmp_path):
    # Guards against a cut reply that is taken before, or joined to, a sound one.
    sent = set()
    served = []

    def check(path, reply):
        if is_success(reply):
            assert reply.header(b"x-response-stamp") == "sound", path
            assert reply.body == BODY, path
            served.append(path)

    async def run(world, machines):
        for number in range(3):
            await start_raw_leaf(world, f"i-{number}", "any", answer_cut(sent, True))
        await ask_all(world, machines, "/two/", sent, check)

    route = make_route("two", "/two/", backend="any", maxAttempts=3)
    trio.run(open_world, tmp_path, run, route)
    assert sent == set(list_cuts())
    # The others found no repeat left.
    assert len(served) > MIN_SERVED


def test_a_cut_part_is_missing_from_a_gathered_reply(tmp_path):
    # Guards against parts of leafs that stopped, which count as parts without records.
    sent = set()
    services = ["good-0", "good-1", "cut"]

    def check(path, reply):
        if is_success(reply):
            stamps = set((reply.header(b"x-part-stamps") or "").split(","))
            assert {stamp.strip() for stamp in stamps} == {"good-0", "good-1"}, path
            assert reply.header(b"x-missing-parts") == "1", path
            assert len(reply.body) == 4 * RECORD, path

    async def run(world, machines):
        for name in services[:2]:
            answer = answer_sound_part(name.encode())
            await start_raw_leaf(world, f"i-{name}", name, answer)
        await start_raw_leaf(world, "i-cut", "cut", answer_cut(sent))
        await ask_all(world, machines, "/all/", sent, check)

    route = make_route(
        "all", "/all/", fanoutServices=services, topK=10, minCoverage=0.5
    )
    trio.run(open_world, tmp_path, run, route)
    assert sent == set(list_cuts())


def answer_sound_part(stamp):
    async def answer(stream, request):
        await stream.send_all(b"".join(make_reply(request, "length", stamp)))
        return True

    return answer


class CutStore(FaultyStore):
    """Forwards to the store, or cuts each of its replies after some bytes."""

    limit: int | None = None

    async def _serve(self, stream):
        if self.limit is None:
            await super()._serve(stream)
            return
        async with stream:
            upstream = await trio.open_tcp_stream(self.store.host, self.store.port)
            async with upstream:
                await upstream.send_all(await stream.receive_some(65536))
                data = await upstream.receive_some(65536)
                await stream.send_all(data[: self.limit])

    def set_limit(self, limit):
        self.limit = limit
        self.set_reply(None)


def test_cut_replies_of_the_store_change_nothing(tmp_path):
    # Guards against a store that stops within a reply, which would seem empty.
    async def run():
        async with open_processes(tmp_path) as world:
            store = CutStore(world.store_address)
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            world.nursery.start_soon(trio.serve_listeners, store.serve, listeners)
            port = listeners[0].socket.getsockname()[1]
            world.store_address = HostPort("127.0.0.1", port)
            fleet = Fleet(world)
            await fleet.start()
            for limit in (*range(0, 80, 4), 120, 200):
                store.set_limit(limit)
                await trio.sleep(0.15)
                await fleet.check_serving(f"{limit} bytes")
            store.set_limit(None)
            await fleet.check_unharmed()

    trio.run(run)
