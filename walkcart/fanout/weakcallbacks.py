"""Callbacks that don't keep the object alive whose method they call."""

from __future__ import annotations

from collections.abc import Callable
from typing import ParamSpec, TypeVar
from weakref import WeakMethod

P = ParamSpec("P")
T = TypeVar("T")


def bind_weakly(method: Callable[P, T], ended: Callable[P, T]) -> Callable[P, T]:
    """Return a function that calls a method as long as its object lives.

    Args:
        method: bound method of an object that supports weak references.
        ended: called in its place once the object is gone.

    Examples:
        >>> class Greeter:
        ...     def greet(self, name):
        ...         return f"hello {name}"
        >>> greeter = Greeter()
        >>> greet = bind_weakly(greeter.greet, lambda name: "")
        >>> greet("you")
        'hello you'
        >>> del greeter
        >>> greet("you")
        ''
    """
    weak_method = WeakMethod(method)

    def call(*args: P.args, **kwargs: P.kwargs) -> T:
        alive = weak_method()
        function = ended if alive is None else alive
        return function(*args, **kwargs)

    return call
