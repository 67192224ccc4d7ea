"""Faults that can be injected into the stand-in of a leaf."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class LeafFaults:
    """Faults of a leaf, all off by default.

    Args:
        slow: factor of the service time.
        stall_share: share of requests that stall.
        stall_time: seconds that a stall adds.
        hang: whether requests are accepted but answered long after their deadlines.
        shed: whether every request is refused because of load.
        leaving: whether the leaf states that it is leaving, and refuses new requests.
        mute_leaving: whether a leaving leaf refuses requests without stating why.
        no_pin: whether the leaf ignores the pin and answers from its newest version.
        late_version: whether the leaf answers from the version before its newest.
        partial: whether the leaf states that it sees only a part of its shard.
        lie_load: the load that the leaf states; None for the true one.
        drop_reply: share of requests that run but get no reply.
        garbage: share of replies that aren't HTTP.
        cut_body: share of replies that end in the middle.
        repeat_reply: share of replies that are sent twice.
        wrong_attempt: share of replies that echo another attempt.
        wrong_scope: share of replies that echo another scope.
        endless: share of replies that state a longer body than they send.
        bad_rows: share of replies whose body isn't JSON.
    """

    slow: float = 1.0
    stall_share: float = 0.0
    stall_time: float = 0.2
    hang: bool = False
    shed: bool = False
    leaving: bool = False
    mute_leaving: bool = False
    no_pin: bool = False
    late_version: bool = False
    partial: bool = False
    lie_load: int | None = None
    drop_reply: float = 0.0
    garbage: float = 0.0
    cut_body: float = 0.0
    repeat_reply: float = 0.0
    wrong_attempt: float = 0.0
    wrong_scope: float = 0.0
    endless: float = 0.0
    bad_rows: float = 0.0
