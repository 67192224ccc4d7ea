"""What callers speak and what limits them, as the routed entry sees both.

See Also:
    `walkcart.entry.routed.RoutedHandler`, which works with them.
    ``docs/design/teams.md``, for what is done with a team's requests.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from walkcart.fanout.routedquestion import RoutedAnswer, RoutedFailure
from walkcart.intent.teams import Team
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.server import Fault
from walkcart.wire.verdicts import NotRun


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the callers' protocol tells it.

    Args:
        id: that the caller gave it.
        host: that it is meant for.
        timeout: for how long the caller waits; None when it doesn't say.
        forwarded: what leafs get where requests need no key.
        traceparent: of the caller's trace.
        credential: digest of the API key that came along; None without exactly one.
    """

    id: str
    host: str
    timeout: timedelta | None
    forwarded: HttpRequest
    traceparent: str | None = None
    credential: bytes | None = field(default=None, repr=False)


class TeamRateLimiter(Protocol):
    """Holds the teams' requests to their limits, over all instances together."""

    async def admit(self, team: Team, max_wait: float) -> NotRun | None:
        """Take one request of a team from its limit; return why it may not run.

        Args:
            team: that asks.
            max_wait: seconds that the request can wait for the others' word at most.
        """
        ...

    def refund(self, team: Team, admitted_at: float) -> None:
        """Return what was taken for a request that no leaf got.

        Args:
            team: whose request it was.
            admitted_at: when it came, in seconds of the steady clock.
        """
        ...


class CallerProtocol(Protocol):
    """What callers speak."""

    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Return what a request means."""
        ...

    def attach_team(self, request: HttpRequest, team: str) -> HttpRequest:
        """Return a request as leafs get it where requests need keys.

        Args:
            request: that was to be forwarded.
            team: whose key came along; empty on a public route without one.
        """
        ...

    def render_merged(self, answer: RoutedAnswer, top: int) -> HttpReply:
        """Return the answer of many shards."""
        ...

    def render_single(self, answer: RoutedAnswer) -> HttpReply:
        """Return the answer of one leaf, unchanged."""
        ...

    def render_failure(self, failure: RoutedFailure) -> HttpReply:
        """Return a leaf's failure unchanged, or why there is no answer."""
        ...

    def render_fault(self, fault: Fault) -> HttpReply:
        """Return the answer to bytes that are no request."""
        ...
