"""Teams in a soak: which keys callers show, and what leafs may be told."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from walkcart.platform.tests.platformworld import make_key_headers, make_team
from walkcart.wire.http import Headers, HttpRequest

TEAMS = ("riders", "fitters")
#: One key of each team stays; another goes from team to team, or to none.
MOVING = "moving-soak-key"
#: No configuration ever holds it.
STRANGER = "stranger-soak-key"
#: Of the callers' requests, one in so many shows that key.
STRANGERS = 20


def key_of(team: str) -> str:
    """Return the key that a team keeps."""
    return f"{team}-soak-key"


class SoakTeams:
    """The keys of a soak, and who showed which.

    Args:
        random: chooses keys and moves.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._shown: dict[str, str] = {}
        self.holder: str | None = TEAMS[0]

    def describe(self) -> list[dict[str, Any]]:
        """Return the teams as operators store them."""
        return [
            make_team(team, key_of(team), *((MOVING,) if team == self.holder else ()))
            for team in TEAMS
        ]

    def move_key(self) -> None:
        """Give the moving key to another team, or to none."""
        self.holder = self._random.choice((*TEAMS, None))

    def choose_key(self, id: str) -> Headers:
        """Return the headers that show some key with a request."""
        key = self._random.choice((*map(key_of, TEAMS), MOVING))
        if self._random.randrange(STRANGERS) == 0:
            key = STRANGER
        return self.show(id, key)

    def show(self, id: str, key: str) -> Headers:
        """Return the headers that show a key with a request."""
        self._shown[id] = key
        return ((b"x-tenant", b"anybody"), *make_key_headers(key))

    def is_stranger(self, id: str) -> bool:
        """Return whether a request showed the key that nobody has."""
        return self._shown.get(id) == STRANGER

    def check_arrived(self, requests: Iterable[HttpRequest]) -> list[str]:
        """Return what leafs got that they may not get."""
        broken = []
        for request in requests:
            id = request.header(b"x-request-id") or ""
            told = [value for name, value in request.headers if name == b"x-tenant"]
            if request.header(b"authorization") is not None:
                broken.append(f"{id} came to a leaf with its key")
            if told not in self._find_allowed(self._shown.get(id, "")):
                broken.append(f"{id} came to a leaf as of {told}")
        return broken

    def _find_allowed(self, key: str) -> list[list[bytes]]:
        """Return what a leaf may be told of the team of a key."""
        return [[team.encode()] for team in TEAMS if key in (key_of(team), MOVING)]
