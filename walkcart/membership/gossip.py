"""News to pass on, each a bounded number of times.

Each piece of news rides on a number of messages that grows with the logarithm
of the number of instances, which is enough to reach all of them with high
probability while a message stays small.

References:
    Demers et al., Epidemic algorithms for replicated database maintenance, 1987.
"""

from __future__ import annotations

import math

from walkcart.membership.marks import LeafMarks
from walkcart.membership.view import MembershipView, MemberState
from walkcart.wire.messages import Digest, LeafMark, MemberRecord

RECORDS_PER_MESSAGE = 16
MARKS_PER_MESSAGE = 32
REPEATS_FACTOR = 3


class GossipQueue:
    """Chooses what the next message carries.

    Args:
        view: source of the members' records.
        marks: source of the leaves' marks.
    """

    def __init__(self, view: MembershipView, marks: LeafMarks) -> None:
        self._view = view
        self._marks = marks
        self._members: dict[str, int] = {}
        self._leaves: dict[str, int] = {}

    def add_member(self, name: str) -> None:
        """Pass on the record of the instance called `name`."""
        self._members[name] = self._repeats()

    def add_mark(self, address: str) -> None:
        """Pass on the mark of the leaf at `address`."""
        self._leaves[address] = self._repeats()

    def make_digest(self, target: str = "") -> Digest:
        """Return what the next message carries, and count it as sent.

        Args:
            target: receiver of a ping; when it is held to be suspect or dead it
                is told so, or it could never refute that.
        """
        members = [self._view.own]
        held = self._view.find(target)
        if held is not None and held.state >= MemberState.SUSPECT:
            members.append(held)
        for name in _take(self._members, RECORDS_PER_MESSAGE):
            record = self._view.find(name)
            if record is not None and name != self._view.own.name:
                members.append(record)
        addresses = _take(self._leaves, MARKS_PER_MESSAGE)
        marks = [self._marks.find_mark(address) for address in addresses]
        return Digest(
            self._view.own.revision,
            tuple(members),
            tuple(mark for mark in marks if mark is not None),
        )

    def merge_digest(self, digest: Digest) -> bool:
        """Merge a received digest; return whether it held urgent news."""
        urgent = False
        for record in digest.members:
            urgent |= self._take_member(record)
        for mark in digest.marks:
            urgent |= self._take_mark(mark)
        return urgent

    def _take_member(self, record: MemberRecord) -> bool:
        held = self._view.find(record.name)
        if not self._view.merge(record):
            return False
        return held is None or held.state != record.state

    def _take_mark(self, mark: LeafMark) -> bool:
        if not self._marks.record_leaving(mark.address, mark.incarnation):
            return False
        self.add_mark(mark.address)
        return True

    def _repeats(self) -> int:
        count = len(self._view.records())
        return REPEATS_FACTOR * max(1, math.ceil(math.log2(count + 1)))


def _take(pending: dict[str, int], limit: int) -> list[str]:
    """Take the names with most repeats left, counting them down."""
    chosen = sorted(pending, key=lambda name: (-pending[name], name))[:limit]
    for name in chosen:
        pending[name] -= 1
        if pending[name] <= 0:
            del pending[name]
    return chosen
