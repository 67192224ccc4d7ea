"""Requests that are never complete don't make a stop fail."""

import pytest
import trio

from walkcart.platform.tests.platformworld import HOST
from walkcart.platform.tests.test_busy_addresses import find_events, run_processes

#: Seconds for an answer: longer than the grace time of a stop.
ANSWER_SECONDS = 10.0
HEAD = b"POST /one/x HTTP/1.1\r\nhost: " + HOST.encode() + b"\r\n"
HALVES = {"head": HEAD, "body": HEAD + b"content-length: 100\r\n\r\nx"}


@pytest.mark.parametrize("half", HALVES.values(), ids=HALVES)
def test_half_a_request_at_a_stop_is_answered_and_the_stop_ends_with_0(tmp_path, half):
    async def act(world, machine):
        answers = []

        async def send():
            address = machine.callers
            answers.append(await world.send_bytes(address, half, ANSWER_SECONDS))

        world.start_once(machine)
        await world.wait_ready(machine)
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(send)
            await trio.sleep(0.2)
            code = await world.end(machine)
        return answers, code, find_events(machine, "stop_bound_reached")

    answers, code, unfinished = run_processes(tmp_path, act)
    assert [answer[:13] for answer in answers] == [b"HTTP/1.1 408 "] * 5
    assert (code, unfinished) == (0, [])
