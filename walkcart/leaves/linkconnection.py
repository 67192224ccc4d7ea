"""One connection of a link, with what decides whether it may be used again.

See Also:
    `walkcart.leaves.link.LeafLink`, which uses it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from walkcart.wire.http import HttpConnection

#: Number of refused requests that a connection remembers. A request is sent again at
#: most a few times, within fractions of a second.
MAX_REFUSED = 16


@dataclass(slots=True, eq=False)
class LinkConnection:
    """A connection to a leaf.

    Args:
        http: sends requests and reads replies.
        last_used: time of the last exchange, in seconds.
        refused: keys of the requests that the leaf refused over this connection. A late
            copy of such a refusal can't be told from the reply to the same request when
            that is sent again.
    """

    http: HttpConnection
    last_used: float
    refused: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_REFUSED))
