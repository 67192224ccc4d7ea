"""All items under a prefix, page by page."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.store.items import Item, SharedStore


@dataclass(frozen=True, slots=True)
class Reading:
    """Items of a prefix, as they were read.

    Args:
        items: by key.
        revision: from which a watch brings all that the items lack.
    """

    items: dict[str, Item]
    revision: int


async def read_prefix(store: SharedStore, prefix: str, fresh: bool) -> Reading:
    """Read every page of a prefix.

    Pages are read at different revisions, so watching goes on from the first.

    Args:
        store: to read from.
        prefix: start of the keys.
        fresh: whether the reading is of the present; else it may be seconds old.

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
        # The store's revision may be newer than what it gave: all that came after the
        # latest of these items is to be brought by the watch.
        watch_from = max((item.revision for item in found.values()), default=0)
    return Reading(found, watch_from)
