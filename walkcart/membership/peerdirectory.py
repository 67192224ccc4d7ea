"""What links between instances have to know of each of them."""

from __future__ import annotations

from functools import lru_cache
from typing import Protocol

from walkcart.kernel.settings import BadValue, HostPort, parse_host_port

#: Addresses that are kept as they were read: those of the largest fleet and as many
#: that were before.
MOST_ADDRESSES = 2048


class PeerEntry(Protocol):
    """What a link has to know of an instance."""

    @property
    def name(self) -> str:
        """Names the instance."""
        ...

    @property
    def incarnation(self) -> int:
        """Number of its process life; 0 when it doesn't matter."""
        ...

    @property
    def peer_address(self) -> str:
        """``IP:port`` for peers; empty when it takes none."""
        ...


class PeerDirectory(Protocol):
    """The instances and their addresses."""

    @property
    def own(self) -> PeerEntry:
        """This instance."""
        ...

    def find(self, name: str) -> PeerEntry | None:
        """Return the instance called `name`, or None."""
        ...


@lru_cache(maxsize=MOST_ADDRESSES)
def read_address(text: str) -> HostPort | None:
    """Return the address that an instance gave, or None.

    Kept, since it is asked for each second of each link that stands ready: reading one
    took 18 us on a busy machine.
    """
    try:
        return parse_host_port(text) if text else None
    except BadValue:
        return None
