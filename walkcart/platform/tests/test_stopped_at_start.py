"""Instances that stop while they store their key."""

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.membership.registration import Registration
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.platform.tests.test_stop_under_load import stop_instance


@pytest.mark.parametrize("age", [0.0, 0.01, 0.08, 0.15, 0.5, 1.0])
def test_instance_stopped_in_its_first_second_leaves_no_key(monkeypatch, age):
    """Guards against a key of an instance that stopped in its first second.

    Until its lease ends, other instances would send it questions.
    """

    async def run():
        async with open_platform() as world:
            await world.start_leaf("i-1", "bay")
            world.configure(make_route("bay", "/bay/", backend="bay"))
            register = Registration._register
            keys = []

            async def register_slowly(self, lease):
                await trio.sleep(0.1)
                return await register(self, lease)

            monkeypatch.setattr(Registration, "_register", register_slowly)
            await world.start_instance("one")
            await trio.sleep(age)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stop_instance, world)
                await trio.sleep(2)
                keys += [key for key in world.store.rows if "one" in key]
            return keys

    assert run_mocked(run) == []
