"""State of a group of services that another instance gathers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from typing import Protocol

import trio
from returns.result import Failure, Result, Success

from walkcart.fanout.lentrepeats import decode_services
from walkcart.fanout.mergedanswer import MergedAnswer, MissingPart
from walkcart.fanout.routedquestion import RoutedFailure
from walkcart.routing.distance import Location
from walkcart.wire.delegations import ServiceBits
from walkcart.wire.verdicts import MayHaveRun, Reason

Outcome = Result[MergedAnswer, RoutedFailure]


class Loan(Protocol):
    """Repeats that are lent to another instance."""

    @property
    def services(self) -> frozenset[str]:
        """The services for which a repeat is still lent."""
        ...

    def return_unspent(self, services: Collection[str]) -> None:
        """Take back repeats that surely weren't sent and never will be."""
        ...

    def end(self) -> None:
        """Count the remaining repeats as spent: no return is expected any longer."""
        ...


class DelegatedGroup:
    """A group of services that another instance gathers, and its outcome.

    Args:
        services: names of the services.
        place: place whose leaves are asked.
        kind: kind of the request.
        most_attempts: maximum number of leaves of each service that may run it.
        peer: name of the other instance.
        at: time at which it was asked, in seconds.
        on_update: called when there are updates to process, and at the end.
        loan: repeats lent to the other instance; None without any.
    """

    def __init__(
        self,
        services: tuple[str, ...],
        place: Location,
        kind: str,
        most_attempts: int,
        peer: str,
        at: float,
        on_update: Callable[[], None],
        loan: Loan | None = None,
    ) -> None:
        self.services = services
        self.place = place
        self.kind = kind
        self.peer = peer
        self.at = at
        self.taken = False
        #: Whether it was withdrawn before it was sent.
        self.unsent = False
        self.ended = False
        self.outcome: Outcome | None = None
        self.scope = trio.CancelScope()
        self.changed = trio.Event()
        #: The merged parts at the time of the hand-over, when the other instance left
        #: the late parts to this one; None before.
        self.handed_over: MergedAnswer | None = None
        #: Late parts that arrived since, by service, until they are processed.
        self.parts: deque[tuple[str, MergedAnswer]] = deque()
        self.is_handover_processed = False
        self.most_attempts = most_attempts
        self._on_update = on_update
        self._loan = loan

    @property
    def has_updates(self) -> bool:
        """Whether there are updates to process."""
        handed = self.handed_over is not None and not self.is_handover_processed
        return handed or bool(self.parts) or self.ended

    @property
    def may_have_arrived(self) -> bool:
        """Whether leaves may have got its requests although no outcome is known."""
        return self.outcome is None and not self.unsent

    @property
    def is_begun(self) -> bool:
        """Whether the other instance asked leaves, or accepted the question."""
        if self.handed_over is not None:
            return True
        match self.outcome:
            case None:
                return self.taken
            case Success():
                return True
            case _:
                failure = self.outcome.failure()
                return failure.sent > 0 or isinstance(failure.verdict, MayHaveRun)

    @property
    def reason(self) -> Reason | None:
        """Reason that the other instance gave for its failure; None without one."""
        match self.outcome:
            case Failure(failure):
                return failure.verdict.reason
            case _:
                return None

    def missing(self) -> dict[str, MissingPart]:
        """Return the services whose parts didn't arrive, by name."""
        if self.handed_over is not None:
            return {part.service: part for part in self.handed_over.missing}
        match self.outcome:
            case None:
                # The other instance may be using all allowed attempts. One that never
                # accepted the question likely got the cancellation together with it.
                ran = self.most_attempts if self.taken else int(not self.unsent)
                parts = [
                    MissingPart(name, Reason.UNREACHABLE, ran) for name in self.services
                ]
            case Success(answer):
                parts = list(answer.missing)
            case _:
                failure = self.outcome.failure()
                found = {part.service: part for part in failure.missing}
                default_reason = failure.verdict.reason
                parts = [
                    found.get(
                        name, MissingPart(name, default_reason, self.most_attempts)
                    )
                    for name in self.services
                ]
        return {part.service: part for part in parts}

    def cancel(self) -> None:
        """Stop waiting for the outcome."""
        self.scope.cancel()

    def wake(self) -> None:
        """Wake the task that waits for a change of the group."""
        self.changed.set()
        self.changed = trio.Event()

    def hand_over(self, answer: MergedAnswer) -> None:
        """Record what was gathered before the late parts."""
        self.handed_over = answer
        self._on_update()

    def add_part(self, service: str, part: MergedAnswer) -> None:
        """Record a late part."""
        self.parts.append((service, part))
        self._on_update()

    def return_unspent(self, bits: ServiceBits) -> None:
        """Take back the repeats that the other instance states it won't send.

        Args:
            bits: their services, a bit for each (`lentrepeats.decode_services`).
        """
        if self._loan is not None:
            self._loan.return_unspent(decode_services(self.services, bits))

    def end(self, outcome: Outcome | None) -> None:
        """Record the outcome; None when the other instance sent none."""
        self.outcome = outcome
        self.ended = True
        if self._loan is not None:
            # The other instance sends lent repeats only once this one has confirmed
            # its acceptance of the question.
            if not self.taken and self.most_attempts > 1:
                self._loan.return_unspent(self.services)
            self._loan.end()
        self._on_update()
