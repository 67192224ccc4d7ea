"""What an instance stores about itself, and under which keys.

See Also:
    `walkcart.membership.registration.Registration`, which stores and reads it.
"""

from __future__ import annotations

import msgspec

#: Start of all keys that instances of the platform store.
SHARED_PREFIX = "walkcart/"
#: Start of the keys of instances.
INSTANCE_PREFIX = "walkcart/instances/"


class InstanceRecord(msgspec.Struct, frozen=True):
    """What an instance stores about itself.

    Args:
        name: of the instance.
        started: names its process life.
        data_centre: where it stands.
        region: of that data centre.
        peer_address: ``IP:port`` for other instances; empty when it takes no peers.
        cores: of its machine, in cores of the usual speed.
    """

    name: str
    started: str
    data_centre: str
    region: str
    peer_address: str = ""
    cores: float = 1.0

    @property
    def incarnation(self) -> int:
        """Return 0: messages to any life of an instance may be taken by the present."""
        return 0
