"""The record that an instance stores about itself, and the prefixes of the keys.

See Also:
    `walkcart.membership.registration.Registration`, which stores and reads the record.
"""

from __future__ import annotations

import msgspec

#: Prefix of all keys that instances store.
SHARED_PREFIX = "walkcart/"
#: Prefix of the keys that hold the instances' records.
INSTANCE_PREFIX = "walkcart/instances/"
#: Bounds of the cores of an instance, by which work is divided among instances.
MIN_CORES = 0.01
MAX_CORES = 4096.0


class InstanceRecord(msgspec.Struct, frozen=True):
    """The record that an instance stores about itself.

    Args:
        name: the name of the instance.
        started: identifies the process; a restarted instance has another value.
        data_centre: the data centre of the instance.
        region: the region of the data centre.
        peer_address: ``IP:port`` for other instances; empty if it accepts no peers.
        cores: the cores of its machine, as a number of cores of the usual speed.
    """

    name: str
    started: str
    data_centre: str
    region: str
    peer_address: str = ""
    cores: float = 1.0

    @property
    def incarnation(self) -> int:
        """Always 0: the present process accepts messages meant for an earlier one."""
        return 0


def bound_cores(cores: float) -> float:
    """Return a number of cores that work can be divided by.

    Examples:
        >>> bound_cores(1.5), bound_cores(0.0), bound_cores(1e300)
        (1.5, 0.01, 4096.0)
    """
    return min(MAX_CORES, max(MIN_CORES, cores))
