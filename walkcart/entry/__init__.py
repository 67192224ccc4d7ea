"""The HTTP interface of an instance for callers and operators."""

from walkcart.lazyimport import attach_names

_MODULES = {
    "EntryService": "app",
    "PlannedStop": "stopping",
    "RoutedHandler": "routed",
    "RoutedService": "routedservice",
    "RoutedStop": "routedstop",
}

__all__ = sorted(_MODULES)

__getattr__ = attach_names(__name__, _MODULES)
