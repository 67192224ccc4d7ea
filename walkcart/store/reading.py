"""Reads all items under a prefix, page by page."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.store.items import Item, SharedStore


@dataclass(frozen=True, slots=True)
class Reading:
    """All items of a prefix.

    Args:
        items: the items by key.
        revision: a watch from this revision brings every change that the items lack.
    """

    items: dict[str, Item]
    revision: int


async def read_prefix(store: SharedStore, prefix: str, fresh: bool) -> Reading:
    """Read every page of a prefix.

    Pages are read at different revisions, so a watch has to start from the revision of
    the first page.

    Args:
        store: the store to read from.
        prefix: the prefix of the keys.
        fresh: whether the newest state is read; otherwise it may be seconds old.

    Raises:
        StoreUnavailable: a page couldn't be read.
    """
    found: dict[str, Item] = {}
    watch_from = 0
    after = ""
    while True:
        page = await store.list_items(prefix, after, fresh)
        watch_from = watch_from or page.revision
        found.update((item.key, item) for item in page.items)
        if page.last or not page.items:
            break
        after = page.items[-1].key
    if not fresh:
        # The revision in the reply may be newer than the items, so the watch has to
        # bring all changes after the latest item.
        watch_from = max((item.revision for item in found.values()), default=0)
    return Reading(found, watch_from)
