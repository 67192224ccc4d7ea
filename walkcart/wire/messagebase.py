"""The base of all messages between instances.

Messages cross regions for nearly each question, and operators pay for those bytes: they
are arrays without the names of their fields, and their class is named by a short tag.
A field is only ever added at the end, with a default.
"""

from __future__ import annotations

import msgspec


def make_tag(name: str) -> str:
    """Return the tag of a class: the capitals of its name and its last letter.

    The decoder refuses two classes with the same tag when it is built.

    Examples:
        >>> make_tag("DelegatedQuestion")
        'DQn'
    """
    return "".join(letter for letter in name if letter.isupper()) + name[-1]


class Message(msgspec.Struct, frozen=True, tag=make_tag, array_like=True):
    """Base of the messages."""
