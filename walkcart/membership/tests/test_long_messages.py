"""Messages that can't be sent together, or not at all."""

import trio

from walkcart.bench.harness import open_estate, run_mocked
from walkcart.membership.links import PeerLinks
from walkcart.wire.messages import ConfigurationPush


async def send_all(lengths, revision=1):
    """Send one message of each length at once; return the lengths that arrive.

    Args:
        lengths: lengths of the messages.
        revision: a number in the message of the least length.
    """
    received = []
    async with open_estate() as world:
        receiver = world.instances["instance-1"].find("links", PeerLinks)
        receiver.on(
            ConfigurationPush,
            lambda sender, message: received.append(len(message.document)),
        )
        sender = world.instances["instance-0"].find("links", PeerLinks)
        for length in lengths:
            number = revision if length == min(lengths) else 1
            sender.send("instance-1", ConfigurationPush(number, b"x" * length))
        await trio.sleep(3)
    return received


def test_messages_too_long_for_one_envelope_go_in_several():
    lengths = [1_000_000] * 9 + [100]
    assert run_mocked(lambda: send_all(lengths)) == lengths


def test_message_longer_than_any_envelope_costs_only_itself():
    lengths = [100, 5_000_000, 200]
    assert run_mocked(lambda: send_all(lengths)) == [100, 200]


def test_message_that_cannot_be_encoded_costs_only_itself():
    lengths = [30, 10, 20]
    assert run_mocked(lambda: send_all(lengths, revision=1 << 64)) == [30, 20]
