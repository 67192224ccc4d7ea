"""Turns callers' requests into questions for the leaves.

See Also:
    `walkcart.entry.routed.RoutedHandler`, which serves the questions.
"""

from __future__ import annotations

from datetime import timedelta
from random import Random

from walkcart.entry.callerports import CallerProtocol, CallerRequest
from walkcart.entry.teamaccess import Access
from walkcart.fanout.origins import RequestOrigins
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.intent.routes import (
    Route,
    RouteTable,
    Target,
    ToService,
    ToShards,
    ToSplit,
)
from walkcart.routing.instancedelay import InstanceDelay
from walkcart.routing.splits import WeightedSplit

#: Subtracted from the time that a caller waits: the time of the answer on the network.
DEADLINE_RESERVE = timedelta(milliseconds=10)
#: Subtracted from a route's objective: the time of the request on the network, which
#: may include opening a connection, and that of the answer. The delay in this instance
#: is learned and subtracted as well.
OBJECTIVE_RESERVE = timedelta(milliseconds=20)


class QuestionMaker:
    """Makes the questions of one instance.

    Args:
        protocol: marks the requests of teams.
        origins: computes fingerprints of requests.
        random: chooses where weighted splits begin.
        send_time: processor time that sending a question's requests takes.
    """

    def __init__(
        self,
        protocol: CallerProtocol,
        origins: RequestOrigins,
        random: Random,
        send_time: InstanceDelay,
    ) -> None:
        self._protocol = protocol
        self._origins = origins
        self._random = random
        self._send_time = send_time
        self._splits: dict[str, tuple[ToSplit, WeightedSplit]] = {}
        #: How late answers are sent that were due at their objective.
        self.instance_delay = InstanceDelay()

    def make(
        self,
        caller: CallerRequest,
        table: RouteTable,
        route: Route,
        access: Access,
        start: float,
    ) -> RoutedQuestion:
        """Return the question that serves a request.

        Args:
            caller: the request.
            table: the routes in force.
            route: the route of the request.
            access: who sends it, and the permission for it.
            start: when it was read, in seconds.
        """
        time = route.timeout
        if caller.timeout is not None:
            time = min(time, caller.timeout - DEADLINE_RESERVE)
        objective = float("inf")
        sharded = isinstance(route.target, ToShards)
        if route.objective is not None:
            objective = (route.objective - OBJECTIVE_RESERVE).total_seconds()
            objective -= self.instance_delay.estimate(start)
            objective -= self._send_time.estimate(start)
        team = access.grant.team
        request = caller.forwarded
        if table.document.teams is not None:
            request = self._protocol.attach_team(request, team)
        return RoutedQuestion(
            id=caller.id,
            kind=route.name,
            request=request,
            services=self._choose_services(route),
            deadline=start + max(0.0, time.total_seconds()),
            objective_at=start + objective,
            least_coverage=_least_coverage(route.target),
            idempotent=route.idempotent,
            most_attempts=route.most_attempts,
            success_only=sharded,
            traceparent=caller.traceparent,
            fingerprint=self._origins.fingerprint(request),
            regions=table.find_allowed_regions(route.name, team),
            team=team,
            rank=table.find_rank(route.name, team),
            grant=access.grant,
        )

    def _choose_services(self, route: Route) -> tuple[str, ...]:
        match route.target:
            case ToService(service):
                return (service,)
            case ToShards(services):
                return services
            case ToSplit(parts) as target:
                held = self._splits.get(route.name)
                if held is None or held[0] != target:
                    split = WeightedSplit(self._random.random())
                    held = self._splits[route.name] = (target, split)
                weights = [(part.service, part.weight) for part in parts]
                return (held[1].choose(weights),)


def _least_coverage(target: Target) -> float:
    return target.least_coverage if isinstance(target, ToShards) else 1.0
