"""The micro-kernel: service registry, clock, settings, events, metrics and spans."""

from walkcart.lazyimport import attach_names

_MODULES = {
    "Clock": "clock",
    "Event": "events",
    "EventLog": "eventlog",
    "Events": "events",
    "InvariantBroken": "invariants",
    "Invariants": "invariants",
    "Kernel": "registry",
    "Metrics": "metrics",
    "Service": "registry",
    "Settings": "settings",
    "Tracer": "spans",
    "TrioClock": "clock",
}

__all__ = sorted(_MODULES)

__getattr__ = attach_names(__name__, _MODULES)
