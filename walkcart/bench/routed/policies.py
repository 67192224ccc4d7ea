"""What is switched off, or decided more simply, in a trial.

The switches are here and not in the product's settings: operators have no use for them.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """How an instance decides.

    Args:
        name: of the policy.
        choose: whether the leaf is chosen by what is known of it; else at random.
        eject: whether leafs that fail in a row are left alone for a while.
        repeat: whether requests are sent again or beside late ones.
        delegate: whether other instances gather parts.
        good_share: whether the share of good replies counts in the choice.
        room: whether leafs get no more than they have room for.
    """

    name: str
    choose: bool = True
    eject: bool = True
    repeat: bool = True
    delegate: bool = True
    good_share: bool = True
    room: bool = True


#: By name: the product as it is, each mechanism switched off, and the plainest of all.
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
