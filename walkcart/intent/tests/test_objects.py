"""Tests of selectors, loading, validation, diffing and policies."""

from math import inf
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from walkcart.bench.world import make_partner, make_service
from walkcart.intent.diffing import diff_configurations, merge_configurations
from walkcart.intent.document import (
    EMPTY_DOCUMENT,
    Change,
    DocumentError,
    make_document,
    read_document,
)
from walkcart.intent.loading import load_tables, load_toml, to_tables
from walkcart.intent.model import Configuration
from walkcart.intent.policy import apply_label_rules, find_intents, resolve_policy
from walkcart.intent.selectors import SelectorError, parse_selector
from walkcart.intent.validation import validate_configuration
from walkcart.store.packing import pack_value

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
LABELS = {"region": "hobart", "tier": "search"}


def test_selectors_match():
    for text, expected in (
        ("", True),
        ("region=hobart", True),
        ("region!=hobart", False),
        ("region in (burnie, hobart)", True),
        ("region notin (burnie, hobart)", False),
        ("tier", True),
        ("!tier", False),
        ("!old, tier=search", True),
        ("old!=yes", True),
        ("old=yes", False),
    ):
        assert parse_selector(text).matches(LABELS) is expected, text


def test_invalid_selectors_raise_an_error():
    for text in ("=x", "a==b", "a in b", "a in (b", "a,,b", "a in ()"):
        with pytest.raises(SelectorError):
            parse_selector(text)


@given(st.text(max_size=30))
def test_any_text_is_a_selector_or_raises_an_error(text):
    try:
        parse_selector(text).matches(LABELS)
    except SelectorError as error:
        assert str(error)


def test_examples_are_valid():
    for name in ("swapline.toml", "trentside.toml"):
        loaded = load_toml((EXAMPLES / name).read_text(encoding="utf-8"))
        assert not loaded.faults
        report = validate_configuration(loaded.configuration)
        assert not report.faults
        assert not report.warnings


def test_all_faults_of_a_file_are_reported_together():
    text = """
        [[service]]
        name = "a"
        [[service]]
        name = "B!"
        shard_group = "none"
        colour = "red"
        [[routing_intent]]
        name = "i"
        selector = "x in"
        deadline = -3
        replica_policy = "best"
        [[robot]]
        name = "r"
    """
    loaded = load_toml(text)
    report = validate_configuration(loaded.configuration)
    told = "\n".join(str(fault) for fault in (*loaded.faults, *report.faults))
    for word in ("service a", "colour", "robot", "B!", "none", "selector", "deadline"):
        assert word in told
    assert "replica_policy" in told


def test_selector_that_matches_no_service_is_a_warning():
    text = make_service("parts", 2)
    text += '[[routing_intent]]\nname = "i"\nselector = "tier=serach"\n'
    report = validate_configuration(load_toml(text).configuration)
    assert not report.faults
    assert [item.place for item in report.warnings] == ["routing_intent i, selector"]


def test_configuration_survives_a_round_trip_through_tables_and_documents():
    text = (EXAMPLES / "trentside.toml").read_text(encoding="utf-8")
    configuration = load_toml(text).configuration
    assert load_tables(to_tables(configuration)).configuration == configuration
    change = Change("id", 1, "operator", "now", ())
    document = make_document(EMPTY_DOCUMENT, configuration, change)
    again = read_document(document.data)
    assert again.configuration == configuration
    assert again.revision == 1


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_not_a_document(data):
    with pytest.raises(DocumentError):
        read_document(data)


def test_intents_merge_by_priority():
    text = make_service("parts", 2)
    text += (
        '[[routing_intent]]\nname = "low"\nselector = ""\npriority = 1\n'
        'deadline = 2.0\nhedge_budget = 0.1\nexclude = "old"\n'
        '[[routing_intent]]\nname = "high"\nselector = "service=parts"\n'
        'priority = 5\ndeadline = 0.5\nexclude = "worn"\n'
        '[[routing_intent]]\nname = "other"\nselector = "service=none"\n'
    )
    configuration = load_toml(text).configuration
    service = configuration.find_service("parts")
    policy = resolve_policy(configuration, service)
    names = [item.name for item in find_intents(configuration, service)]
    assert names == ["high", "low"]
    assert policy.deadline.total_seconds() == 0.5
    assert policy.hedge_budget == 0.1
    assert dict(policy.sources) == {"deadline": "high", "hedge_budget": "low"}
    assert policy.excludes({"old": "yes"})
    assert policy.excludes({"worn": "yes"})


def test_label_rules_override_listed_labels():
    text = '[[label_rule]]\nname = "r"\nselector = "a=1"\nlabels = { b = "2" }\n'
    configuration = load_toml(text).configuration
    assert apply_label_rules(configuration, {"a": "1", "b": "0"}) == {
        "a": "1",
        "b": "2",
    }
    assert apply_label_rules(configuration, {"a": "3"}) == {"a": "3"}


def test_diff_and_merge():
    old = load_toml(make_partner("a", "x") + make_partner("b", "y")).configuration
    new = load_toml(make_partner("b", "z") + make_partner("c", "w")).configuration
    merged = merge_configurations(old, new, prune=False)
    assert [item.name for item in merged.partners] == ["a", "b", "c"]
    found = {item.object: item.kind.value for item in diff_configurations(old, new)}
    assert found == {
        "partner a": "removed",
        "partner b": "changed",
        "partner c": "added",
    }
    assert merge_configurations(old, Configuration(), prune=True) == Configuration()


INTENT = "[[routing_intent]]\nname = 'r'\nselector = ''\ndeadline = "


@pytest.mark.parametrize("number", ["1e300", "-1e300", "inf", "nan", "9" * 5000])
def test_file_with_an_extreme_time_has_a_fault(number):
    loaded = load_toml(INTENT + number)
    assert loaded.faults or validate_configuration(loaded.configuration).faults


def test_file_that_nests_deeply_has_a_fault():
    assert load_toml("a = " + "[" * 5000).faults


@pytest.mark.parametrize(
    "tables",
    [
        {"routing_intent": [{"name": "r", "selector": "", "deadline": 1e300}]},
        {"routing_intent": [{"name": "r", "selector": "", "deadline": inf}]},
        {"routing_intent": [{"name": "r", "selector": "=x"}]},
        {
            "shard_group": [
                {
                    "name": "g",
                    "layouts": [{"epoch": 1, "shards": 2**40, "selector": ""}],
                }
            ]
        },
        {"service": [{"name": "s", "shard_group": "none"}]},
        {"service": {}},
        {"robot": []},
        {"service": [7]},
        {"service": [{1: 2}]},
    ],
)
def test_stored_document_that_cannot_be_served_is_an_error(tables):
    change = Change("id", 1, "a", "", ())
    stored = {"revision": 1, "changes": [change], "tables": tables}
    with pytest.raises(DocumentError):
        read_document(pack_value(stored, 1))
