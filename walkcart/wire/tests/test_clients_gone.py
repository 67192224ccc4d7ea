"""Requests whose client disconnected before the connection was accepted."""

import socket

import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.http import HttpReply
from walkcart.wire.network import TcpNetwork
from walkcart.wire.server import HttpServer, ServerLimits

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


def serve_one(send, wanted):
    """Serve a connection on which `send(socket)` sends; return the started targets.

    Ends with the connection, or as soon as `wanted` requests were started.
    """
    begun = []

    async def run():
        async def handle(request):
            begun.append(request.target)
            if len(begun) == wanted:
                nursery.cancel_scope.cancel()
            return HttpReply(200)

        server = HttpServer(
            handle,
            ServerLimits(),
            lambda fault: HttpReply(400),
            cancel_on_disconnect=True,
        )
        network = TcpNetwork()
        listener = await network.listen(HostPort("127.0.0.1", 0))
        client = socket.create_connection(("127.0.0.1", network.port_of(listener)))
        send(client)
        stream = await listener.accept()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, stream)
        client.close()
        await listener.aclose()

    trio.run(run)
    return begun


def test_a_request_whose_client_closed_before_it_was_accepted_is_not_begun():
    def send(client):
        client.sendall(REQUEST)
        client.close()

    assert serve_one(send, 1) == []


def test_a_request_whose_client_waits_is_begun():
    assert serve_one(lambda client: client.sendall(REQUEST), 1) == ["/"]


def test_pipelined_requests_are_both_begun():
    assert serve_one(lambda client: client.sendall(REQUEST * 2), 2) == ["/", "/"]
