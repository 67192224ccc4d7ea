"""Names and modules that are loaded on first use.

An instance on the platform starts within the time of its imports and uses a part of
the product, and a part of the libraries: a subpackage that names ten modules must not
load all of them, nor one library all that it could be asked for.

References:
    PEP 562, module ``__getattr__``.
    The import system: ``None`` in `sys.modules` stops the import of a module.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Mapping
from importlib import import_module
from importlib.util import find_spec, module_from_spec
from threading import RLock
from types import ModuleType
from typing import Any


def make_lazy_getattr(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a module's ``__getattr__`` that loads names on first use.

    Args:
        package: the subpackage's ``__name__``.
        modules: for each public name, the module of the subpackage that defines it.

    Examples:
        >>> find = make_lazy_getattr("walkcart.kernel", {"read_number": "numbers"})
        >>> find("read_number")("7")
        7
    """

    def find(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{modules[name]}"), name)

    return find


def defer_modules(names: Iterable[str]) -> None:
    """Let modules be loaded when something of them is used, not when imported.

    A module that is loaded already stays as it is, as does one that isn't installed.
    Must come before the imports of those that import them. Whoever takes a name of
    the module (``from module import name``) loads it at once.

    Args:
        names: of top-level modules.

    Examples:
        >>> defer_modules(["this_is_not_installed"])
    """
    for name in names:
        if name not in sys.modules and find_spec(name) is not None:
            sys.modules[name] = _make_deferred(name)


def _make_deferred(name: str) -> ModuleType:
    """Return a module whose code runs when the first of its names is missed."""
    spec = find_spec(name)
    assert spec is not None
    assert spec.loader is not None
    module = module_from_spec(spec)
    loader = spec.loader
    # Threads that come while another one loads the module must wait for its names.
    lock = RLock()
    has_begun = False

    def load(attribute: str) -> Any:
        nonlocal has_begun
        # The import system asks for some of these of every module.
        if attribute.startswith("__"):
            raise AttributeError(attribute)
        with lock:
            if not has_begun:
                has_begun = True
                loader.exec_module(module)
                if vars(module).get("__getattr__") is load:
                    del vars(module)["__getattr__"]
        try:
            return vars(module)[attribute]
        except KeyError:
            detail = f"module {name!r} has no attribute {attribute!r}"
            raise AttributeError(detail) from None

    vars(module)["__getattr__"] = load
    return module


def refuse_modules(names: Iterable[str]) -> None:
    """Let imports of modules fail; one that is loaded already stays.

    For modules whose importers go on without them.

    Args:
        names: of top-level modules.
    """
    for name in names:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
