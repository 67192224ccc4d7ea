"""Whole numbers from texts of others.

``str.isdigit`` takes superscripts, which ``int`` refuses, and ``int`` refuses
very long texts: a check by the one and a reading by the other can still fail.
"""

from __future__ import annotations

#: Digits that are read at the most; longer numbers are nobody's.
MAX_DIGITS = 18


def read_number(text: str | bytes | None) -> int | None:
    """Return the whole number, 0 or more, that a text is, or None.

    Examples:
        >>> read_number("42"), read_number(b"7")
        (42, 7)
        >>> read_number("\u00b2"), read_number("9" * 5000), read_number(None)
        (None, None, None)
    """
    if not text or len(text) > MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)
