"""What the faults of a soak test are injected into."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from walkcart.platform.tests.soakdaemons import Daemons
from walkcart.platform.tests.soakenvironment import SoakEnvironment


@dataclass(slots=True)
class Soaked:
    """What faults are injected into.

    Args:
        daemons: the processes.
        environment: store, leaves and proxies.
        random: chooses the details.
    """

    daemons: Daemons
    environment: SoakEnvironment
    random: Random
