"""The micro-kernel: named services, clock, settings, events, metrics, spans."""

from walkcart.kernel.clock import Clock, TrioClock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Event, Events
from walkcart.kernel.invariants import InvariantBroken, Invariants
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.registry import Kernel, Service
from walkcart.kernel.settings import Settings
from walkcart.kernel.spans import Span, Tracer

__all__ = [
    "Clock",
    "Event",
    "EventLog",
    "Events",
    "InvariantBroken",
    "Invariants",
    "Kernel",
    "Metrics",
    "Service",
    "Settings",
    "Span",
    "Tracer",
    "TrioClock",
]
