"""Types of the numbers and texts in messages between instances, with their bounds.

The codec checks the bounds while it decodes, at no measurable cost, and rejects what is
not a number as well.

Examples:
    >>> import msgspec
    >>> msgspec.convert(2.5, Figure)
    2.5
    >>> msgspec.convert(float("nan"), Figure)
    Traceback (most recent call last):
    msgspec.ValidationError: Expected `float` >= -1000000000000.0
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

#: Maximum of a time, an age or a rate, in seconds or per second. Sums of a few of them
#: are still valid durations.
MAX_FIGURE = 1e12
#: Maximum length of a name or an id that one instance gives another, in characters.
MAX_NAME_LENGTH = 512

#: A finite number.
Figure = Annotated[float, Meta(ge=-MAX_FIGURE, le=MAX_FIGURE)]
#: A finite number that is not negative, such as an age.
Amount = Annotated[float, Meta(ge=0.0, le=MAX_FIGURE)]
#: A name or an id.
Name = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]
