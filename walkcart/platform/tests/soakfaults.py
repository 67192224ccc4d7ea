"""The table of the kinds of faults of a soak test."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from walkcart.platform.tests.soakboundaryfaults import hold_back_messages
from walkcart.platform.tests.soakclients import hold_connections
from walkcart.platform.tests.soaked import Soaked
from walkcart.platform.tests.soakendless import add_endless_leafs
from walkcart.platform.tests.soakinputfaults import (
    add_bad_leaf,
    add_useless_leaf,
    list_closing_peers,
    send_bad_requests,
    send_peer_bytes,
    store_bad_document,
    store_bad_entries,
    store_bad_shared,
)
from walkcart.platform.tests.soaklinkfaults import (
    disturb_peer_links,
    spoil_peer_links,
)
from walkcart.platform.tests.soakprocessfaults import (
    break_settings,
    flood,
    hold_metrics_port,
    hold_port,
    kill,
    kill_all,
    limit_descriptors,
    pause,
    pause_long,
    restart_quickly,
    stop,
)
from walkcart.platform.tests.soakrestartfaults import (
    flood_starts,
    send_signals,
    start_with_bad_settings,
    start_with_bad_store,
)
from walkcart.platform.tests.soakstartfaults import (
    end_by_turns,
    pause_start_and_stop,
    start_before_settings,
    start_without_descriptors,
    stop_again,
)

#: Injects a fault into a daemon, or into what surrounds it, for some seconds.
Inject = Callable[[Soaked, str, float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class FaultKind:
    """A kind of fault.

    Args:
        inject: injects one.
        events: events of which the daemons log at least one after such faults.
        detail: text that the log line has, too.
        restarts: whether the fault ends the process of its daemon.
    """

    inject: Inject
    events: tuple[str, ...] = ()
    detail: str = ""
    restarts: bool = False


async def disturb_store(soaked: Soaked, name: str, duration: float) -> None:
    """Make the store fail."""
    await soaked.environment.disturb_store(duration)


async def disturb_leaf(soaked: Soaked, name: str, duration: float) -> None:
    """Make a leaf misbehave."""
    await soaked.environment.disturb_leaf(duration)


async def disturb_link(soaked: Soaked, name: str, duration: float) -> None:
    """Make the connections to a leaf misbehave."""
    await soaked.environment.disturb_link(duration)


async def change_routes(soaked: Soaked, name: str, duration: float) -> None:
    """Store a new version of the configuration."""
    soaked.environment.change_routes()


async def evacuate(soaked: Soaked, name: str, duration: float) -> None:
    """Evacuate a data centre."""
    await soaked.environment.evacuate(duration)


async def reassign_key(soaked: Soaked, name: str, duration: float) -> None:
    """Give a key to another team, if there are teams."""
    if soaked.environment.teams is not None:
        soaked.environment.teams.reassign_key()
        soaked.environment.change_routes()


KINDS: dict[str, FaultKind] = {
    "kill": FaultKind(kill),
    "stop": FaultKind(stop),
    "pause": FaultKind(pause),
    "long pause": FaultKind(pause_long),
    "herd": FaultKind(kill_all),
    "restarts": FaultKind(restart_quickly),
    "store": FaultKind(disturb_store),
    "leaf": FaultKind(disturb_leaf),
    "link": FaultKind(disturb_link),
    "route": FaultKind(change_routes),
    "evacuate": FaultKind(evacuate),
    "keys": FaultKind(reassign_key),
    "entries": FaultKind(store_bad_entries, ("leaf_entry_bad",)),
    "documents": FaultKind(store_bad_document, ("routes_bad",)),
    "shared": FaultKind(store_bad_shared, ("peer_bad_message",)),
    "bad leaf": FaultKind(add_bad_leaf, ("leaf_bad_reply", "leaf_unreachable")),
    "useless leaf": FaultKind(add_useless_leaf),
    "requests": FaultKind(send_bad_requests, ("request_bad",)),
    "peers": FaultKind(send_peer_bytes, ("peer_bad_message",)),
    "held messages": FaultKind(hold_back_messages),
    "closing peers": FaultKind(list_closing_peers),
    "flood": FaultKind(flood),
    "descriptors": FaultKind(limit_descriptors),
    "ports": FaultKind(hold_port),
    "metrics": FaultKind(hold_metrics_port),
    "settings": FaultKind(break_settings, ("settings_bad",)),
    "ends by turns": FaultKind(end_by_turns),
    "stops again": FaultKind(stop_again),
    "late settings": FaultKind(start_before_settings),
    "late descriptors": FaultKind(start_without_descriptors),
    "paused starts": FaultKind(pause_start_and_stop),
    "endless leafs": FaultKind(
        add_endless_leafs, ("leaf_bad_reply", "reply_memory_full")
    ),
    "peer links": FaultKind(disturb_peer_links),
    "spoiled links": FaultKind(
        spoil_peer_links, ("peer_bad_message",), "the checksum isn't that"
    ),
    "held connections": FaultKind(hold_connections, ("request_bad",), restarts=True),
    "bad settings": FaultKind(
        start_with_bad_settings, ("settings_awaited",), restarts=True
    ),
    "bad store": FaultKind(
        start_with_bad_store, ("store_bad_reply", "store_failed"), restarts=True
    ),
    "signals": FaultKind(send_signals, ("settings_reloaded",), restarts=True),
    "flooded starts": FaultKind(
        flood_starts,
        ("connections_full", "library_warning", "address_busy"),
        restarts=True,
    ),
}
