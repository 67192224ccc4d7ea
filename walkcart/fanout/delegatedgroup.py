"""Services of a question that another instance gathers."""

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
from walkcart.wire.verdicts import MayHaveRun, Reason

Outcome = Result[MergedAnswer, RoutedFailure]


class Loan(Protocol):
    """Repeats that another instance is lent."""

    @property
    def services(self) -> frozenset[str]:
        """The services for which a repeat is lent still."""
        ...

    def return_unspent(self, services: Collection[str]) -> None:
        """Take back what surely wasn't spent and never will be."""
        ...

    def end(self) -> None:
        """Count what is left as spent: nothing more will be heard of it."""
        ...


class DelegatedGroup:
    """Services that another instance gathers, and how that ended.

    Args:
        services: their names.
        place: where it is gathered.
        kind: of the request.
        most_attempts: leafs of each that may run the request.
        peer: the other instance.
        at: when it was asked, in seconds.
        on_end: told when it ended, and when there is something to take.
        loan: repeats that the other instance is lent; None without any.
    """

    def __init__(
        self,
        services: tuple[str, ...],
        place: Location,
        kind: str,
        most_attempts: int,
        peer: str,
        at: float,
        on_end: Callable[[], None],
        loan: Loan | None = None,
    ) -> None:
        self.services = services
        self.place = place
        self.kind = kind
        self.peer = peer
        self.at = at
        self.taken = False
        #: Whether it was taken back before it was sent.
        self.unsent = False
        self.ended = False
        self.outcome: Outcome | None = None
        self.scope = trio.CancelScope()
        self.changed = trio.Event()
        #: What was gathered when the other instance left the late parts to this one.
        self.handed: MergedAnswer | None = None
        #: Late parts that came since, by service, until they are taken.
        self.parts: deque[tuple[str, MergedAnswer]] = deque()
        self.is_handed_taken = False
        self.most_attempts = most_attempts
        self._on_end = on_end
        self._loan = loan

    @property
    def has_news(self) -> bool:
        """Whether there is anything to take."""
        handed = self.handed is not None and not self.is_handed_taken
        return handed or bool(self.parts) or self.ended

    @property
    def may_have_arrived(self) -> bool:
        """Whether leafs may have got its requests, though nobody said so."""
        return self.outcome is None and not self.unsent

    @property
    def is_begun(self) -> bool:
        """Whether the other instance asked leafs, or said that it would."""
        if self.handed is not None:
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
        """Why nothing came of it, in the other instance's words; None without."""
        match self.outcome:
            case Failure(failure):
                return failure.verdict.reason
            case _:
                return None

    def missing(self) -> dict[str, MissingPart]:
        """Return the services whose parts didn't come, by name."""
        if self.handed is not None:
            return {part.service: part for part in self.handed.missing}
        match self.outcome:
            case None:
                # It may be at work with all attempts that are allowed; one that
                # never said that it had the question likely got its cancellation
                # together with it.
                ran = self.most_attempts if self.taken else int(not self.unsent)
                parts = [
                    MissingPart(name, Reason.UNREACHABLE, ran) for name in self.services
                ]
            case Success(answer):
                parts = list(answer.missing)
            case _:
                failure = self.outcome.failure()
                found = {part.service: part for part in failure.missing}
                other = failure.verdict.reason
                parts = [
                    found.get(name, MissingPart(name, other, self.most_attempts))
                    for name in self.services
                ]
        return {part.service: part for part in parts}

    def cancel(self) -> None:
        """Nobody waits for it any longer."""
        self.scope.cancel()

    def note(self) -> None:
        """Wake what waits for news of it."""
        self.changed.set()
        self.changed = trio.Event()

    def hand_over(self, answer: MergedAnswer) -> None:
        """Note what was gathered; the rest is late."""
        self.handed = answer
        self._on_end()

    def add_part(self, service: str, part: MergedAnswer) -> None:
        """Note a late part."""
        self.parts.append((service, part))
        self._on_end()

    def return_unspent(self, bits: int) -> None:
        """Take back the repeats that the other instance says it won't send."""
        if self._loan is not None:
            self._loan.return_unspent(decode_services(self.services, bits))

    def end(self, outcome: Outcome | None) -> None:
        """Note how it ended; None when it must be done from here."""
        self.outcome = outcome
        self.ended = True
        if self._loan is not None:
            # The other instance sends lent repeats only once this one has confirmed
            # that the question was taken.
            if not self.taken and self.most_attempts > 1:
                self._loan.return_unspent(self.services)
            self._loan.end()
        self._on_end()
