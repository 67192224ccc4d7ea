"""Services of a question that another instance gathers."""

from __future__ import annotations

from collections.abc import Callable

import trio
from returns.result import Result, Success

from walkcart.fanout.mergedanswer import MergedAnswer, MissingPart
from walkcart.fanout.routedquestion import RoutedFailure
from walkcart.wire.verdicts import Reason

Outcome = Result[MergedAnswer, RoutedFailure]


class DelegatedGroup:
    """Services that another instance gathers, and how that ended.

    Args:
        services: their names.
        most_attempts: leafs of each that may run the request.
        peer: the other instance.
        at: when it was asked, in seconds.
        on_end: told when it ended.
    """

    def __init__(
        self,
        services: tuple[str, ...],
        most_attempts: int,
        peer: str,
        at: float,
        on_end: Callable[[], None],
    ) -> None:
        self.services = services
        self.peer = peer
        self.at = at
        self.taken = False
        self.ended = False
        self.outcome: Outcome | None = None
        self.scope = trio.CancelScope()
        self.changed = trio.Event()
        self._most_attempts = most_attempts
        self._on_end = on_end

    def missing(self) -> dict[str, MissingPart]:
        """Return the services whose parts didn't come, by name."""
        match self.outcome:
            case None:
                # It may be at work with all attempts that are allowed; one that
                # never said that it had the question likely got its cancellation
                # together with it.
                ran = self._most_attempts if self.taken else 1
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
                    found.get(name, MissingPart(name, other, self._most_attempts))
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

    def end(self, outcome: Outcome | None) -> None:
        """Note how it ended; None when it must be done from here."""
        self.outcome = outcome
        self.ended = True
        self._on_end()
