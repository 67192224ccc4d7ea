"""Which team a request is of, or why it may not run.

A configuration that holds teams lets in what brings the key of one, and what goes to a
public route. It may be older than a key: an instance that knows that it has missed
changes says so and has the caller ask elsewhere, where the key may be known.

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

#: Seconds after which a copy of the configuration is old: one that isn't confirmed for
#: 1.8 s is read anew, which takes up to 0.3 s on a busy machine, and as much again.
#: A caller with a new key is turned away wrongly for no longer than that.
MAX_CONFIGURATION_AGE = 2.5
#: When to ask again, and of whom is drawn anew: long enough for a new connection,
#: short enough for the answer to keep its value.
OLD_RETURN = timedelta(milliseconds=50)


@dataclass(frozen=True, slots=True)
class Access:
    """A request may run.

    Args:
        team: whose it is; None where none was named, or none needs to be.
        grant: what must stay in force for more to be sent for it.
    """

    team: Team | None
    grant: Grant


def find_access(
    table: RouteTable, route: Route, credential: bytes | None, age: float
) -> Access | NotRun:
    """Return whose a request is, or why it may not run.

    Args:
        table: the configuration in force.
        route: of the request.
        credential: digest of its key; None without exactly one.
        age: seconds since the configuration surely was the newest.
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
        return NotRun(Reason.CONFIGURATION_OLD, detail, OLD_RETURN)
    return NotRun(Reason.UNAUTHENTICATED, "no team has the key")
