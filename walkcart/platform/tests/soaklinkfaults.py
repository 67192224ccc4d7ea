"""Faults of the connections between the daemons of a soak test.

Each function undoes what it did, also when it is cancelled.
"""

from __future__ import annotations

import trio

from walkcart.platform.tests.soaked import Soaked
from walkcart.platform.tests.soakpeerlinks import Spoil
from walkcart.platform.tests.soakproxy import ProxyFault


async def spoil_peer_links(soaked: Soaked, name: str, duration: float) -> None:
    """Spoil what passes between daemons, in each way in turn.

    Connections survive only the first way, so that it reaches daemons. It takes half
    of the time.
    """
    proxies = soaked.environment.store.peer_proxies.values()
    others = (Spoil.FLIP, Spoil.TRUNCATE, Spoil.MERGE)
    ways = (Spoil.FLIP_MESSAGE, *soaked.random.sample(others, len(others)))
    try:
        for way in ways:
            for proxy in proxies:
                proxy.spoil = way
            share = 0.5 if way is Spoil.FLIP_MESSAGE else 0.5 / len(others)
            await trio.sleep(duration * share)
    finally:
        for proxy in proxies:
            proxy.spoil = Spoil.NONE


async def disturb_peer_links(soaked: Soaked, name: str, duration: float) -> None:
    """Delay, silence or end the connections from other daemons to one."""
    proxies = list(soaked.environment.store.peer_proxies.values())
    proxy = soaked.random.choice(proxies)
    proxy.set_fault(soaked.random.choice(list(ProxyFault)[1:]))
    try:
        await trio.sleep(duration)
    finally:
        proxy.set_fault(ProxyFault.NONE)
