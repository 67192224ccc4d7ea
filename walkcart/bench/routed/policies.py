"""The policies of trials: which mechanisms of walkcart are switched off.

The switches aren't settings of walkcart, since operators have no use for them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """The mechanisms that the instances of a trial use.

    Args:
        name: the name of the policy.
        choose: whether a leaf is chosen by its recorded state; otherwise at random.
        eject: whether leaves with consecutive failures are ejected for a while.
        repeat: whether requests are retried and hedged.
        delegate: whether parts are delegated to other instances.
        good_share: whether the success rate of a leaf counts in the choice.
        room: whether a leaf is only sent requests that it has room for.
    """

    name: str
    choose: bool = True
    eject: bool = True
    repeat: bool = True
    delegate: bool = True
    good_share: bool = True
    room: bool = True


#: Policies by name: all mechanisms, each one switched off, and most of them off.
POLICIES = {
    policy.name: policy
    for policy in (
        Policy("walkcart"),
        Policy("no-choice", choose=False),
        Policy("no-ejection", eject=False),
        Policy("no-repeats", repeat=False),
        Policy("no-delegation", delegate=False),
        Policy("no-good-share", good_share=False),
        Policy("no-room", room=False),
        Policy("random", choose=False, eject=False, repeat=False, delegate=False),
    )
}
