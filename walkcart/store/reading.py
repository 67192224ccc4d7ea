"""Reads all items under a prefix, page by page."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from walkcart.store.items import Item, Page, SharedStore, empty_long_values

#: Pages of one reading that are read at once. The largest fleet, of 4,000 leaves, has
#: ten; between further ones there is a pause, in seconds.
MAX_QUICK_PAGES = 40
PAGE_PAUSE = 0.25
#: Limits of one reading: pages, items, and bytes of keys and values. A store whose
#: pages go on would fill the memory.
MAX_PAGES = 200
MAX_ITEMS = 50_000
MAX_BYTES = 16 << 20


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


async def read_prefix(
    store: SharedStore, prefix: str, fresh: bool, max_value: int = MAX_BYTES
) -> Reading:
    """Read every page of a prefix.

    The pages are no snapshot: each shows its part of the keys at another revision, so a
    watch has to start from the oldest of these. Fresh pages get newer from one to the
    next, and each states its revision. Of a page that may be old, only the revision of
    its latest item is sure to be no later than the page itself.

    Args:
        store: the store to read from.
        prefix: the prefix of the keys.
        fresh: whether the newest state is read; otherwise it may be seconds old.
        max_value: largest number of bytes of a value that is kept.

    Raises:
        StoreUnavailable: a page couldn't be read, or there are too many.
    """
    found: dict[str, Item] = {}
    revisions: list[int] = []
    after = ""
    size = 0
    while True:
        page = await store.list_items(prefix, after, fresh)
        revisions.append(page.revision if fresh else _find_latest(page))
        items = empty_long_values(page.items, max_value)
        found.update((item.key, item) for item in items)
        if page.last or not page.items:
            return Reading(found, min(revisions), tuple(revisions))
        after = page.items[-1].key
        size += sum(len(item.key) + len(item.value) for item in items)
        pages, count = len(revisions), len(found)
        if pages >= MAX_PAGES or count > MAX_ITEMS or size > MAX_BYTES:
            detail = f"{pages} pages of {prefix!r} with {count} items are not all"
            raise store.reject_reply(detail)
        if pages >= MAX_QUICK_PAGES:
            await trio.sleep(PAGE_PAUSE)


def _find_latest(page: Page) -> int:
    """Return the revision of a page's latest item; 0 without items."""
    return max((item.revision for item in page.items), default=0)
