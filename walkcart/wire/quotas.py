"""Messages about the rate limits that all instances share."""

from __future__ import annotations

from walkcart.wire.figures import Amount, Figure, Name
from walkcart.wire.messagebase import Message


class QuotaAsk(Message, frozen=True):
    """Asks for permission to run requests of a team.

    Args:
        id: identifies the message among those of the sender.
        share: share of the limits from which the requests are taken.
        team: the team.
        wanted: number of requests.
        version: version of the configuration that the sender has in force.
        rate: the team's rate limit in that version, in requests a second.
        burst: number of requests above the rate that may run at once.
        full: shares that had no room, with the seconds until they may have some.
    """

    id: int
    share: int
    team: Name
    wanted: int
    version: int
    rate: Figure
    burst: Figure
    full: tuple[tuple[int, Figure], ...] = ()


class QuotaGrant(Message, frozen=True):
    """The answer to a `QuotaAsk` by the holder of the share, which counts its use.

    Args:
        id: id of the `QuotaAsk`.
        granted: number of requests that may run; 0 if there is no room.
        wait: seconds until there is room for one request.
        turn: seconds until the sender of the `QuotaAsk` may get room, after others that
            were refused before it.
        use: recent rate of granted requests of the team at this holder, per second.
        full: shares without room, as in `QuotaAsk`; learned from other instances.
    """

    id: int
    granted: int
    wait: Amount = 0.0
    turn: Amount = 0.0
    use: Amount = 0.0
    full: tuple[tuple[int, Figure], ...] = ()


class QuotaElsewhere(Message, frozen=True):
    """Says that the receiver of a `QuotaAsk` isn't the holder of its share.

    Args:
        id: id of the `QuotaAsk`.
        holder: name of the holder; empty if none is known.
        revision: revision of the store's key that names the holder.
    """

    id: int
    holder: Name
    revision: int


class QuotaHolder(Message, frozen=True):
    """Names the holder of a share; sent regularly to the instances that could take it.

    Args:
        share: share of the limits.
        holder: name of the holder; empty when it gave the share up.
        revision: revision of the store's key that names the holder.
        weak: whether the holder can't renew the key, and would give the share up to an
            instance that can reach the store.
    """

    share: int
    holder: Name
    revision: int
    weak: bool = False


class QuotaTakeover(Message, frozen=True):
    """Says that the sender can reach the store and would take a share over.

    Args:
        share: share of the limits.
        revision: revision of the store's key that it would replace.
    """

    share: int
    revision: int
