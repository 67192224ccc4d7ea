"""Leaves that refuse requests, and send some refusals a second time.

All attempts of a request carry the caller's id, by which a late reply to another
request is recognised. When all leaves had refused a request, it was sent again, over
the connection on which a leaf had refused it. A late copy of that refusal has the same
id, so it was taken for the reply to the second attempt, which the leaf was running. The
request was then sent once more and ran twice, or its caller was told that it had not
run.
"""

from collections import Counter
from dataclasses import dataclass
from random import Random

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.leafstandin import PlatformLeafStandin
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.standins.serving import StandinServer
from walkcart.wire.http import HttpReply

#: Share of the requests that a leaf refuses.
REFUSED = 0.6
#: Share of the refusals that are sent twice, and the range of the delay in seconds.
REPEATED = 0.3
REPEAT_AFTER = (0.01, 0.2)
REQUESTS = 150
#: Statuses that promise that a request has not run.
NOT_RUN = 503


class RepeatingStream(trio.abc.Stream):
    """The server's end of a connection; sends some refusals a second time.

    Args:
        stream: the connection.
        random: decides which refusals, and when.
        nursery: runs the delays.
    """

    def __init__(self, stream, random, nursery):
        self._stream = stream
        self._random = random
        self._nursery = nursery
        self._lock = trio.Lock()

    async def send_all(self, data):
        async with self._lock:
            await self._stream.send_all(data)
        refused = bytes(data).startswith(b"HTTP/1.1 503")
        if refused and self._random.random() < REPEATED:
            self._nursery.start_soon(self._repeat, bytes(data))

    async def _repeat(self, data):
        await trio.sleep(self._random.uniform(*REPEAT_AFTER))
        try:
            async with self._lock:
                await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        await self._stream.aclose()


class RepeatingServer(StandinServer):
    """Serves over streams that send some refusals a second time."""

    def __init__(self, handler, random):
        super().__init__(handler)
        self._random = random

    async def serve(self, stream):
        async with trio.open_nursery() as nursery:
            await super().serve(RepeatingStream(stream, self._random, nursery))
            nursery.cancel_scope.cancel()


@dataclass(slots=True, eq=False)
class RefusingLeaf(PlatformLeafStandin):
    """A leaf that refuses requests at random, and may send refusals twice."""

    #: Share of the requests that it refuses.
    refused: float = REFUSED

    def make_server(self):
        return RepeatingServer(self.handle, self.random)

    async def handle(self, request):
        if self.random.random() < self.refused:
            self.arrived.append(request)
            id = request.header(b"x-request-id") or ""
            headers = ((b"x-request-id", id.encode()), (b"x-not-executed", b"1"))
            return HttpReply(503, headers)
        # The base class is named since `slots` replaces the class that `super` needs.
        return await PlatformLeafStandin.handle(self, request)


def send_to_refusing_leaves(kind, seed):
    """Send requests; return their statuses by id, and how often each one ran."""

    async def run():
        random = Random(seed)
        async with open_platform() as world:
            for service in range(5):
                for number in range(2):
                    leaf = RefusingLeaf(f"i-{seed}-{service}{number}", work=0.15)
                    await world.run_leaf(leaf, f"s-{service}", "north-a")
            world.configure(
                *(
                    make_route(
                        f"r-{service}",
                        f"/{service}/",
                        backend=f"s-{service}",
                        routeType=kind,
                    )
                    for service in range(5)
                )
            )
            await world.start_instance()
            await world.wait_ready()
            statuses = {}

            async def ask(number):
                path = f"/{number % 5}/2f"
                id = f"request-{world._requests + 1}"
                statuses[id] = (await world.ask(path, method="POST")).status

            async with trio.open_nursery() as nursery:
                for number in range(REQUESTS):
                    nursery.start_soon(ask, number)
                    await trio.sleep(random.uniform(0.01, 0.08))
            await trio.sleep(1)
            ran = Counter(id for leaf in world.leafs.values() for id in leaf.ran)
            return statuses, ran

    return run_mocked(run)


@pytest.mark.parametrize("seed", range(3))
def test_late_copy_of_a_refusal_makes_no_request_run_twice(seed):
    """Guards against taking such a copy for the reply to a second attempt."""
    statuses, ran = send_to_refusing_leaves("non_idempotent", seed)
    assert sum(1 for status in statuses.values() if status == 200) > REQUESTS / 2
    assert [id for id, count in ran.items() if count > 1] == []
    assert [
        id for id, status in statuses.items() if status == NOT_RUN and ran[id]
    ] == []


@pytest.mark.parametrize("seed", range(3))
def test_not_run_is_true_of_requests_that_may_repeat(seed):
    """Guards against telling callers that a request has not run when it has."""
    statuses, ran = send_to_refusing_leaves("idempotent", seed)
    assert [
        id for id, status in statuses.items() if status == NOT_RUN and ran[id]
    ] == []
