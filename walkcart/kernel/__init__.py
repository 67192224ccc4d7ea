"""The micro-kernel: named services, clock, settings, events, metrics, spans."""

from walkcart.lazyimport import make_lazy_getattr

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

__getattr__ = make_lazy_getattr(__name__, _MODULES)
