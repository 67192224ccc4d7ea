"""The base class of all messages between instances.

Nearly every question sends messages between regions, and operators pay for these bytes.
So messages are encoded as arrays without field names, with a short tag for the class.
New fields go at the end, with a default.
"""

from __future__ import annotations

import msgspec


def make_tag(name: str) -> str:
    """Return the tag of a class: the capitals of its name and its last letter.

    Building the decoder fails if two classes have the same tag.

    Examples:
        >>> make_tag("DelegatedQuestion")
        'DQn'
    """
    return "".join(letter for letter in name if letter.isupper()) + name[-1]


class Message(msgspec.Struct, frozen=True, tag=make_tag, array_like=True):
    """Base class of the messages; its subclasses are encoded as tagged arrays."""
