"""Queue of news to spread by gossip, each a bounded number of times.

Each item is sent with a number of messages that grows with the logarithm of the number
of instances. This is enough to reach all of them with high probability while messages
stay small.

References:
    Demers et al., Epidemic algorithms for replicated database maintenance, 1987.
"""

from __future__ import annotations

import math

from walkcart.membership.marks import LeafMarks
from walkcart.membership.view import MembershipView, MemberState
from walkcart.wire.messages import Digest, LeafMark, MemberRecord

#: Maximum numbers of queued records and marks in one message.
RECORDS_PER_MESSAGE = 16
MARKS_PER_MESSAGE = 32
#: Messages that carry an item, as a multiple of the binary logarithm of the number of
#: instances.
REPEATS_FACTOR = 3


class GossipQueue:
    """Chooses the news for the next message.

    Args:
        view: the records of the instances.
        marks: the marks of the leaves.
    """

    def __init__(self, view: MembershipView, marks: LeafMarks) -> None:
        self._view = view
        self._marks = marks
        #: Messages that still have to carry each record, by the name of its instance.
        self._pending_members: dict[str, int] = {}
        #: Messages that still have to carry each mark, by the address of its leaf.
        self._pending_marks: dict[str, int] = {}

    def add_member(self, name: str) -> None:
        """Queue the record of the instance called `name`."""
        self._pending_members[name] = self._count_repeats()

    def add_mark(self, address: str) -> None:
        """Queue the mark of the leaf at `address`."""
        self._pending_marks[address] = self._count_repeats()

    def make_digest(self, target: str = "") -> Digest:
        """Return the content of the next message, and count it as sent.

        Args:
            target: the receiver of a ping. If it is suspected or declared dead, its
                record is included, since otherwise it could never refute that.
        """
        members = [self._view.own]
        held = self._view.find(target)
        if held is not None and held.state >= MemberState.SUSPECT:
            members.append(held)
        for name in _pick_next(self._pending_members, RECORDS_PER_MESSAGE):
            record = self._view.find(name)
            if record is not None and name != self._view.own.name:
                members.append(record)
        addresses = _pick_next(self._pending_marks, MARKS_PER_MESSAGE)
        marks = [self._marks.find_mark(address) for address in addresses]
        return Digest(
            self._view.own.revision,
            tuple(members),
            tuple(mark for mark in marks if mark is not None),
        )

    def merge_digest(self, digest: Digest) -> bool:
        """Merge a received digest; return whether it contained urgent news."""
        urgent = False
        for record in digest.members:
            urgent |= self._merge_member(record)
        for mark in digest.marks:
            urgent |= self._merge_mark(mark)
        return urgent

    def _merge_member(self, record: MemberRecord) -> bool:
        held = self._view.find(record.name)
        if not self._view.merge(record):
            return False
        return held is None or held.state != record.state

    def _merge_mark(self, mark: LeafMark) -> bool:
        if not self._marks.record_leaving(mark.address, mark.incarnation):
            return False
        self.add_mark(mark.address)
        return True

    def _count_repeats(self) -> int:
        count = len(self._view.records())
        return REPEATS_FACTOR * max(1, math.ceil(math.log2(count + 1)))


def _pick_next(pending: dict[str, int], limit: int) -> list[str]:
    """Return the names with the most repeats left, and count them down."""
    chosen = sorted(pending, key=lambda name: (-pending[name], name))[:limit]
    for name in chosen:
        pending[name] -= 1
        if pending[name] <= 0:
            del pending[name]
    return chosen
