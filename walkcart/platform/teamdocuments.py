"""Teams as they lie in the stored configuration."""

from __future__ import annotations

from typing import Annotated

import msgspec

from walkcart.intent.teams import RateLimit, Team, digest_key
from walkcart.routing.eligibility import ALL_REGIONS, Regions

#: Names that a header can hold: something to see at both ends, nothing that controls.
_NAME = r"^[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z"


class StoredTeam(msgspec.Struct, rename="camel"):
    """A team as operators store it."""

    name: Annotated[str, msgspec.Meta(pattern=_NAME)]
    api_keys: list[str] = []
    # Rank, before that of a route: 0 is the most urgent.
    priority: int | None = None
    # Requests a second over all instances; 0 where there is no limit.
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    allowed_regions: list[str] = []

    def __repr__(self) -> str:
        """Return the name alone: keys are shown nowhere."""
        return f"StoredTeam({self.name!r})"


def read_teams(teams: list[StoredTeam] | None) -> tuple[Team, ...] | None:
    """Return the teams; an empty list stays one, by which no key is known."""
    return None if teams is None else tuple(_read_team(team) for team in teams)


def _read_team(team: StoredTeam) -> Team:
    limit = RateLimit(team.rate_per_s, team.burst) if team.rate_per_s else None
    return Team(
        name=team.name,
        keys=frozenset(digest_key(key.encode()) for key in team.api_keys),
        rank=team.priority,
        limit=limit,
        regions=read_regions(team.allowed_regions),
    )


def read_regions(names: list[str]) -> Regions:
    """Return the regions that a list of them stands for; empty means everywhere."""
    return Regions(frozenset(names)) if names else ALL_REGIONS
