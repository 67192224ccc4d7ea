"""Checks revisions that the store can hardly have reached.

A copy goes on from the revision of the latest reply, and an item is replaced by a later
revision only. So a reply with a far too high one would be the last that changes it.
"""

from __future__ import annotations

from collections.abc import Iterable

from walkcart.store.calls import StoreCalls
from walkcart.store.items import Change, SharedStore

#: Number of changes of the store from one reply to the next, up to which a revision is
#: taken as it is: those of months at the store's maximum rate.
MAX_LEAP = 2**32


def find_latest(revision: int, changes: Iterable[Change]) -> int:
    """Return the highest revision in a reply.

    Args:
        revision: revision of the store.
        changes: items or changes in the reply.
    """
    return max([revision, *(change.revision for change in changes)])


async def confirm_revision(
    store: SharedStore,
    calls: StoreCalls,
    prefix: str,
    reply: tuple[int, Iterable[Change]],
    held: int,
) -> None:
    """Ask the store for its revision if one in a reply is far too high.

    Args:
        store: the store.
        calls: logs a wrong reply.
        prefix: prefix of the keys of the copy.
        reply: revision of the store, and items or changes, in the reply.
        held: revision of the copy.

    Raises:
        StoreUnavailable: the revision is wrong, or the store didn't reply.
    """
    found = find_latest(*reply)
    if found <= reply[0] and found <= held + MAX_LEAP:
        return
    page = await store.list_items(prefix, "", True)
    if page.revision < found:
        raise calls.reject_reply(f"revision {found}, and then {page.revision}")
