"""Traces with a span for each hop, by OpenTelemetry, as JSON lines.

The trace id comes from the caller's ``traceparent`` header (W3C Trace Context)
and passes every hop, so one request is followed over all processes.
"""

from __future__ import annotations

from contextlib import AbstractContextManager, nullcontext
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from opentelemetry.trace import Span

__all__ = ["Tracer"]

OUTPUT_NONE = "none"


class Tracer:
    """Starts spans.

    Args:
        instance: name of the instance.
        output: ``none``, ``stderr`` or a file's path.
        ratio: share of the traces without a parent that are kept, 0 to 1.
    """

    def __init__(self, instance: str, output: str, ratio: float) -> None:
        self._spans = None
        if output == OUTPUT_NONE:
            return
        # OpenTelemetry takes memory and time to load: only where it is used.
        from walkcart.kernel.spanexport import SpanStarter

        self._spans = SpanStarter(instance, output, ratio)

    def start(self, name: str, parent: str | None, **attributes: object) -> Span | None:
        """Start a span below the ``traceparent`` in `parent`.

        Returns:
            The span, or None when tracing is off.
        """
        if self._spans is None:
            return None
        return self._spans.start(name, parent, attributes)

    def inject(self, span: Span | None, parent: str | None) -> str | None:
        """Return the ``traceparent`` that the next hop gets."""
        if span is None or self._spans is None:
            return parent
        return self._spans.inject(span, parent)

    def end_on_exit(self, span: Span | None) -> AbstractContextManager[object]:
        """Return a context manager that ends `span` when left."""
        return nullcontext() if span is None else _Ending(span)


class _Ending:
    """Ends a span on leaving."""

    def __init__(self, span: Span) -> None:
        self._span = span

    def __enter__(self) -> Span:
        return self._span

    def __exit__(self, *exc: object) -> None:
        self._span.end()
