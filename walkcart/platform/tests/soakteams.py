"""Teams in a soak test: the keys that callers send and what leaves may receive."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from walkcart.platform.tests.platformworld import make_key_headers, make_team
from walkcart.wire.http import Headers, HttpRequest

TEAMS = ("riders", "fitters")
#: A key that is moved between the teams, or belongs to none. Each team also has a key
#: of its own that stays.
SHARED_KEY = "moving-soak-key"
#: A key that no configuration contains.
UNKNOWN_KEY = "stranger-soak-key"
#: One in so many of the callers' requests is sent with the unknown key.
UNKNOWN_KEY_INTERVAL = 20


def key_of(team: str) -> str:
    """Return the key that a team always has."""
    return f"{team}-soak-key"


class SoakTeams:
    """The teams of a soak test, and the key that each request was sent with.

    Args:
        random: chooses keys and the team that gets the shared key.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._key_by_request: dict[str, str] = {}
        self.holder: str | None = TEAMS[0]

    def describe(self) -> list[dict[str, Any]]:
        """Return the teams in the form in which operators store them."""
        return [
            make_team(
                team, key_of(team), *((SHARED_KEY,) if team == self.holder else ())
            )
            for team in TEAMS
        ]

    def reassign_key(self) -> None:
        """Give the shared key to a random team, or to none."""
        self.holder = self._random.choice((*TEAMS, None))

    def choose_headers(self, id: str) -> Headers:
        """Return headers with a random key for a request."""
        key = self._random.choice((*map(key_of, TEAMS), SHARED_KEY))
        if self._random.randrange(UNKNOWN_KEY_INTERVAL) == 0:
            key = UNKNOWN_KEY
        return self.make_headers(id, key)

    def make_headers(self, id: str, key: str) -> Headers:
        """Return headers with a key for a request, and record the key."""
        self._key_by_request[id] = key
        return ((b"x-tenant", b"anybody"), *make_key_headers(key))

    def has_unknown_key(self, id: str) -> bool:
        """Return whether a request was sent with the unknown key."""
        return self._key_by_request.get(id) == UNKNOWN_KEY

    def check_arrived(self, requests: Iterable[HttpRequest]) -> list[str]:
        """Return the violations among the requests that a leaf received."""
        broken = []
        for request in requests:
            id = request.header(b"x-request-id") or ""
            told = [value for name, value in request.headers if name == b"x-tenant"]
            if request.header(b"authorization") is not None:
                broken.append(f"{id} came to a leaf with its key")
            if told not in self._find_allowed(self._key_by_request.get(id, "")):
                broken.append(f"{id} came to a leaf as of {told}")
        return broken

    def _find_allowed(self, key: str) -> list[list[bytes]]:
        """Return the team headers that a leaf may receive for a key."""
        return [[team.encode()] for team in TEAMS if key in (key_of(team), SHARED_KEY)]
