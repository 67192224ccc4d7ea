"""The operators' intent: objects, selectors, validation, acceptance, propagation."""

from walkcart.lazyimport import make_lazy_getattr

_MODULES = {
    "Applier": "applying",
    "Configuration": "model",
    "ConfigurationKeeper": "distribution",
    "Document": "document",
    "Policy": "policy",
    "Proposal": "applying",
    "RouteKeeper": "routekeeper",
    "RouteTable": "routes",
    "RoutingDocument": "routes",
    "Selector": "selectors",
    "diff_configurations": "diffing",
    "load_toml": "loading",
    "merge_configurations": "diffing",
    "parse_selector": "selectors",
    "read_document": "document",
    "resolve_policy": "policy",
    "validate_configuration": "validation",
}

__all__ = sorted(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
