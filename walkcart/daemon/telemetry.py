"""Metrics and spans of an instance, without which it starts where they can't be had."""

from __future__ import annotations

from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import Settings
from walkcart.kernel.spans import OUTPUT_NONE, Tracer


def make_metrics(settings: Settings, events: EventLog) -> Metrics:
    """Return the metrics, which aren't sent if their address can't be used."""
    try:
        return Metrics(settings.statsd, settings.instance)
    except OSError as error:
        events.emit(
            Events.SETTING_INVALID,
            setting="statsd",
            value=str(settings.statsd),
            expected=f"an address to send to; no metrics are sent: {error}",
        )
        return Metrics(None, settings.instance)


def make_tracer(settings: Settings, events: EventLog) -> Tracer:
    """Return a tracer, which writes no spans if their file can't be opened."""
    try:
        return Tracer(settings.instance, settings.span_output, settings.span_ratio)
    except OSError as error:
        events.emit(
            Events.SETTING_INVALID,
            setting="span_output",
            value=settings.span_output,
            expected=f"a file that can be written; no spans are written: {error}",
        )
        return Tracer(settings.instance, OUTPUT_NONE, settings.span_ratio)
