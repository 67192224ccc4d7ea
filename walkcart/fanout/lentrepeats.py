"""Repeats that an instance may send for a question that it gathers for another one.

See Also:
    `walkcart.fanout.repeatloans.RepeatLoan`, on the side that lends.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence


class LentRepeats:
    """What is left of them.

    Args:
        services: one repeat is lent for each of these.

    Examples:
        >>> lent = LentRepeats({"a"})
        >>> lent.take("a"), lent.take("a"), lent.take("b")
        (True, False, False)
    """

    __slots__ = ("_remaining",)

    def __init__(self, services: Collection[str] = ()) -> None:
        self._remaining = set(services)

    def take(self, service: str) -> bool:
        """Take the repeat for a service; return False when there is none."""
        if service not in self._remaining:
            return False
        self._remaining.remove(service)
        return True

    def release(self, without: Collection[str] = ()) -> frozenset[str]:
        """Give back what is left, but for some services; return what that is."""
        released = frozenset(self._remaining.difference(without))
        self._remaining -= released
        return released


def encode_services(services: Sequence[str], chosen: Collection[str]) -> int:
    """Return some of a group's services as a number with a bit for each.

    Examples:
        >>> encode_services(("a", "b", "c"), {"a", "c"})
        5
    """
    return sum(1 << place for place, name in enumerate(services) if name in chosen)


def decode_services(services: Sequence[str], bits: int) -> frozenset[str]:
    """Return the services whose bits are set.

    Examples:
        >>> sorted(decode_services(("a", "b", "c"), 5))
        ['a', 'c']
    """
    return frozenset(name for place, name in enumerate(services) if bits >> place & 1)
