"""The metrics page, in the text format of Prometheus.

References:
    Prometheus, text-based exposition format, version 0.0.4.
"""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.metrics_core import Metric as MetricFamily
from prometheus_client.registry import Collector

from walkcart.kernel.metrics import BUCKET_BOUNDS, CATALOGUE, Metrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "walkcart_"


class MetricsCollector(Collector):
    """Collects the metrics of one instance for the Prometheus library.

    Args:
        metrics: the metrics of the instance.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[MetricFamily]:
        """Yield every metric of the catalogue."""
        for name, metric in CATALOGUE.items():
            full = PREFIX + name.replace(".", "_")
            match metric.kind:
                case "counter":
                    value = self._metrics.read(name)
                    yield CounterMetricFamily(full, metric.help, value)
                case "gauge":
                    value = self._metrics.read(name)
                    yield GaugeMetricFamily(full, metric.help, value)
                case _:
                    yield self._collect_histogram(name, full, metric.help)

    def _collect_histogram(
        self, name: str, full: str, help_text: str
    ) -> HistogramMetricFamily:
        histogram = self._metrics.read_histogram(name)
        buckets = []
        cumulative = 0
        for bound, count in zip(
            (*BUCKET_BOUNDS, "+Inf"), histogram.counts, strict=True
        ):
            cumulative += count
            buckets.append((str(bound), cumulative))
        return HistogramMetricFamily(
            f"{full}_ms", help_text, buckets=buckets, sum_value=histogram.total
        )


def render_metrics(metrics: Metrics) -> bytes:
    """Return the metrics page."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
