"""The daemon, ``walkcartd``: one instance."""

from walkcart.lazyimport import make_lazy_getattr

_MODULES = {
    "Instance": "assembly",
    "Tenant": "tenant",
    "assemble_instance": "assembly",
    "assemble_tenant": "tenant",
}

__all__ = sorted(_MODULES)

__getattr__ = make_lazy_getattr(__name__, _MODULES)
