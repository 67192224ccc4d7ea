"""Headers by which a holder passes a leaf's outcome on to the asking instance."""

from __future__ import annotations

from walkcart.leaves.attempts import Outcome, Refused, Replied
from walkcart.leaves.leaf import Leaf
from walkcart.leaves.protocol import (
    HELD,
    INCARNATION,
    PARTIAL,
    RAN,
    RETRY_AFTER_MS,
    SNAPSHOT,
)
from walkcart.wire.http import Headers


def encode_outcome_headers(outcome: Outcome, leaf: Leaf | None) -> Headers:
    """Return the headers from which the asking instance reads `outcome`.

    The marks of leaving leaves aren't among them: heartbeats spread these.
    """
    headers: list[tuple[bytes, bytes]] = []
    if leaf is not None and leaf.held is not None:
        held = ",".join(str(version) for version in sorted(leaf.held))
        headers.append((HELD, held.encode()))
        headers.append((INCARNATION, b"%d" % leaf.incarnation))
    match outcome:
        case Replied(snapshot, partial, _, _, _):
            headers.append((SNAPSHOT, str(snapshot).encode()))
            headers.append((PARTIAL, b"yes" if partial else b"no"))
        case Refused(_, retry_after):
            headers.append((RAN, b"no"))
            if retry_after is not None:
                milliseconds = int(retry_after.total_seconds() * 1000)
                headers.append((RETRY_AFTER_MS, b"%d" % milliseconds))
        case _:
            pass
    return tuple(headers)
