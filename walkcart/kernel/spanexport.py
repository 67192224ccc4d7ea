"""OpenTelemetry spans, written as JSON lines.

See Also:
    `walkcart.kernel.spans.Tracer`, which imports this only if tracing is on.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from typing import TextIO

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, SpanKind, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

OUTPUT_STDERR = "stderr"


class JsonLinesExporter(SpanExporter):
    """Writes each ended span as one JSON line.

    Args:
        stream: the stream to write to.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write `spans`, one line each."""
        for span in spans:
            self._stream.write(json.dumps(_describe(span)) + "\n")
        self._stream.flush()
        return SpanExportResult.SUCCESS


class SpanStarter:
    """Starts spans and passes their context on.

    Args:
        instance: name of the instance.
        output: ``stderr`` or the path of a file.
        ratio: share of the traces without a parent that are kept, 0 to 1.
    """

    def __init__(self, instance: str, output: str, ratio: float) -> None:
        self._propagator = TraceContextTextMapPropagator()
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(ratio)),
            resource=Resource({"service.instance.id": instance}),
        )
        stream = sys.stderr if output == OUTPUT_STDERR else _open_file(output)
        provider.add_span_processor(SimpleSpanProcessor(JsonLinesExporter(stream)))
        self._tracer = provider.get_tracer("walkcart")

    def start(
        self, name: str, parent: str | None, attributes: Mapping[str, object]
    ) -> Span:
        """Start a span as a child of the ``traceparent`` in `parent`."""
        carrier = {"traceparent": parent} if parent else {}
        context = self._propagator.extract(carrier)
        return self._tracer.start_span(
            name, context=context, kind=SpanKind.INTERNAL, attributes=attributes
        )

    def inject(self, span: Span, parent: str | None) -> str | None:
        """Return the ``traceparent`` of `span`, or `parent` if it has none."""
        carrier: dict[str, str] = {}
        context: Context = set_span_in_context(span)
        self._propagator.inject(carrier, context=context)
        return carrier.get("traceparent", parent)


def _describe(span: ReadableSpan) -> dict[str, object]:
    parent = f"{span.parent.span_id:016x}" if span.parent else None
    return {
        "trace_id": f"{span.context.trace_id:032x}",
        "span_id": f"{span.context.span_id:016x}",
        "parent_id": parent,
        "name": span.name,
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "instance": span.resource.attributes.get("service.instance.id"),
        "attributes": dict(span.attributes or {}),
    }


def _open_file(path: str) -> TextIO:
    """Open the file of the spans, which stays open until the process ends."""
    return open(path, "a", encoding="utf-8")
