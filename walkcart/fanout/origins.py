"""Whose a request is, by the configuration in force at this instance.

Where requests need keys, leafs and other instances get the name of the key's team in
its place. So an instance that gathers for another one learns from the request itself
whose it is, and looks up the rest.

See Also:
    `walkcart.entry.teamaccess`, which decides whose request may run.
"""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.teams import Grant
from walkcart.wire.fingerprint import IDENTIFYING_HEADERS, fingerprint_request
from walkcart.wire.http import HttpRequest, find_header


@dataclass(frozen=True, slots=True)
class RequestOrigins:
    """Tells whose requests are.

    Args:
        keeper: the configuration in force.
        team_header: names the team on requests that leafs and instances get.
    """

    keeper: RouteKeeper
    team_header: bytes

    def fingerprint(self, request: HttpRequest) -> bytes:
        """Return the fingerprint of a request as leafs get it.

        Its sender is the team where requests need keys: a team's callers may each have
        a key, and the key isn't told to other instances.
        """
        if self.keeper.table.document.teams is None:
            return fingerprint_request(request)
        return fingerprint_request(request, (IDENTIFYING_HEADERS[0], self.team_header))

    def find_team(self, request: HttpRequest) -> str:
        """Return the team that a request names; empty where requests need no key."""
        if self.keeper.table.document.teams is None:
            return ""
        named = find_header(request.headers, self.team_header) or ""
        return named.encode("latin-1").decode("utf-8", "replace")

    def find_rank(self, kind: str, team: str) -> int:
        """Return the rank of a route's requests that a team sends."""
        return self.keeper.table.find_rank(kind, team)

    def find_grant(self, kind: str, team: str) -> Grant | None:
        """Return what must stay in force for a request of another instance.

        What isn't in force here to begin with is that one's to judge: it may have a
        later configuration.
        """
        grant = Grant(team)
        return grant if self.keeper.table.still_admits(kind, grant) else None
