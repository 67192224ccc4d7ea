"""Public names of a subpackage that load their modules on first use.

An instance on the platform starts within the time of its imports and uses a part of
the product: a subpackage that names ten modules must not load all of them.

References:
    PEP 562, module ``__getattr__``.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any


def attach_names(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a module's ``__getattr__`` that loads names on first use.

    Args:
        package: the subpackage's ``__name__``.
        modules: for each public name, the module of the subpackage that defines it.

    Examples:
        >>> find = attach_names("walkcart.kernel", {"read_number": "numbers"})
        >>> find("read_number")("7")
        7
    """

    def find(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{modules[name]}"), name)

    return find
