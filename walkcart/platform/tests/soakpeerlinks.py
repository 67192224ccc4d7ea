"""Proxies between the daemons of a soak test, which can spoil what passes them.

A daemon stores the address at which others send to it. The store of a soak test puts
the address of a proxy in its place.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any

import msgspec
import trio

from walkcart.kernel.decoding import BadData, JsonDecoder
from walkcart.kernel.settings import HostPort, parse_peer_address
from walkcart.membership.instancerecord import INSTANCE_PREFIX, InstanceRecord
from walkcart.platform.tests.soakproxy import Proxy
from walkcart.platform.tests.storestandin import PlatformStoreStandin

#: Fraction of the pieces that are spoiled.
SPOILED = 0.5
#: Largest number of bytes that are changed in one piece.
MAX_FLIPS = 4
#: Bytes before each message of a peer: its length, and a count of the sockets passed.
FRAME_HEADER = 12
#: Daemons whose links go through proxies. More would load the process of the soak.
MAX_PROXIES = 6
_RECORD = JsonDecoder(InstanceRecord)


class Spoil(Enum):
    """What happens to the pieces of the streams between two daemons."""

    NONE = "none"
    FLIP_MESSAGE = "flip bits behind the header of a frame"
    FLIP = "flip bits"
    TRUNCATE = "drop the end"
    MERGE = "join two, without the header of the second"


@dataclass(slots=True, eq=False)
class PeerProxy(Proxy):
    """Forwards the connections to one daemon's port for peers.

    Args:
        random: chooses which pieces are spoiled, and where.
        spoil: what is done to them.
    """

    random: Random = field(default_factory=Random)
    spoil: Spoil = Spoil.NONE
    _held: bytes = b""

    def transform(self, data: bytes) -> bytes:
        """Return what is forwarded in place of a piece."""
        if self.spoil is Spoil.NONE or self.random.random() > SPOILED:
            return data
        match self.spoil:
            case Spoil.FLIP_MESSAGE:
                return data[:FRAME_HEADER] + self._flip(data[FRAME_HEADER:])
            case Spoil.FLIP:
                return self._flip(data)
            case Spoil.TRUNCATE:
                return data[: self.random.randrange(len(data))]
            case _ if self._held:
                held, self._held = self._held, b""
                return held + data[FRAME_HEADER:]
            case _:
                self._held = data
                return b""

    def _flip(self, data: bytes) -> bytes:
        """Return bytes of which a few bits are changed."""
        changed = bytearray(data)
        for _ in range(self.random.randint(1, MAX_FLIPS) if data else 0):
            place = self.random.randrange(len(changed))
            changed[place] ^= 1 << self.random.randrange(8)
        return bytes(changed)


@dataclass(slots=True, eq=False)
class SoakStore(PlatformStoreStandin):
    """A store that puts the addresses of proxies into the records of daemons.

    Args:
        peer_proxies: the proxies by the name of the daemon.
    """

    peer_proxies: dict[str, PeerProxy] = field(default_factory=dict)

    def put(self, key: str, content: Any, lease: int = 0) -> None:
        """Store a value, or the record of a daemon with another address."""
        name = key.removeprefix(INSTANCE_PREFIX)
        if name != key and name in self.peer_proxies and isinstance(content, bytes):
            content = self._replace_address(name, content)
        PlatformStoreStandin.put(self, key, content, lease)

    def _replace_address(self, name: str, content: bytes) -> bytes:
        try:
            record = _RECORD.decode(content)
        except BadData:
            return content
        proxy = self.peer_proxies[name]
        proxy.target = parse_peer_address(record.peer_address)
        changed = msgspec.structs.replace(record, peer_address=str(proxy.address))
        return msgspec.json.encode(changed)

    async def start_peer_proxies(
        self, names: list[str], random: Random, nursery: trio.Nursery
    ) -> None:
        """Start the proxies of the first daemons."""
        for name in names[:MAX_PROXIES]:
            # Nothing listens at port 1 until the daemon has stored its address.
            proxy = PeerProxy(HostPort("127.0.0.1", 1), random=random)
            await nursery.start(proxy.run)
            self.peer_proxies[name] = proxy
