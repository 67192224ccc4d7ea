"""OpenTelemetry traces with a span for each hop, written as JSON lines.

The trace id comes from the caller's ``traceparent`` header (W3C Trace Context) and is
passed on at every hop, so that a request can be followed through all processes.
"""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry.trace import Span

__all__ = ["Tracer"]

OUTPUT_NONE = "none"


class Tracer:
    """Starts spans and passes their context on; does nothing if tracing is off.

    Args:
        instance: name of the instance.
        output: ``none`` to turn tracing off, ``stderr``, or the path of a file.
        ratio: share of the traces without a parent that are kept, 0 to 1.
    """

    def __init__(self, instance: str, output: str, ratio: float) -> None:
        self._spans = None
        if output == OUTPUT_NONE:
            return
        # Imported only where it is used, as OpenTelemetry takes memory and load time.
        from walkcart.kernel.spanexport import SpanStarter

        self._spans = SpanStarter(instance, output, ratio)

    def start(self, name: str, parent: str | None, **attributes: object) -> Span | None:
        """Start a span as a child of the ``traceparent`` in `parent`.

        Args:
            name: name of the span.
            parent: the ``traceparent`` of the parent; None starts a new trace.
            **attributes: attributes of the span.

        Returns:
            The span, or None if tracing is off.
        """
        if self._spans is None:
            return None
        return self._spans.start(name, parent, attributes)

    def inject(self, span: Span | None, parent: str | None) -> str | None:
        """Return the ``traceparent`` to send to the next hop."""
        if span is None or self._spans is None:
            return parent
        return self._spans.inject(span, parent)

    def end_on_exit(self, span: Span | None) -> AbstractContextManager[object]:
        """Return a context manager that ends `span` on exit."""
        return nullcontext() if span is None else _SpanEnder(span)


class _SpanEnder:
    """Context manager that ends a span on exit."""

    def __init__(self, span: Span) -> None:
        self._span = span

    def __enter__(self) -> Span:
        return self._span

    def __exit__(self, *exc: object) -> None:
        self._span.end()
