"""The daemon ``walkcartd``, which runs one instance."""

from walkcart.lazyimport import attach_names

_MODULES = {
    "Instance": "assembly",
    "Tenant": "tenant",
    "assemble_instance": "assembly",
    "assemble_tenant": "tenant",
}

__all__ = sorted(_MODULES)

__getattr__ = attach_names(__name__, _MODULES)
