"""Kernel options that detect connections whose peer has gone silent."""

import socket
from datetime import timedelta

import pytest
import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.network import MAX_PROBES, UNACKED_TIMEOUT_MS, TcpNetwork


async def read_options(probe_interval):
    network = TcpNetwork()
    listener = await network.listen(HostPort("127.0.0.1", 0))
    address = HostPort("127.0.0.1", network.port_of(listener))
    stream = await network.connect(address, probe_interval)
    tcp = socket.IPPROTO_TCP
    read = stream.socket.getsockopt
    found = (
        bool(read(socket.SOL_SOCKET, socket.SO_KEEPALIVE)),
        read(tcp, socket.TCP_KEEPIDLE),
        read(tcp, socket.TCP_KEEPINTVL),
        read(tcp, socket.TCP_KEEPCNT),
        read(tcp, socket.TCP_USER_TIMEOUT),
    )
    await stream.aclose()
    await listener.aclose()
    return found


@pytest.mark.parametrize("seconds", [1, 2])
def test_a_probed_connection_ends_one_interval_after_the_last_probe(seconds):
    found = trio.run(read_options, timedelta(seconds=seconds))
    assert found == (
        True,
        seconds,
        seconds,
        MAX_PROBES,
        (MAX_PROBES + 1) * seconds * 1000,
    )


def test_a_connection_without_an_interval_is_not_probed():
    probed, *_, silence = trio.run(read_options, None)
    assert not probed
    assert silence == UNACKED_TIMEOUT_MS
