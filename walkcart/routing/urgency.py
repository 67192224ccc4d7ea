"""The order in which waiting requests go to a leaf or start in an instance.

It matters when leaves turn slow or a burst arrives, and more is asked than can be taken
at once. Three of four times the most urgent request goes first: the lowest rank, then
the team whose turn it is, then the earliest objective. Within a rank and turn, a
request that has missed its objective goes after those that can still meet theirs, since
its answer loses little by being later still. Each fourth time the request that has
waited longest goes, so that no rank starves. No request overtakes a more urgent one
that came before it.

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

#: One in so many requests is taken by age: callers of the least urgent kind are
#: promised a quarter of what the others get.
OLDEST_FIRST_INTERVAL = 4

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Urgency:
    """The urgency of a waiting request.

    Args:
        rank: urgency class; 0 is the most urgent.
        due: when its objective ends, in seconds; infinite without an objective.
        since: when it began to wait, in seconds.
        turn: fair queueing turn of its team; the lowest goes first.
    """

    rank: int
    due: float
    since: float
    turn: float = 0.0


class UrgencyQueue(Generic[T]):
    """A queue of waiting requests, ordered by urgency.

    Each call is linear in the length of the queue, which suits some dozens of requests.
    """

    def __init__(self) -> None:
        self._waiting: list[tuple[Urgency, T]] = []
        self._pop_count = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[T]:
        return (item for _, item in self._waiting)

    def count_ahead(self, rank: int) -> int:
        """Return the number of requests that are as urgent as `rank`, or more."""
        return sum(1 for urgency, _ in self._waiting if urgency.rank <= rank)

    def add(self, item: T, urgency: Urgency) -> None:
        """Add a waiting request."""
        self._waiting.append((urgency, item))

    def remove(self, item: T) -> None:
        """Remove a request; a request that doesn't wait is ignored."""
        self._waiting = [entry for entry in self._waiting if entry[1] is not item]

    def clear(self) -> list[T]:
        """Remove and return all requests, in the order in which they were added."""
        waiting, self._waiting = self._waiting, []
        return [item for _, item in waiting]

    def pop(
        self, now: float, may_go: Callable[[T], bool] = lambda item: True
    ) -> T | None:
        """Remove and return the request that goes next, or None when none may go.

        Args:
            now: current time, in seconds.
            may_go: returns whether there is capacity for a request.
        """
        eligible = [entry for entry in self._waiting if may_go(entry[1])]
        if not eligible:
            return None
        by_age = (
            len(eligible) > 1 and (self._pop_count + 1) % OLDEST_FIRST_INTERVAL == 0
        )
        if len(eligible) > 1:
            self._pop_count += 1
        if by_age:
            chosen = min(eligible, key=lambda entry: entry[0].since)
        else:
            chosen = min(eligible, key=lambda entry: _sort_key(entry[0], now))
        self._waiting.remove(chosen)
        return chosen[1]


def _sort_key(urgency: Urgency, now: float) -> tuple[int, float, bool, float, float]:
    late = urgency.due <= now
    return urgency.rank, urgency.turn, late, urgency.due, urgency.since
