"""The pages that are made from the code are in step with it."""

from pathlib import Path

from walkcart.bench.pages import PAGES
from walkcart.kernel.events import list_events

DOCS = Path(__file__).resolve().parents[3] / "docs"


def test_numbers_and_names_of_events_are_used_once():
    events = list_events()
    assert len({event.number for event in events}) == len(events)
    assert len({event.name for event in events}) == len(events)


def test_pages_are_in_step_with_the_code():
    for name, render in PAGES.items():
        page = (DOCS / name).read_text(encoding="utf-8")
        assert page == render(), f"run python -m walkcart.bench pages for {name}"
