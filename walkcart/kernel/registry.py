"""The registry of named services, by which the parts of an instance find each other.

A service is any object; if it has a ``run`` coroutine, the kernel runs it. Services are
started in the order in which they were added, each after the one before is ready, so a
service may use all that were added before it. They are cancelled together.

Examples:
    >>> kernel = Kernel()
    >>> kernel.add("answer", 42)
    >>> kernel.find("answer", int)
    42

See Also:
    `walkcart.daemon.assembly`, which adds the services of an instance.
"""

from __future__ import annotations

from typing import Any, Protocol, TypeVar, runtime_checkable

import trio

T = TypeVar("T")


@runtime_checkable
class Service(Protocol):
    """A part of an instance that runs as long as the instance."""

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Run until cancelled; call ``task_status.started()`` when ready."""
        ...


class ServiceNotFound(LookupError):
    """There is no service of that name, or it is of another type."""


class Kernel:
    """Named services, in the order in which they are started."""

    def __init__(self) -> None:
        self._services: dict[str, Any] = {}

    def add(self, name: str, service: Any) -> None:
        """Add `service` under `name`.

        Raises:
            ValueError: there is a service of that name already.
        """
        if name in self._services:
            raise ValueError(f"a service named {name!r} was added before")
        self._services[name] = service

    def find(self, name: str, kind: type[T]) -> T:
        """Return the service called `name`.

        Args:
            name: name of the service.
            kind: expected class of the service.

        Raises:
            ServiceNotFound: there is no such service, or it isn't a `kind`.
        """
        service = self._services.get(name)
        if service is None:
            raise ServiceNotFound(f"no service is named {name!r}")
        if not isinstance(service, kind):
            raise ServiceNotFound(f"service {name!r} is not a {kind.__name__}")
        return service

    def names(self) -> tuple[str, ...]:
        """Return the names of the services, in their start order."""
        return tuple(self._services)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Run every service that has a ``run``, until cancelled."""
        async with trio.open_nursery() as nursery:
            for service in self._services.values():
                if isinstance(service, Service):
                    await nursery.start(service.run)
            task_status.started()
