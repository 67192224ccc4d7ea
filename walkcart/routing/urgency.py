"""In which order requests go that wait for room, at a leaf or in an instance.

The load it answers: leafs that have turned slow, or a burst, where more is asked than
can be taken at once. Three of four times the most urgent goes first: the lowest rank,
then the team whose turn it is, then what has least time left to its objective. What
has missed its objective goes after what can still meet one of the same rank, since an
answer loses little by being later still. The fourth time the one goes that has waited
longest, so that no rank waits for ever, and none gains on a more urgent one that came
before it.

Examples:
    >>> queue = UrgencyQueue()
    >>> queue.add("long", Urgency(rank=1, due=0.1, since=0.0))
    >>> queue.add("urgent", Urgency(rank=0, due=0.5, since=0.01))
    >>> queue.pop(now=0.02)
    'urgent'
    >>> queue.pop(now=0.02)
    'long'
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

#: Of so many requests that are taken, one is the one that has waited longest: callers
#: of the least urgent kind are promised a quarter of what the others get.
AGE_TURN = 4

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Urgency:
    """How urgent a request that waits is.

    Args:
        rank: 0 is the most urgent.
        due: when its objective ends, in seconds; infinite where it has none.
        since: when it began to wait, in seconds.
        turn: of its team among the teams; the lowest goes first.
    """

    rank: int
    due: float
    since: float
    turn: float = 0.0


class UrgencyQueue(Generic[T]):
    """Requests that wait, taken out by urgency.

    Each call looks at all of them, which suits some dozens.
    """

    def __init__(self) -> None:
        self._waiting: list[tuple[Urgency, T]] = []
        self._taken = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[T]:
        return (item for _, item in self._waiting)

    def count_ahead(self, rank: int) -> int:
        """Return the requests that are as urgent as a rank, or more."""
        return sum(1 for urgency, _ in self._waiting if urgency.rank <= rank)

    def add(self, item: T, urgency: Urgency) -> None:
        """Have a request wait."""
        self._waiting.append((urgency, item))

    def remove(self, item: T) -> None:
        """Take a request out; nothing happens when it doesn't wait."""
        self._waiting = [entry for entry in self._waiting if entry[1] is not item]

    def clear(self) -> list[T]:
        """Take all requests out, in the order in which they came."""
        waiting, self._waiting = self._waiting, []
        return [item for _, item in waiting]

    def pop(
        self, now: float, may_go: Callable[[T], bool] = lambda item: True
    ) -> T | None:
        """Return the request that goes next, or None when none may go.

        Args:
            now: the present, in seconds.
            may_go: returns whether there is room for a request.
        """
        able = [entry for entry in self._waiting if may_go(entry[1])]
        if not able:
            return None
        by_age = len(able) > 1 and (self._taken + 1) % AGE_TURN == 0
        if len(able) > 1:
            self._taken += 1
        if by_age:
            chosen = min(able, key=lambda entry: entry[0].since)
        else:
            chosen = min(able, key=lambda entry: _order(entry[0], now))
        self._waiting.remove(chosen)
        return chosen[1]


def _order(urgency: Urgency, now: float) -> tuple[int, float, bool, float, float]:
    late = urgency.due <= now
    return urgency.rank, urgency.turn, late, urgency.due, urgency.since
