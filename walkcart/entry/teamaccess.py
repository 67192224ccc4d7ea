"""Access control by API key: the team that sent a request, or why it is refused.

A configuration with teams admits requests with the key of one of them, and requests
to public routes. The configuration of this instance may be older than a key. If the
instance knows that it may have missed changes, its refusal says so, and the caller
tries another instance, which may know the key.

Examples:
    >>> from walkcart.intent.routes import RoutingDocument, ToService
    >>> fitters = Team("fitters", keys=frozenset({b"k"}))
    >>> table = RouteTable(RoutingDocument(1, teams=(fitters,)))
    >>> route = Route("r", "h", "/", ToService("s"))
    >>> find_access(table, route, b"k", age=0.2).team.name
    'fitters'
    >>> find_access(table, route, b"other", age=0.2).reason.value
    'unauthenticated'
    >>> find_access(table, route, b"other", age=60.0).reason.value
    'configuration_old'
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from walkcart.intent.routes import Route, RouteTable
from walkcart.intent.teams import Grant, Team
from walkcart.wire.verdicts import NotRun, Reason

#: Age of the copy of the configuration, in seconds, from which on it counts as old. A
#: copy that isn't confirmed for 1.8 s is read again, which takes up to 0.3 s on a busy
#: machine; as much again is reserve. For no longer than this a caller with a new key
#: is wrongly refused as unauthenticated.
MAX_CONFIGURATION_AGE = 2.5
#: Retry-after of a refusal because of an old configuration. The retry goes to an
#: instance chosen anew: the delay is long enough to open a connection, and short enough
#: for the answer to keep its value.
STALE_RETRY_DELAY = timedelta(milliseconds=50)


@dataclass(frozen=True, slots=True)
class Access:
    """The request may run.

    Args:
        team: the team that sent it; None if it has no key of a team and needs none.
        grant: must remain valid for more attempts to be sent for the request.
    """

    team: Team | None
    grant: Grant


def find_access(
    table: RouteTable, route: Route, credential: bytes | None, age: float
) -> Access | NotRun:
    """Return the team that sent a request, or why the request may not run.

    Args:
        table: configuration in force.
        route: route of the request.
        credential: digest of its API key; None unless it has exactly one.
        age: seconds since the configuration was last confirmed to be the newest.
    """
    if table.document.teams is None:
        return Access(None, Grant())
    team = None if credential is None else table.teams.find_by_key(credential)
    if team is not None:
        return Access(team, Grant(team.name, credential))
    if route.public:
        return Access(None, Grant())
    if credential is None:
        return NotRun(Reason.UNAUTHENTICATED, "the request has no usable key")
    if age > MAX_CONFIGURATION_AGE:
        detail = "no team has the key, by a configuration that may be old"
        return NotRun(Reason.CONFIGURATION_OLD, detail, STALE_RETRY_DELAY)
    return NotRun(Reason.UNAUTHENTICATED, "no team has the key")
