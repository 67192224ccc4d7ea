"""Parses whole numbers in text from outside the process.

``str.isdigit`` accepts superscripts, which ``int`` rejects, and ``int`` rejects very
long texts. So ``int`` can still fail after a check with ``isdigit``.
"""

from __future__ import annotations

#: Maximum number of digits; no valid number is longer.
MAX_DIGITS = 18


def read_number(text: str | bytes | None) -> int | None:
    """Return the whole number, 0 or more, in a text, or None if it isn't one.

    Examples:
        >>> read_number("42"), read_number(b"7")
        (42, 7)
        >>> read_number("\u00b2"), read_number("9" * 5000), read_number(None)
        (None, None, None)
    """
    if not text or len(text) > MAX_DIGITS or not text.isascii() or not text.isdigit():
        return None
    return int(text)
