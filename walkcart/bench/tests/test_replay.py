"""Recorded traces give the expected outcomes, and the same ones every time."""

from pathlib import Path

import pytest

from walkcart.bench.replay import BadTrace, check_outcome, read_trace, replay

TRACES = Path(__file__).resolve().parent / "traces"


def check(name):
    path = TRACES / f"{name}.jsonl"
    assert check_outcome(path, replay(path)) == []


def test_hobart_morning():
    check("hobart-morning")


def test_trentside_line_stop_with_repartition():
    check("trentside-line-stop")


def test_operators_race_with_store_outage():
    check("operators-race")


def test_same_trace_gives_the_same_outcome():
    path = TRACES / "operators-race.jsonl"
    assert replay(path) == replay(path)


def test_unreadable_traces_raise(tmp_path):
    path = tmp_path / "bad.jsonl"
    for text in ('{"at": 0}\n', "rubbish\n", '{"at": 2, "estate": {}}\n{"at": 1}\n'):
        path.write_text(text)
        with pytest.raises(BadTrace):
            read_trace(path)
