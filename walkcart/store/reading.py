"""Reads all items under a prefix, page by page."""

from __future__ import annotations

from dataclasses import dataclass

from walkcart.store.items import Item, Page, SharedStore


@dataclass(frozen=True, slots=True)
class Reading:
    """All items of a prefix.

    Args:
        items: the items by key.
        revision: a watch from this revision brings every change that the items lack.
        pages: for each page, a revision whose changes it surely reflects.
    """

    items: dict[str, Item]
    revision: int
    pages: tuple[int, ...]


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
    revisions: list[int] = []
    after = ""
    while True:
        page = await store.list_items(prefix, after, fresh)
        revisions.append(page.revision if fresh else _find_latest(page))
        found.update((item.key, item) for item in page.items)
        if page.last or not page.items:
            break
        after = page.items[-1].key
    # The revision in the reply to an old read may be newer than the items, so the watch
    # has to bring all changes after the latest item.
    watch_from = revisions[0] if fresh else max(revisions)
    return Reading(found, watch_from, tuple(revisions))


def _find_latest(page: Page) -> int:
    """Return the revision of a page's latest item; 0 without items."""
    return max((item.revision for item in page.items), default=0)
