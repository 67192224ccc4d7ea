"""Teams: who may ask, by which keys, how urgently, where and how much.

A team's keys are kept as digests alone, so that no key can appear in a log, a metric
or a message between instances.

Examples:
    >>> team = Team("fitters", keys=frozenset({digest_key(b"secret")}))
    >>> book = TeamIndex((team,))
    >>> book.find_by_key(digest_key(b"secret")).name
    'fitters'
    >>> book.find_by_key(digest_key(b"other")) is None
    True
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from walkcart.routing.eligibility import ALL_REGIONS, Regions

#: Bytes of a key's digest: two keys never share one by chance.
DIGEST_SIZE = 16


def digest_key(key: bytes) -> bytes:
    """Return what stands for an API key inside walkcart."""
    return blake2b(key, digest_size=DIGEST_SIZE).digest()


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What all callers of a team may send together, over all instances.

    Args:
        rate: requests a second.
        burst: requests on top, at once.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Team:
    """An organisation whose callers share keys, a rank and a limit.

    Args:
        name: names it; leafs are told.
        keys: digests of its API keys.
        rank: goes before the rank of a route; None where it has none.
        limit: of its requests; None where there is none.
        regions: that its requests may be served in.
    """

    name: str
    keys: frozenset[bytes] = field(default=frozenset(), repr=False)
    rank: int | None = None
    limit: RateLimit | None = None
    regions: Regions = ALL_REGIONS


@dataclass(frozen=True, slots=True)
class Grant:
    """By what a request was let in; nothing more is sent for it once that is gone.

    Args:
        team: whose key came along; empty where none did, or none was needed.
        credential: digest of that key; None at an instance that only helps, to which
            the key isn't told.
    """

    team: str = ""
    credential: bytes | None = field(default=None, repr=False)


class TeamIndex:
    """The teams of one routing document, by name and by the digests of their keys.

    Args:
        teams: all teams.
    """

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        self._by_name = {team.name: team for team in teams}
        rates = [team.limit.rate for team in self._by_name.values() if team.limit]
        self._usual_claim = sum(rates) / len(rates) if any(rates) else 1.0
        self._by_key = {
            key: team for team in self._by_name.values() for key in team.keys
        }

    def find_share_weight(self, name: str) -> float:
        """Return a team's claim to what is short, relative to those of others.

        It follows the team's limit; a team without one claims what the others do on
        average, and without limits all claim alike.
        """
        team = self._by_name.get(name)
        if team is None or team.limit is None:
            return self._usual_claim
        return team.limit.rate or self._usual_claim

    def find_by_key(self, digest: bytes) -> Team | None:
        """Return the team that has a key, by the key's digest."""
        return self._by_key.get(digest)

    def find_by_name(self, name: str) -> Team | None:
        """Return the team of a name."""
        return self._by_name.get(name)

    def all(self) -> tuple[Team, ...]:
        """Return all teams."""
        return tuple(self._by_name.values())
