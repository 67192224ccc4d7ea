"""Repeats that an instance is lent for a question that it gathers for another one.

See Also:
    `walkcart.fanout.repeatloans.RepeatLoan`, for the side that lends.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence

from walkcart.wire.delegations import ServiceBits

#: Bits of the largest number that the codec of messages can represent.
MAX_NUMBER_BITS = 64


class LentRepeats:
    """The lent repeats that haven't been used.

    Args:
        services: names of the services; one repeat is lent for each.

    Examples:
        >>> lent = LentRepeats({"a"})
        >>> lent.try_use("a"), lent.try_use("a"), lent.try_use("b")
        (True, False, False)
    """

    __slots__ = ("_remaining",)

    def __init__(self, services: Collection[str] = ()) -> None:
        self._remaining = set(services)

    def try_use(self, service: str) -> bool:
        """Use the repeat of a service; return False if none is left."""
        if service not in self._remaining:
            return False
        self._remaining.remove(service)
        return True

    def release(self, without: Collection[str] = ()) -> frozenset[str]:
        """Give up the remaining repeats, except those of the services in `without`.

        Returns:
            The services whose repeats were given up.
        """
        released = frozenset(self._remaining.difference(without))
        self._remaining -= released
        return released


def encode_services(services: Sequence[str], chosen: Collection[str]) -> ServiceBits:
    """Return the chosen services of a group as a bit set.

    Examples:
        >>> encode_services(("a", "b", "c"), {"a", "c"})
        5
        >>> len(encode_services([f"s{number}" for number in range(72)], {"s71"}))
        9
    """
    bits = sum(1 << place for place, name in enumerate(services) if name in chosen)
    if bits.bit_length() <= MAX_NUMBER_BITS:
        return bits
    return bits.to_bytes((bits.bit_length() + 7) // 8, "little")


def decode_services(services: Sequence[str], bits: ServiceBits) -> frozenset[str]:
    """Return the services of a group whose bits are set.

    Examples:
        >>> sorted(decode_services(("a", "b", "c"), 5))
        ['a', 'c']
    """
    number = bits if isinstance(bits, int) else int.from_bytes(bits, "little")
    return frozenset(name for place, name in enumerate(services) if number >> place & 1)
