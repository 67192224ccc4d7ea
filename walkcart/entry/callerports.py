"""Interfaces that the routed entry depends on: the callers' protocol, rate limits.

See Also:
    `walkcart.entry.routed.RoutedHandler`, which uses them.
    ``docs/design/teams.md``, on how requests of teams are handled.
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
    """A caller's request, as parsed by the callers' protocol.

    Args:
        id: identifier that the caller gave the request.
        host: host name that the request is addressed to.
        timeout: time for which the caller waits; None if it states none.
        forwarded: the request as sent to leaves where no API key is required.
        traceparent: trace context that the caller sent; None if it sent none.
        credential: digest of the API key in the request; None unless there is
            exactly one.
    """

    id: str
    host: str
    timeout: timedelta | None
    forwarded: HttpRequest
    traceparent: str | None = None
    credential: bytes | None = field(default=None, repr=False)


class TeamRateLimiter(Protocol):
    """Enforces the teams' rate limits, which all instances share."""

    async def admit(self, team: Team, max_wait: float) -> NotRun | None:
        """Charge a request to its team's limit; return a refusal if that is used up.

        Args:
            team: the team that sent the request.
            max_wait: longest time to wait for answers of other instances, in seconds.
        """
        ...

    def refund(self, team: Team, admitted_at: float) -> None:
        """Refund the charge for a request that was sent to no leaf.

        Args:
            team: the team that sent the request.
            admitted_at: when the request came, in seconds of the monotonic clock.
        """
        ...


class CallerProtocol(Protocol):
    """Parses requests of callers and renders their replies."""

    def read_request(self, request: HttpRequest) -> CallerRequest:
        """Parse a request."""
        ...

    def attach_team(self, request: HttpRequest, team: str) -> HttpRequest:
        """Return a request as sent to leaves where API keys are required.

        Args:
            request: the request to forward, as in `CallerRequest.forwarded`.
            team: name of the team whose key the request carries; empty on a public
                route without one.
        """
        ...

    def render_merged(self, answer: RoutedAnswer, top: int) -> HttpReply:
        """Render the merged answer of many shards."""
        ...

    def render_single(self, answer: RoutedAnswer) -> HttpReply:
        """Render the answer of one leaf, unchanged."""
        ...

    def render_failure(self, failure: RoutedFailure) -> HttpReply:
        """Render a leaf's failure unchanged, or the reason why there is no answer."""
        ...

    def render_fault(self, fault: Fault) -> HttpReply:
        """Render the reply to input that is not a valid request."""
        ...
