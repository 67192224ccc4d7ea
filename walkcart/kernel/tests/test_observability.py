"""Logs, metrics and spans, as they leave the process."""

import io
import json
import socket

import trio

from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.bench.world import make_service
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.eventlog import MAX_LINES_PER_SECOND, EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort
from walkcart.kernel.spans import Tracer

INSTANCES = [f"instance-{number}" for number in range(12)]
TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = f"00-{TRACE}-b7ad6b7169203331-01"


def test_events_are_json_lines_with_their_number():
    async def run():
        stream = io.StringIO()
        log = EventLog("one", TrioClock(), stream)
        for _ in range(MAX_LINES_PER_SECOND + 10):
            log.emit(Events.LEAF_EJECTED, leaf="127.0.0.1:1")
        return stream.getvalue().splitlines(), log.counts

    lines, counts = run_mocked(run)
    first = json.loads(lines[0])
    assert first["number"] == 304
    assert first["event"] == "leaf_ejected"
    assert first["instance"] == "one"
    assert first["leaf"] == "127.0.0.1:1"
    # All events are counted, but only a limited number of lines is written.
    assert len(lines) == MAX_LINES_PER_SECOND
    assert counts == {"leaf_ejected": MAX_LINES_PER_SECOND + 10}


def test_next_line_reports_the_number_of_dropped_lines():
    async def run():
        stream = io.StringIO()
        log = EventLog("one", TrioClock(), stream)
        for _ in range(MAX_LINES_PER_SECOND + 10):
            log.emit(Events.LEAF_EJECTED)
        log.emit(Events.LEAF_RETURNED)
        await trio.sleep(1.5)
        for _ in range(2):
            log.emit(Events.LEAF_EJECTED)
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        return [line.get("dropped_lines") for line in lines[MAX_LINES_PER_SECOND:]]

    assert run_mocked(run) == [None, 10, None]


def test_metrics_are_sent_to_statsd():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(10)
        metrics = Metrics(HostPort(*server.getsockname()), "one")
        metrics.count("query.answered")
        metrics.gauge("intent.revision", 7)
        received = {server.recv(1000).decode() for _ in range(2)}
    assert received == {
        "walkcart.one.query.answered:1|c",
        "walkcart.one.intent.revision:7|g",
    }
    assert metrics.read("query.answered") == 1


def test_spans_follow_one_request_through_another_instance(tmp_path):
    path = tmp_path / "spans.jsonl"

    async def run():
        changes = {"span_output": str(path)}
        async with open_estate(instances=12, connections=8, changes=changes) as world:
            await world.apply(make_service("parts", 4, connections=8))
            await trio.sleep(6)
            caller = make_caller(world)
            for item in world.instances.values():
                headers = ((b"traceparent", PARENT.encode()),)
                await caller.query(item.address, "parts", 1, headers)

    run_mocked(run)
    spans = [json.loads(line) for line in path.read_text().splitlines()]
    ours = {span["span_id"]: span for span in spans if span["trace_id"] == TRACE}
    forwards = [span for span in ours.values() if span["name"] == "peer.forward"]
    attempts = [span for span in ours.values() if span["name"] == "leaf.attempt"]
    assert forwards
    assert all(ours[span["parent_id"]]["name"] == "entry.query" for span in forwards)
    through = [span for span in attempts if ours.get(span["parent_id"]) in forwards]
    assert len(through) == len(forwards)
    assert {span["instance"] for span in forwards} <= set(INSTANCES)


def test_parent_is_passed_on_if_tracing_is_off():
    tracer = Tracer("one", "none", 1.0)
    assert tracer.start("x", PARENT) is None
    assert tracer.inject(None, PARENT) == PARENT
