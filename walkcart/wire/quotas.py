"""Messages about the rate limits that all instances share."""

from __future__ import annotations

from walkcart.wire.messagebase import Message


class QuotaAsk(Message, frozen=True):
    """The sender wants to run requests of a team.

    Args:
        id: names the ask among those of the sender.
        share: of the limits, from which it is to be taken.
        team: whose requests.
        wanted: how many.
        version: of the configuration that the sender has in force.
        rate: the team's limit there, in requests a second.
        burst: requests on top, at once.
        full: shares that had no room, and the seconds until they may have some.
    """

    id: int
    share: int
    team: str
    wanted: int
    version: int
    rate: float
    burst: float
    full: tuple[tuple[int, float], ...] = ()


class QuotaGrant(Message, frozen=True):
    """The answer of the accountant of a share.

    Args:
        id: of the ask.
        granted: requests that may run; 0 when there is no room.
        wait: seconds until there is room for one.
        turn: seconds until the asker's turn, behind others that were refused.
        use: requests of the team a second, as granted by this accountant of late.
        full: as in an ask; what others have told the accountant.
    """

    id: int
    granted: int
    wait: float = 0.0
    turn: float = 0.0
    use: float = 0.0
    full: tuple[tuple[int, float], ...] = ()


class QuotaElsewhere(Message, frozen=True):
    """The receiver of an ask isn't the accountant of its share.

    Args:
        id: of the ask.
        holder: name of the accountant; empty when none is known.
        revision: of the key that says so.
    """

    id: int
    holder: str
    revision: int


class QuotaHolder(Message, frozen=True):
    """Who accounts a share; those that would take it hear this all the time.

    Args:
        share: of the limits.
        holder: name of the accountant; empty when it gave the share up.
        revision: of the key that says so.
        weak: whether the accountant can't renew the key, and would give it up to one
            who can reach the store.
    """

    share: int
    holder: str
    revision: int
    weak: bool = False


class QuotaTakeover(Message, frozen=True):
    """The sender has just reached the store and would take a share.

    Args:
        share: of the limits.
        revision: of the key that it would replace.
    """

    share: int
    revision: int
