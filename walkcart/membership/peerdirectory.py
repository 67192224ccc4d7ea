"""The directory of instances that links are opened from."""

from __future__ import annotations

from functools import lru_cache
from typing import Protocol

from walkcart.kernel.settings import BadValue, HostPort, parse_peer_address

#: Parsed addresses that are cached: those of the largest fleet and as many former ones.
MAX_CACHED_ADDRESSES = 2048


class PeerEntry(Protocol):
    """What a link needs to know about an instance."""

    @property
    def name(self) -> str:
        """Name of the instance."""
        ...

    @property
    def incarnation(self) -> int:
        """Number of its process, raised at each restart; 0 if it doesn't matter."""
        ...

    @property
    def peer_address(self) -> str:
        """``IP:port`` for peers; empty if it accepts none."""
        ...


class PeerDirectory(Protocol):
    """The known instances and their addresses."""

    @property
    def own(self) -> PeerEntry:
        """This instance."""
        ...

    def find(self, name: str) -> PeerEntry | None:
        """Return the instance called `name`, or None."""
        ...


@lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def parse_address(text: str) -> HostPort | None:
    """Return the parsed address of an instance, or None if it is empty or invalid.

    Cached, because it is needed each second for each open link, and parsing an address
    takes 18 us on a busy machine.
    """
    try:
        return parse_peer_address(text) if text else None
    except BadValue:
        return None
