"""Makes h11 parse a header line in time linear in its length.

In h11's own pattern, the blanks before a field value and those after it can match the
same text. A line that doesn't match then takes time quadratic in its number of blanks,
in which the event loop stands still: seconds for a line of 30 kB.
"""

from __future__ import annotations

import re

from h11 import _readers
from h11._abnf import field_name, field_value

#: Accepts the same lines as h11's pattern. A value begins with no blank, so the blanks
#: before it never need to be matched in another way (``*+``).
HEADER_LINE = re.compile(
    f"(?P<field_name>{field_name}):[ \t]*+(?P<field_value>{field_value})[ \t]*".encode()
)


def use_linear_header_pattern() -> None:
    """Replace h11's pattern of header lines in this process."""
    _readers.header_field_re = HEADER_LINE
