"""Bad input from callers gets a definite answer and never blocks the instance."""

import json
from datetime import UTC, datetime

import pytest
import trio

from walkcart.bench.harness import TOKENS, make_caller, open_estate, run_mocked
from walkcart.once.keys import BadKey, parse_key

HEAD = (
    b"POST /v1/services/parts/query HTTP/1.1\r\nhost: x\r\n"
    b"authorization: Bearer red-token\r\ncontent-type: application/json\r\n"
)


def send_raw(data, wait=30.0, settings=None):
    """Send raw bytes and return the reply; check that the instance still serves."""

    async def run():
        async with open_estate(changes=settings) as world:
            address = world.instances["instance-0"].address
            stream = await world.network("client").connect(address)
            await stream.send_all(data)
            received = b""
            with trio.move_on_after(wait):
                while chunk := await stream.receive_some(65536):
                    received += chunk
            after = await make_caller(world).query(address, "parts", 1)
            return received, after.status

    received, after = run_mocked(run)
    assert after == 200
    assert b"Traceback" not in received
    return received


def status_of(received):
    return int(received.split(b" ")[1])


def body_of(received):
    return json.loads(received.split(b"\r\n\r\n", 1)[1])


def test_bytes_that_are_not_http():
    received = send_raw(b"\x16\x03\x01\x02\x00rubbish\r\n\r\n")
    assert status_of(received) == 400
    assert body_of(received)["verdict"] == "not_run"


def test_headers_that_are_too_long():
    received = send_raw(HEAD + b"x: " + b"a" * 70000)
    assert status_of(received) == 431


def test_body_that_is_too_long():
    received = send_raw(HEAD + b"content-length: 3000000\r\n\r\n" + b"a" * 2000000)
    assert status_of(received) == 413


def test_client_that_stalls_within_the_body():
    received = send_raw(HEAD + b'content-length: 50\r\n\r\n{"que')
    assert status_of(received) == 408


def test_clients_that_close_within_the_body_leave_no_request_in_progress():
    async def run():
        async with open_estate() as world:
            address = world.instances["instance-0"].address
            for _ in range(20):
                stream = await world.network("client").connect(address)
                await stream.send_all(HEAD + b'content-length: 50\r\n\r\n{"que')
                await stream.aclose()
            await trio.sleep(1)
            entry = world.instances["instance-0"].instance.kernel.find("entry", object)
            return entry.server.connections, entry.server.in_progress

    connections, in_progress = run_mocked(run)
    assert in_progress == 0
    assert connections <= 1


def request(method="POST", path="/v1/services/parts/query", body=b'{"query": 1}', **kw):
    async def run():
        async with open_estate() as world:
            address = world.instances["instance-0"].address
            headers = tuple(
                (key.replace("_", "-").encode(), value.encode())
                for key, value in kw.items()
            )
            return await make_caller(world).request(
                address, method, path, body, headers
            )

    return run_mocked(run)


def check_refused(asked, status, expected):
    assert asked.status == status
    assert asked.verdict == "not_run"
    assert asked.content["verdict"] == "not_run"
    assert asked.content["status"] == status
    assert asked.headers[b"content-type"] == b"application/problem+json"
    assert expected in asked.content["detail"]


def test_body_that_is_not_json():
    check_refused(request(body=b'{"query": '), 400, "body")


def test_body_that_nests_deeply():
    deep = b"[" * 1500 + b"]" * 1500
    check_refused(request(body=b'{"query": ' + deep + b"}"), 400, "deeply")


def test_body_with_an_unknown_field():
    check_refused(request(body=b'{"query": 1, "sort": 2}'), 400, "sort")


def test_body_that_is_not_utf8():
    check_refused(request(body=b'{"query": "\xff"}'), 400, "body")


def test_negative_limit():
    check_refused(request(body=b'{"query": 1, "limit": -1}'), 400, "limit")


def test_unknown_service():
    check_refused(request(path="/v1/services/none/query"), 404, "none")


def test_unknown_path():
    check_refused(request(path="/v2"), 404, "path")


def test_wrong_method():
    check_refused(request(method="GET"), 400, "POST")


def test_deadline_in_the_past():
    check_refused(request(walkcart_deadline_ms="-5"), 504, "deadline")


def test_deadline_that_is_not_a_number():
    check_refused(request(walkcart_deadline_ms="soon"), 400, "deadline")


def test_least_coverage_out_of_bounds():
    check_refused(request(walkcart_least_coverage="1.5"), 400, "coverage")


def test_non_repeatable_request_to_a_service_without_writes():
    asked = request(path="/v1/services/parts/execute", body=b'{"command": 1}')
    check_refused(asked, 400, "non-repeatable")


@pytest.mark.parametrize(
    "key",
    [
        "",
        "x",
        "ffffffff-ffff-7fff-bfff-ffffffffffff",
        "00000000-0000-7000-8000-000000000000",
        "e677d21f-db00-7000-8000-000000000000",
    ],
)
def test_no_idempotency_key_raises_another_error(key):
    with pytest.raises(BadKey):
        parse_key(key, datetime.now(UTC))


def test_operator_paths_need_the_operator_token():
    for path in ("/v1/status", "/v1/services/parts/explain"):
        check_refused(request(method="GET", path=path, body=b""), 401, "operators")


def test_wrong_content_type():
    async def run():
        async with open_estate() as world:
            address = world.instances["instance-0"].address
            stream = await world.network("client").connect(address)
            token = TOKENS["red"].encode()
            await stream.send_all(
                b"POST /v1/services/parts/query HTTP/1.1\r\nhost: x\r\n"
                b"authorization: Bearer " + token + b"\r\ncontent-type: text/plain\r\n"
                b"content-length: 2\r\n\r\n{}"
            )
            return await stream.receive_some(65536)

    assert status_of(run_mocked(run)) == 400


def test_rows_are_sorted_and_limited_as_requested():
    asked = request(
        body=b'{"query": 1, "order_by": "shard", "descending": true, "limit": 2}'
    )
    assert [row["shard"] for row in asked.content["answer"]["rows"]] == [3, 2]


def test_missing_credential():
    received = send_raw(
        b"POST /v1/services/parts/query HTTP/1.1\r\nhost: x\r\n"
        b"content-type: application/json\r\nconnection: close\r\n"
        b'content-length: 12\r\n\r\n{"query": 1}'
    )
    assert status_of(received) == 401
    assert body_of(received)["verdict"] == "not_run"
