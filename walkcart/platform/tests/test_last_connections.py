"""Connections that a stopping instance accepts in its last moments."""

import trio

from walkcart.bench.harness import run_mocked
from walkcart.entry.routedservice import RoutedService
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.platform.tests.test_stop_under_load import send, stop_instance


def test_request_accepted_while_the_listener_closes_is_answered(monkeypatch):
    async def run():
        async with open_platform() as world:
            await world.start_leaf("i-one", "bay", work=0.3)
            world.configure(make_route("bay", "/bay/", backend="bay"))
            running = await world.start_instance()
            await world.wait_ready()
            service = running.tenant.kernel.find("entry", RoutedService)
            close, sent, start = service.stop_accepting, [], trio.current_time()

            async def accept_one_more():
                if not sent:
                    world.nursery.start_soon(send, world, sent, start)
                    while not service.server.connections:
                        await trio.sleep(0.001)
                await close()

            monkeypatch.setattr(service, "stop_accepting", accept_one_more)
            elapsed = await stop_instance(world)
            await trio.sleep(1)
            return [item.status for item in sent], elapsed

    statuses, elapsed = run_mocked(run)
    assert statuses == [200]
    assert elapsed < 4
