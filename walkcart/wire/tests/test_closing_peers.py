"""Peers that close each connection as soon as it is up, in a process of its own.

nng corrupted the memory of the whole process, which ended by a signal or hung.
"""

import subprocess
import sys

PROGRAM = """
from contextlib import suppress
import trio
from walkcart.kernel.settings import HostPort
from walkcart.wire.peers import NngTransport

async def greet_and_close(stream):
    async with stream:
        with suppress(trio.BrokenResourceError):
            await stream.send_all(b"\\x00SP\\x00\\x00\\x11\\x00\\x00")
            await stream.receive_some(8)

async def main():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = HostPort("127.0.0.1", listeners[0].socket.getsockname()[1])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, greet_and_close, listeners)
        for _ in range(4):
            senders = [await NngTransport().dial(address) for _ in range(40)]
            await trio.sleep(0.8)
            for sender in senders:
                await sender.close()
        nursery.cancel_scope.cancel()
    print("done")

trio.run(main)
"""


def test_peers_that_close_each_connection_do_not_end_the_process():
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=60
    )
    assert (ended.returncode, ended.stdout) == (0, "done\n"), ended.stderr[-2000:]
