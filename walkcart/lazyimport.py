"""Lazy loading of names and modules.

An instance on the platform must start fast and uses only a part of walkcart and of its
libraries. So importing a subpackage whose public names come from ten modules mustn't
load all ten, and importing a library mustn't load modules that an instance never uses.

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
    """Return a ``__getattr__`` for a subpackage that loads names on first use.

    Args:
        package: ``__name__`` of the subpackage.
        modules: for each public name, the module in the subpackage that defines it.

    Examples:
        >>> find = make_lazy_getattr("walkcart.kernel", {"read_number": "numbers"})
        >>> find("read_number")("7")
        7
    """

    def get_name(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{modules[name]}"), name)

    return get_name


def defer_modules(names: Iterable[str]) -> None:
    """Make modules load when one of their names is first used, not when imported.

    Modules that are loaded already or not installed are left alone. Call this before
    importing anything that imports the modules. A ``from module import name`` loads the
    module at once.

    Args:
        names: names of top-level modules.

    Examples:
        >>> defer_modules(["this_is_not_installed"])
    """
    for name in names:
        if name not in sys.modules and find_spec(name) is not None:
            sys.modules[name] = _make_deferred(name)


def _make_deferred(name: str) -> ModuleType:
    """Return a module whose code runs on the first access to a name it lacks."""
    spec = find_spec(name)
    assert spec is not None
    assert spec.loader is not None
    module = module_from_spec(spec)
    loader = spec.loader
    # While one thread loads the module, others that look up a name in it must wait.
    # The lock is reentrant, as code of the module may look up its own names.
    lock = RLock()
    load_started = False

    def load(attribute: str) -> Any:
        nonlocal load_started
        # The import system looks up such names in every module without using it.
        if attribute.startswith("__"):
            raise AttributeError(attribute)
        with lock:
            if not load_started:
                load_started = True
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


def block_modules(names: Iterable[str]) -> None:
    """Make imports of modules fail, except of those that are loaded already.

    Meant for modules whose importers have a fallback.

    Args:
        names: names of top-level modules.
    """
    for name in names:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
