"""The metrics page and the log sink."""

import os
from contextlib import suppress

from prometheus_client.parser import text_string_to_metric_families

from walkcart.kernel.exposition import render_metrics
from walkcart.kernel.logsink import LogSink
from walkcart.kernel.metrics import CATALOGUE, Metrics


def test_page_has_every_metric_with_its_value():
    metrics = Metrics(None, "one")
    metrics.count("query.answered", 3)
    metrics.gauge("leaf.connections", 7)
    for milliseconds in (0.5, 90.0, 99999.0):
        metrics.time("query.time", milliseconds)
    page = render_metrics(metrics).decode()
    families = {item.name: item for item in text_string_to_metric_families(page)}
    assert len(families) == len(CATALOGUE)
    values = {
        (sample.name, sample.labels.get("le")): sample.value
        for family in families.values()
        for sample in family.samples
    }
    assert values["walkcart_query_answered_total", None] == 3
    assert values["walkcart_leaf_connections", None] == 7
    assert values["walkcart_query_time_ms_bucket", "100"] == 2
    assert values["walkcart_query_time_ms_bucket", "+Inf"] == 3


def test_log_sink_drops_and_reports_lines_if_the_reader_stalls():
    reading, writing = os.pipe()
    sink = LogSink(writing, limit=10_000)
    line = "x" * 99 + "\n"
    # This is far more than the pipe and the buffer hold; `write` returns all the same.
    for _ in range(5000):
        sink.write(line)
    assert sink.dropped > 0
    os.set_blocking(reading, False)
    received = b""
    # Each read makes room for more of the buffer.
    for _ in range(20):
        with suppress(BlockingIOError):
            received += os.read(reading, 1 << 20)
        sink.flush()
    lines = received.decode().splitlines()
    told = [item for item in lines if "log_lines_dropped" in item]
    assert len(told) == 1
    assert all(item in (line.strip(), told[0]) for item in lines)
    os.close(reading)
    os.close(writing)


def test_log_sink_survives_a_closed_reader():
    reading, writing = os.pipe()
    sink = LogSink(writing)
    os.close(reading)
    assert sink.write("line\n") == 5
    os.close(writing)
