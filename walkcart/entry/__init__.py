"""The callers' and operators' interface of an instance."""

from walkcart.lazyimport import make_lazy_getattr

_MODULES = {
    "EntryService": "app",
    "PlannedStop": "stopping",
    "RoutedHandler": "routed",
    "RoutedService": "routedservice",
    "RoutedStop": "routedstop",
}

__all__ = sorted(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
