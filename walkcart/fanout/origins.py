"""Finds the team of a request, by the configuration in force at this instance.

Where requests need keys, leaves and other instances get the name of the key's team
instead of the key. So an instance that gathers for another one reads the team from the
request itself, and looks up its rank and permissions.

See Also:
    `walkcart.entry.teamaccess`, which decides which teams' requests may run.
"""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.teams import Grant
from walkcart.wire.fingerprint import IDENTIFYING_HEADERS, fingerprint_request
from walkcart.wire.http import HttpRequest, find_header


@dataclass(frozen=True, slots=True)
class RequestOrigins:
    """Finds the team of requests, with its rank and permissions.

    Args:
        keeper: holds the configuration in force.
        team_header: name of the header with the team, on requests to leaves and other
            instances.
    """

    keeper: RouteKeeper
    team_header: bytes

    def fingerprint(self, request: HttpRequest) -> bytes:
        """Return the fingerprint of a request as leaves get it.

        Where requests need keys, the fingerprint identifies the sender by its team:
        each caller of a team may have its own key, and keys aren't sent to other
        instances.
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
        """Return the rank of a team's requests of a kind; 0 is the most urgent."""
        return self.keeper.table.find_rank(kind, team)

    def find_grant(self, kind: str, team: str) -> Grant | None:
        """Return the permission that must stay in force for another instance's request.

        None if this instance's configuration doesn't grant it to begin with: the other
        instance decides then, as it may have a later configuration.
        """
        grant = Grant(team)
        return grant if self.keeper.table.still_admits(kind, grant) else None
