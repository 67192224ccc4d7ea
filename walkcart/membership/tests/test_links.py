"""Links to peers: an error ends the link, not the instance."""

import trio

from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.kernel.settings import parse_host_port
from walkcart.membership.links import PeerLinks
from walkcart.membership.view import MembershipView, MemberState
from walkcart.wire.codec import encode_envelope
from walkcart.wire.messages import ConfigurationPull, Envelope


def test_failed_send_ends_only_the_link():
    async def run():
        async with open_estate() as world:
            links = world.instances["instance-0"].find("links", PeerLinks)

            async def fail(address):
                sender = type("Sender", (), {"is_connected": True})()

                async def send(data):
                    raise OSError("the socket is closed")

                async def close():
                    pass

                sender.send, sender.close = send, close
                sender.wait_connected = close
                return sender

            links._links.clear()
            good, links._transport = links._transport, type("T", (), {"dial": fail})
            links.send("instance-1", ConfigurationPull(0))
            await trio.sleep(0.1)
            links._transport = good
            await trio.sleep(5)
            address = world.instances["instance-0"].address
            return await make_caller(world).query(address, "parts", 1)

    assert run_mocked(run).status == 200


def test_invalid_data_and_messages_for_an_earlier_process_are_dropped():
    async def run():
        async with open_estate() as world:
            running = world.instances["instance-0"]
            links = running.find("links", PeerLinks)
            view = running.find("view", MembershipView)
            before = links.last_received
            address = parse_host_port(view.own.peer_address)
            await trio.sleep(0.01)
            for data in (b"rubbish", encode_envelope(make_envelope(1))):
                world.memory.deliver("north-a", address, data)
            old = links._view.own.incarnation
            received = []
            links.on(ConfigurationPull, lambda sender, message: received.append(sender))
            world.memory.deliver(
                "north-a", address, encode_envelope(make_envelope(old - 1))
            )
            world.memory.deliver(
                "north-a", address, encode_envelope(make_envelope(old))
            )
            await trio.sleep(0.1)
            return before, received

    _, received = run_mocked(run)
    assert received == ["stranger"]


def make_envelope(incarnation):
    return Envelope("stranger", 1, "", incarnation, (ConfigurationPull(0),))


def test_briefly_unreachable_instance_is_never_declared_dead():
    """An instance may be silent for a second and a half; here the cut takes 0.6 s."""

    async def run():
        async with open_estate(instances=4) as world:
            states = set()
            world.memory.cut("north-a", "north-a")
            await trio.sleep(0.6)
            world.memory.heal("north-a", "north-a")
            for _ in range(50):
                await trio.sleep(0.1)
                for item in world.instances.values():
                    records = item.find("view", MembershipView).records()
                    states.update(MemberState(record.state) for record in records)
            return states

    assert MemberState.DEAD not in run_mocked(run)
