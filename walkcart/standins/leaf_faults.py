"""What goes wrong at a leaf's stand-in."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class LeafFaults:
    """What goes wrong; all off at first.

    Args:
        slow: factor on the service time.
        stall_share: share of requests that stall.
        stall_time: seconds that a stall adds.
        hang: requests are taken and answered only long past their deadlines.
        shed: every request is refused for load.
        leaving: states that it leaves, and refuses new work.
        mute_leaving: when leaving, it refuses but doesn't say why.
        no_pin: ignores the pin and answers from its newest version.
        late_version: answers from the version before its newest.
        partial: states that it sees only a part of its shard.
        lie_load: the load it states, instead of the true one.
        drop_reply: share of requests that run without a reply.
        garbage: share of replies that are no HTTP.
        cut_body: share of replies that end in the middle.
        repeat_reply: share of replies that are sent twice.
        wrong_attempt: share of replies that echo another attempt.
        wrong_scope: share of replies that echo another scope.
        endless: share of replies whose body doesn't end.
        bad_rows: share of replies whose body is no JSON.
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
