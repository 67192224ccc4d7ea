"""Faults of walkcart between an attempt's turn and its first byte.

While a metric was missing from the catalogue, 21 of 150 requests waited until their
deadline: the exception ended the connection's task, and with it the attempt that had
just left the queue, whose outcome was never delivered.
"""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.leaves.directory import LeafDirectory
from walkcart.leaves.linkconnection import LinkConnector
from walkcart.platform.tests.platformworld import make_route, open_platform


def test_fault_before_a_request_is_sent_ends_its_attempt(monkeypatch):
    """Guards against attempts that never end and keep their leaf in use for good."""
    may_carry = LinkConnector.may_carry
    faults = [RuntimeError("a fault of walkcart")] * 2

    async def fail_at_first(self, *args):
        if faults:
            raise faults.pop()
        return await may_carry(self, *args)

    monkeypatch.setattr(LinkConnector, "may_carry", fail_at_first)

    async def run():
        async with open_platform() as world:
            leaf = await world.start_leaf("i-1", "bay")
            world.configure(
                make_route("bay", "/bay/", backend="bay", routeType="non_idempotent")
            )
            running = await world.start_instance()
            await world.wait_ready()
            start = trio.current_time()
            reply = await world.ask("/bay/2f", method="POST")
            took = trio.current_time() - start
            directory = running.tenant.kernel.find("directory", LeafDirectory)
            outstanding = [item.outstanding for item in directory.leaves()]
            return reply.status, took, outstanding, leaf.ran

    status, took, outstanding, ran = run_mocked(run)
    assert status == 200
    assert took < 0.5
    assert outstanding == [0]
    assert len(ran) == 1
