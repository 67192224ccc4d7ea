"""Teams: their keys, rank, rate limit and permitted regions.

Only digests of a team's keys are kept, so that no key can appear in a log, a metric or
a message between instances.

Examples:
    >>> team = Team("fitters", keys=frozenset({digest_key(b"secret")}))
    >>> index = TeamIndex((team,))
    >>> index.find_by_key(digest_key(b"secret")).name
    'fitters'
    >>> index.find_by_key(digest_key(b"other")) is None
    True
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from walkcart.routing.eligibility import ALL_REGIONS, Regions

#: Size of a key's digest in bytes; at this size no two keys collide by chance.
DIGEST_SIZE = 16


def digest_key(key: bytes) -> bytes:
    """Return the digest that represents an API key inside walkcart."""
    return blake2b(key, digest_size=DIGEST_SIZE).digest()


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of all callers of a team together, over all instances.

    Args:
        rate: requests per second.
        burst: requests beyond the rate that may come at once.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Team:
    """An organisation whose callers share keys, a rank and a rate limit.

    Args:
        name: name of the team; it is sent to leaves.
        keys: digests of the team's API keys.
        rank: rank that overrides the rank of a route; None to use the route's.
        limit: rate limit of the team's requests; None for no limit.
        regions: regions that the team's requests may be served in.
    """

    name: str
    keys: frozenset[bytes] = field(default=frozenset(), repr=False)
    rank: int | None = None
    limit: RateLimit | None = None
    regions: Regions = ALL_REGIONS


@dataclass(frozen=True, slots=True)
class Grant:
    """The team and key with which a request was admitted.

    Once the team or key has been removed, nothing more is sent for the request.

    Args:
        team: team that the request's key belongs to; empty if the request had no key or
            needed none.
        credential: digest of the key; None at an instance that gathers for another one,
            as the key isn't sent there.
    """

    team: str = ""
    credential: bytes | None = field(default=None, repr=False)


class TeamIndex:
    """Index of the teams of a routing document by name and by key digest.

    Args:
        teams: all teams of the document.
    """

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        self._by_name = {team.name: team for team in teams}
        rates = [team.limit.rate for team in self._by_name.values() if team.limit]
        self._mean_rate = sum(rates) / len(rates) if any(rates) else 1.0
        self._by_key = {
            key: team for team in self._by_name.values() for key in team.keys
        }

    def find_share_weight(self, name: str) -> float:
        """Return a team's weight when scarce capacity is divided among teams.

        The weight is the rate of the team's limit. A team without a limit gets the mean
        rate of the others, and if no team has a limit all weights are equal.
        """
        team = self._by_name.get(name)
        if team is None or team.limit is None:
            return self._mean_rate
        return team.limit.rate or self._mean_rate

    def find_by_key(self, digest: bytes) -> Team | None:
        """Return the team that owns the key with this digest, or None."""
        return self._by_key.get(digest)

    def find_by_name(self, name: str) -> Team | None:
        """Return the team with this name, or None."""
        return self._by_name.get(name)

    def all(self) -> tuple[Team, ...]:
        """Return all teams."""
        return tuple(self._by_name.values())
