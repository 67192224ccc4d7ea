"""The catalogues of events and metrics, and the pages that are generated from them."""

import re
from pathlib import Path

from walkcart.bench.pages import PAGES
from walkcart.kernel.events import list_events
from walkcart.kernel.metrics import CATALOGUE

DOCS = Path(__file__).resolve().parents[3] / "docs"
#: Finds the names of metrics in the sources: a name that isn't in the catalogue raises
#: when it is counted.
METRIC_CALL = re.compile(r'metrics\.(?:count|gauge|time)\(\s*"([a-z_.]+)"')


def test_event_numbers_and_names_are_unique():
    events = list_events()
    assert len({event.number for event in events}) == len(events)
    assert len({event.name for event in events}) == len(events)


def test_generated_pages_match_the_code():
    for name, render in PAGES.items():
        page = (DOCS / name).read_text(encoding="utf-8")
        assert page == render(), f"run python -m walkcart.bench pages for {name}"


def test_every_metric_in_the_sources_is_in_the_catalogue():
    sources = (
        path
        for path in (DOCS.parent / "walkcart").rglob("*.py")
        if "tests" not in path.parts
    )
    named = set()
    for path in sources:
        named.update(METRIC_CALL.findall(path.read_text(encoding="utf-8")))
    assert len(named) > 20
    assert named <= set(CATALOGUE)
