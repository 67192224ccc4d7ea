"""Reads the teams of the stored configuration."""

from __future__ import annotations

from typing import Annotated

import msgspec

from walkcart.intent.teams import RateLimit, Team, digest_key
from walkcart.kernel.decoding import Int64
from walkcart.routing.eligibility import ALL_REGIONS, Regions

#: Pattern of texts that fit into a header: visible characters at both ends, and no
#: control characters.
HEADER_TEXT_PATTERN = r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z"

#: Bounds of the rates that count, in requests per second. Products with them, and their
#: reciprocals, are finite; a rate beyond them means no limit, or almost no requests.
MIN_RATE = 1e-6
MAX_RATE = 1e9


class StoredTeam(msgspec.Struct, rename="camel"):
    """A team in the form in which operators store it."""

    name: Annotated[str, msgspec.Meta(pattern=HEADER_TEXT_PATTERN)]
    api_keys: list[str] = []
    # Priority, which overrides that of a route: 0 is the most urgent.
    priority: Int64 | None = None
    # Requests per second over all instances; 0 means no limit.
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    # Requests beyond the rate that may come at once.
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    allowed_regions: list[str] = []

    def __repr__(self) -> str:
        """Return the name only, so that keys are never printed."""
        return f"StoredTeam({self.name!r})"


def read_teams(teams: list[StoredTeam] | None) -> tuple[Team, ...] | None:
    """Return the teams: None if requests need no key, empty if no key is valid."""
    return None if teams is None else tuple(_read_team(team) for team in teams)


def _read_team(team: StoredTeam) -> Team:
    limit = None
    if team.rate_per_s:
        rate = min(MAX_RATE, max(MIN_RATE, team.rate_per_s))
        limit = RateLimit(rate, min(MAX_RATE, team.burst))
    return Team(
        name=team.name,
        keys=frozenset(digest_key(key.encode()) for key in team.api_keys),
        rank=team.priority,
        limit=limit,
        regions=read_regions(team.allowed_regions),
    )


def read_regions(names: list[str]) -> Regions:
    """Return the regions of a list of names; an empty list means all regions."""
    return Regions(frozenset(names)) if names else ALL_REGIONS
